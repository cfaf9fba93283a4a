#include "hornbeamlane_groups/placement/RebalancePolicy.h"

#include <algorithm>
#include <utility>

namespace hornbeamlane {

RebalancePolicy::RebalancePolicy(Options options)
    : options_(std::move(options))
{
    HORNBEAMLANE_ASSERT(options_.storeBytesPerSecond > 0.0);
}

RebalanceEstimate RebalancePolicy::estimate(const ExpertMap &current, const ExpertMap &candidate,
                                            const ExpertShares &shares, const RankSlowness &slowness) const
{
    const double before = ExpertPlacement::imbalance(current, shares, slowness);
    const double after = ExpertPlacement::imbalance(candidate, shares, slowness);
    const double stepBefore = 1.0 - options_.expertTimeShare + options_.expertTimeShare * before;
    const double relativeGain = options_.expertTimeShare * (before - after) / stepBefore;
    const double loadSeconds = static_cast<double>(candidate.copiesMissingIn(current))
        * static_cast<double>(options_.bytesPerCopy) / options_.storeBytesPerSecond;
    const double horizon = std::chrono::duration<double>(options_.horizon).count();
    // Nothing is gained before the weights are loaded.
    return {.gain = relativeGain * std::max(0.0, horizon - loadSeconds),
            .cost = options_.loadSlowdown * loadSeconds + std::chrono::duration<double>(options_.switchPause).count(),
            .relativeGain = relativeGain};
}

bool RebalancePolicy::shouldChange(const ExpertMap &current, const ExpertMap &candidate, const ExpertShares &shares,
                                   TimePoint now, const RankSlowness &slowness) const
{
    if (current.hasSamePlacement(candidate)) {
        return false;
    }
    const auto expected = estimate(current, candidate, shares, slowness);
    const Duration sinceChange = changedAt_ ? now - *changedAt_ : Duration::max();
    if (options_.decide) {
        return options_.decide(expected, sinceChange);
    }
    return sinceChange >= options_.shortestInterval && expected.relativeGain >= options_.smallestRelativeGain
        && expected.gain >= expected.cost * options_.safetyFactor;
}

void RebalancePolicy::noteChange(TimePoint now)
{
    changedAt_ = now;
}

} // namespace hornbeamlane
