#include "hornbeamlane_routing/departure/SpillPolicy.h"

#include <algorithm>
#include <numeric>

namespace hornbeamlane {

SpillPolicy::SpillPolicy(const ServerView &view)
    : SpillPolicy(view, Options{})
{
}

SpillPolicy::SpillPolicy(const ServerView &view, Options options)
    : view_(view)
    , options_(std::move(options))
{
    HORNBEAMLANE_ASSERT(options_.entryCount > 0 && options_.shedAllAt > options_.shedFrom);
    if (!options_.ramp) {
        options_.ramp = linearRamp;
    }
    if (!options_.weight) {
        options_.weight = [this](const Share &share) { return std::min(freeForSpill(share), share.budget); };
    }
    if (!options_.shedding) {
        options_.shedding = [this](double pressure, double rank) { return defaultShedding(pressure, rank); };
    }
}

void SpillPolicy::onReturned(DataCentreIndex dataCentre, TimePoint now)
{
    if (dataCentre >= returnedAt_.size()) {
        returnedAt_.resize(dataCentre + std::size_t{1});
    }
    returnedAt_[dataCentre] = now;
}

std::optional<DataCentreIndex> SpillPolicy::choose(TargetIndex target, DataCentreIndex own, double rank, TimePoint now,
                                                   RandomSource &random)
{
    shares_.clear();
    double capacity = 0;
    double load = 0;
    std::optional<Share> ownShare;
    for (DataCentreIndex i = 0; i < view_.dataCentreCount(); ++i) {
        if (view_.pool(target, i).servers.empty()) {
            continue;
        }
        const auto share = shareOf(target, i, now);
        capacity += share.capacity;
        load += share.load;
        if (i == own) {
            ownShare = share;
        } else {
            shares_.push_back(share);
        }
    }
    if (capacity <= 0 || random.unit() < options_.shedding(load / capacity, rank)) {
        return std::nullopt;
    }
    if (ownShare && ownShare->load < options_.fillTo * ownShare->capacity && random.unit() < ownShare->ramp) {
        return own;
    }
    weights_.clear();
    for (const auto &share : shares_) {
        weights_.push_back(std::max(0.0, options_.weight(share)));
    }
    double draw = random.unit() * std::accumulate(weights_.begin(), weights_.end(), 0.0);
    for (std::size_t i = 0; i < shares_.size(); ++i) {
        if (weights_[i] > 0 && draw < weights_[i]) {
            budgets_[target][shares_[i].dataCentre].left -= 1;
            return shares_[i].dataCentre;
        }
        draw -= weights_[i];
    }
    // The others have no room. The own data centre queues up to its bound, which its agents enforce.
    if (ownShare && ownShare->load < options_.shedAllAt * ownShare->capacity) {
        return own;
    }
    return std::nullopt;
}

double SpillPolicy::ramp(DataCentreIndex dataCentre, TimePoint now) const
{
    if (dataCentre >= returnedAt_.size() || !returnedAt_[dataCentre]) {
        return 1;
    }
    return std::clamp(options_.ramp(now - *returnedAt_[dataCentre]), 0.0, 1.0);
}

double SpillPolicy::linearRamp(Duration sinceReturn)
{
    constexpr double first = 0.05;
    constexpr std::chrono::duration<double> length = std::chrono::seconds(60);
    const std::chrono::duration<double> since = sinceReturn;
    return std::clamp(first + (1 - first) * (since / length), first, 1.0);
}

SpillPolicy::Share SpillPolicy::shareOf(TargetIndex target, DataCentreIndex dataCentre, TimePoint now)
{
    const auto &pool = view_.pool(target, dataCentre);
    Share share{.dataCentre = dataCentre,
                .capacity = static_cast<double>(pool.capacity),
                .load = static_cast<double>(pool.load),
                .ramp = ramp(dataCentre, now)};
    if (target >= budgets_.size()) {
        budgets_.resize(target + std::size_t{1});
    }
    auto &budgets = budgets_[target];
    if (dataCentre >= budgets.size()) {
        budgets.resize(dataCentre + std::size_t{1});
    }
    auto &budget = budgets[dataCentre];
    if (now - budget.refilledAt >= options_.budgetInterval) {
        budget.refilledAt = now;
        // All entries see the same free capacity until the next reports, so each uses only its part of it. A rest
        // below one request is carried over: otherwise many entries would never use a small free capacity.
        const double part = freeForSpill(share) / options_.entryCount;
        budget.left = part + std::min(budget.left, 1.0);
    }
    share.budget = budget.left;
    return share;
}

double SpillPolicy::freeForSpill(const Share &share) const
{
    return std::max(0.0, options_.spillTo * share.capacity * share.ramp - share.load);
}

double SpillPolicy::defaultShedding(double pressure, double rank) const
{
    // Class by class: rank 1 is shed fully before rank 0 starts, with a linear rise in between.
    const double width = (options_.shedAllAt - options_.shedFrom) / 2;
    const double start = options_.shedFrom + (1 - rank) * width;
    return std::clamp((pressure - start) / width, 0.0, 1.0);
}

} // namespace hornbeamlane
