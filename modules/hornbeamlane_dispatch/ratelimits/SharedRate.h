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
    using Options = RateBucket::Options;

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
        bucket_.setRate(perSecond);
    }

    /** Whether this entry may send a request now. Without one in between, the answer changes after the delay only. */
    bool mayTake(const Share &share, TimePoint now, RandomSource &random);

    /** This entry has sent a request. */
    void onTaken();

    /** Other entries have sent so many. */
    void onTakenByOthers(std::uint32_t count);

private:
    void drawAllowance(double tokens, RandomSource &random);

    RateBucket bucket_;
    /** Requests that this entry may still send until it is drawn anew. */
    std::uint32_t allowance_ = 0;
    TimePoint drawnAt_;
};

} // namespace hornbeamlane
