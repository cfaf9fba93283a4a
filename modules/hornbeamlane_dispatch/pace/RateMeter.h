#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"

namespace hornbeamlane {

/** Exponentially weighted rate of events. */
class RateMeter final
{
public:
    void count(TimePoint now);

    double perSecond(TimePoint now) const;

private:
    double rate_ = 0;
    TimePoint updatedAt_;
};

} // namespace hornbeamlane
