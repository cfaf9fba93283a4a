#pragma once

#include "hornbeamlane_groups/enginemaps/EngineOrders.h"

namespace hornbeamlane {

/** The newest pass that a group is known to have begun, and an estimate of those since. */
class PassProgress final
{
public:
    /** The group had begun this pass at the given time; false if a newer one is known. */
    bool note(StepNumber step, TimePoint seenAt);

    /** The group has begun this pass, at an unknown time before now. */
    void noteBegun(StepNumber step, TimePoint now);

    /** The group counts its passes anew. */
    void restart();

    /** The pass that is so many passes ahead of the one that should have begun by now. */
    StepNumber ahead(std::uint64_t passes, TimePoint now) const;

    StepNumber newest() const
    {
        return newest_;
    }

    /** When the newest pass was seen. */
    TimePoint newestAt() const
    {
        return newestAt_;
    }

private:
    StepNumber newest_;
    TimePoint newestAt_;
    Duration passTime_ = std::chrono::milliseconds(60);
};

} // namespace hornbeamlane
