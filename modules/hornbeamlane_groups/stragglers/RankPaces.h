#pragma once

#include "hornbeamlane_groups/placement/ExpertPlacement.h"

#include <optional>
#include <vector>

namespace hornbeamlane {

/**
    How slow each rank of a group says that it is, and when to ask.

    All ranks run each pass together, so one slow rank shows in the time of the passes first. Asking costs calls and is
    done only while that time is unusual, or while a rank is known to be slow.
*/
class RankPaces final
{
public:
    struct Options
    {
        RankIndex ranks = 1;
        /** Time over which the time of a pass is taken. */
        std::chrono::milliseconds window{400};
        /** Passes that take so many times the usual time are a reason to ask. */
        double unusual = 1.5;
        /** Time between two rounds of questions. */
        std::chrono::milliseconds askInterval{500};
        /** The same while no rank has turned out to be slow. */
        std::chrono::milliseconds vainInterval{2000};
        /** Factor from which a rank counts as slow. */
        double slowFactor = 1.3;
        /** A rank that has not answered for this time counts as normal. */
        std::chrono::milliseconds memory{3000};
    };

    explicit RankPaces(Options options);

    /** The group had begun this pass at that time. */
    void notePass(StepNumber step, TimePoint seenAt);

    /** The group counts its passes anew. */
    void restart();

    /** Ranks whose pace should be asked for now; empty most of the time. */
    std::vector<RankIndex> ranksToAsk(TimePoint now);

    /** A rank says that it needs so many times the usual time; values that make no sense count as normal. */
    void onPace(RankIndex rank, double factor, TimePoint now);

    /** Empty while no rank is slow. */
    RankSlowness slowness(TimePoint now) const;

private:
    struct Rank
    {
        double factor = 1.0;
        TimePoint toldAt;
    };

    bool isSlow(const Rank &rank, TimePoint now) const;
    bool isAnySlow(TimePoint now) const;

    Options options_;
    std::vector<Rank> ranks_;
    std::optional<StepNumber> windowStep_;
    TimePoint windowStart_;
    /** Usual and last time of a pass; empty before they are known. */
    std::optional<Duration> usual_;
    std::optional<Duration> last_;
    TimePoint askedAt_;
};

} // namespace hornbeamlane
