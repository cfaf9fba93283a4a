#include "hornbeamlane_groups/stragglers/RankPaces.h"

#include <algorithm>
#include <cmath>

namespace hornbeamlane {

namespace {

/** Part by which the usual time of a pass rises towards a longer one, a window; it falls at once. A lasting change of
    load thus stops being unusual after some seconds. */
constexpr double riseWeight = 0.1;

/** A larger factor says no more about where experts should be. */
constexpr double largestFactor = 50;

} // namespace

RankPaces::RankPaces(Options options)
    : options_(options)
    , ranks_(options.ranks)
{
}

void RankPaces::notePass(StepNumber step, TimePoint seenAt)
{
    if (!windowStep_ || step < *windowStep_) {
        windowStep_ = step;
        windowStart_ = seenAt;
        return;
    }
    // An idle group makes no passes, so time without one tells nothing.
    if (step == *windowStep_ || seenAt - windowStart_ < options_.window) {
        return;
    }
    const auto passes = static_cast<std::int64_t>(step.value() - windowStep_->value());
    last_ = (seenAt - windowStart_) / passes;
    windowStep_ = step;
    windowStart_ = seenAt;
    if (!usual_ || *last_ < *usual_) {
        usual_ = last_;
        return;
    }
    const std::chrono::duration<double> rise = *last_ - *usual_;
    usual_ = *usual_ + std::chrono::duration_cast<Duration>(rise * riseWeight);
}

void RankPaces::restart()
{
    windowStep_.reset();
    usual_.reset();
    last_.reset();
    askedAt_ = {};
}

std::vector<RankIndex> RankPaces::ranksToAsk(TimePoint now)
{
    const bool isKnown = isAnySlow(now);
    const bool isUnusual = last_ && std::chrono::duration<double>(*last_) > *usual_ * options_.unusual;
    const bool isFirst = askedAt_ == TimePoint{};
    if (!isKnown && !isUnusual && !isFirst) {
        return {};
    }
    if (now - askedAt_ < (isKnown ? options_.askInterval : options_.vainInterval)) {
        return {};
    }
    askedAt_ = now;
    std::vector<RankIndex> ranks(ranks_.size());
    for (std::size_t rank = 0; rank < ranks.size(); ++rank) {
        ranks[rank] = static_cast<RankIndex>(rank);
    }
    return ranks;
}

void RankPaces::onPace(RankIndex rank, double factor, TimePoint now)
{
    if (rank >= ranks_.size()) {
        return;
    }
    const bool makesSense = std::isfinite(factor) && factor >= options_.slowFactor;
    ranks_[rank] = {.factor = makesSense ? std::min(factor, largestFactor) : 1.0, .toldAt = now};
}

RankSlowness RankPaces::slowness(TimePoint now) const
{
    if (!isAnySlow(now)) {
        return {};
    }
    RankSlowness slowness;
    for (const auto &rank : ranks_) {
        slowness.push_back(isSlow(rank, now) ? rank.factor : 1.0);
    }
    return slowness;
}

bool RankPaces::isSlow(const Rank &rank, TimePoint now) const
{
    return rank.factor > 1.0 && now - rank.toldAt < options_.memory;
}

bool RankPaces::isAnySlow(TimePoint now) const
{
    return std::any_of(ranks_.begin(), ranks_.end(), [this, now](const Rank &rank) { return isSlow(rank, now); });
}

} // namespace hornbeamlane
