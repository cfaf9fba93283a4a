#pragma once

#include "hornbeamlane_base/time/Time.h"

namespace hornbeamlane {

/** Bucket that fills at a rate up to a capacity. It starts empty, so restarts do not add to the rate. */
class TokenBucket final
{
public:
    /** Fills for the time since the last call; the rate is that of the whole time. */
    void advance(TimePoint now, double perSecond, double capacity);

    /** A taking larger than the capacity needs a full bucket and leaves a debt. */
    bool mayTake(double amount, double capacity) const;
    /** Time until mayTake() holds. */
    Duration timeUntil(double amount, double perSecond, double capacity) const;

    /** Also below zero: the debt is paid before the next taking. A negative amount gives back. */
    void take(double amount);

    /** What is left, as of the last call of advance(); below zero after a debt. */
    double level() const
    {
        return level_;
    }

    void setLevel(double level)
    {
        level_ = level;
    }

private:
    double level_ = 0;
    TimePoint last_{};
    bool hasLast_ = false;
};

} // namespace hornbeamlane
