#pragma once

#include "hornbeamlane_base/rate/TokenBucket.h"

#include <cstddef>

namespace hornbeamlane {

/** Token bucket for requests to a server that names, from answer to answer, how many it takes a second. */
class RateBucket final
{
public:
    struct Options
    {
        /** Tokens that are kept while nothing is sent, as the time in which they come, beside one. */
        std::chrono::milliseconds burst{500};
        /** Rate of a server that names a lower one; its next answers have to show when it takes more. */
        double lowestPerSecond = 0.2;
        /** Higher rates are as good as none. */
        double highestPerSecond = 1e6;
    };

    RateBucket();
    explicit RateBucket(Options options);

    void setRate(double perSecond)
    {
        perSecond_ = perSecond;
    }

    /** Fills for the time since the last call, with that part of the rate, 0 to 1. */
    void advance(TimePoint now, double part = 1);

    void take(std::size_t requests);

    /** Requests left, as of the last call of advance(); below zero after a debt. */
    double level() const
    {
        return bucket_.level();
    }

    /** Time until so many requests may have been sent, as of the last call of advance(). */
    Duration timeUntil(std::size_t requests) const;

private:
    double rate() const;

    Options options_;
    double perSecond_ = 0;
    TokenBucket bucket_;
};

} // namespace hornbeamlane
