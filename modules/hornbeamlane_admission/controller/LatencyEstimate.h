#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"

namespace hornbeamlane {

/** Moving mean and deviation of a time. */
class LatencyEstimate final
{
public:
    void add(Duration time);

    bool hasSamples() const
    {
        return hasSamples_;
    }

    Duration mean() const;
    /** Mean plus twice the deviation: most of the next samples are below it. */
    Duration high() const;

private:
    double mean_ = 0;
    double deviation_ = 0;
    bool hasSamples_ = false;
};

} // namespace hornbeamlane
