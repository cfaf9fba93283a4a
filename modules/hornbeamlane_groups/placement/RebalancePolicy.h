#pragma once

#include "hornbeamlane_groups/placement/ExpertPlacement.h"

#include <cstddef>
#include <functional>
#include <optional>

namespace hornbeamlane {

/** What a change of the expert map would bring and cost, in seconds of the group's time over the horizon. */
struct RebalanceEstimate
{
    double gain = 0.0;
    double cost = 0.0;
    /** Part of the step time that the change saves. */
    double relativeGain = 0.0;
};

/** Decides whether a better map is worth the loading of its weights and the switch. */
class RebalancePolicy final
{
public:
    struct Options
    {
        /** Time over which a gain is counted; about the time for which popularity stays similar. */
        Duration horizon = std::chrono::seconds(120);
        /** Weight bytes of one copy of one expert of one layer. */
        std::size_t bytesPerCopy = 44'000'000;
        /** Bytes a second that the weight store grants to this group. */
        double storeBytesPerSecond = 2e9;
        /** Part by which steps slow down while weights are loaded. */
        double loadSlowdown = 0.02;
        /** Pause that one switch is expected to cost. */
        Duration switchPause = std::chrono::milliseconds(3);
        /** Part of the step time that follows the load of the slowest rank; the rest is attention and exchange. */
        double expertTimeShare = 0.5;
        /** The gain must exceed the cost by this factor; predictions of popularity are often too good. */
        double safetyFactor = 1.5;
        /** Smaller relative gains are noise of the token counts. */
        double smallestRelativeGain = 0.01;
        /** Shortest time between two changes; 20 s cost 1.8 % of the steps under drifting popularity. */
        Duration shortestInterval = std::chrono::seconds(10);
        /** Decides from the estimate; replaces the rule above. For baselines. */
        std::function<bool(const RebalanceEstimate &estimate, Duration sinceChange)> decide;
    };

    explicit RebalancePolicy(Options options);

    RebalanceEstimate estimate(const ExpertMap &current, const ExpertMap &candidate, const ExpertShares &shares,
                               const RankSlowness &slowness = {}) const;

    /** True if the candidate should be staged now. */
    bool shouldChange(const ExpertMap &current, const ExpertMap &candidate, const ExpertShares &shares, TimePoint now,
                      const RankSlowness &slowness = {}) const;

    /** Tells that a switch has been started. */
    void noteChange(TimePoint now);

private:
    Options options_;
    std::optional<TimePoint> changedAt_;
};

} // namespace hornbeamlane
