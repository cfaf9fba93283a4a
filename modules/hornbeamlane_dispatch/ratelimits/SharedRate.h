#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"

#include <cstdint>

namespace hornbeamlane {

/**
    Requests that all entries together may send to one server, as one of them sees it.

    There is one bucket of tokens. Each entry takes off what it sends, and what it hears that the others have sent;
   until it hears that, it takes only its part of what is there.
*/
class SharedRate final
{
public:
    struct Options
    {
        /** Tokens that are kept while nothing is sent, as the time in which they come, beside one. */
        std::chrono::milliseconds burst{250};
        /** Rate of a server that names a lower one; its next answers have to show when it takes more. */
        double lowestPerSecond = 0.2;
        /** Higher limits are as good as none. */
        double highestPerSecond = 1e6;
    };

    /** What an entry knows of the others at this moment. */
    struct Share
    {
        /** Part of the requests that this entry has to send now among those of all entries that are heard, 0 to 1. */
        double ofDemand = 1;
        /** Entries that are heard, with this one, among all that may be running, 0 to 1; the others keep their part of
            the rate. */
        double heard = 1;
        /** Time after which an entry has heard what the others have sent. */
        std::chrono::milliseconds delay{50};
    };

    SharedRate();
    explicit SharedRate(Options options);

    void setRate(double perSecond)
    {
        perSecond_ = perSecond;
    }

    double perSecond() const
    {
        return perSecond_;
    }

    /** Tokens left, below zero if entries have sent at the same time. */
    double level() const
    {
        return bucket_.level();
    }

    /** Whether this entry may send a request now. Without one in between, the answer changes after the delay only. */
    bool mayTake(const Share &share, TimePoint now, RandomSource &random);

    /** This entry has sent a request. */
    void onTaken();

    /** Other entries have sent so many. */
    void onTakenByOthers(std::uint32_t count);

private:
    void drawAllowance(double tokens, RandomSource &random);

    Options options_;
    double perSecond_ = 0;
    TokenBucket bucket_;
    /** Requests that this entry may still send until it is drawn anew. */
    std::uint32_t allowance_ = 0;
    TimePoint drawnAt_;
};

} // namespace hornbeamlane
