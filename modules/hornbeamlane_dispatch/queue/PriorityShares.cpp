#include "hornbeamlane_dispatch/queue/PriorityShares.h"

#include <algorithm>
#include <cmath>

namespace hornbeamlane {

namespace {

/** Steps of the search for the level; it is exact to a millionth of the largest demand. */
constexpr int levelSteps = 20;

/** What a team gets if no team gets more than the level, except for floors. */
double allotted(double demand, double floorPart, double level)
{
    return std::min(demand, std::max(demand * floorPart, level));
}

/** The level at which the teams together use the capacity. */
double levelFor(const std::map<TeamHash, double> &demands, double floorPart, double capacity)
{
    double low = 0;
    double high = 0;
    for (const auto &[team, demand] : demands) {
        high = std::max(high, demand);
    }
    for (int i = 0; i < levelSteps; ++i) {
        const double level = (low + high) / 2;
        double used = 0;
        for (const auto &[team, demand] : demands) {
            used += allotted(demand, floorPart, level);
        }
        (used > capacity ? high : low) = level;
    }
    return low;
}

} // namespace

PriorityShares::PriorityShares(const Options &options, const std::map<ArrivalClass, double> &demand,
                               double capacityPerSecond)
{
    double all = 0;
    for (const auto &[arrivals, perSecond] : demand) {
        if (!(perSecond > 0) || !std::isfinite(perSecond)) {
            continue;
        }
        auto &kind = kinds_[{boundedPriority(arrivals.priority), arrivals.isLate}];
        kind.teams[arrivals.team] += perSecond;
        kind.demand += perSecond;
        all += perSecond;
        demandPerSecond_ += arrivals.isLate ? 0 : perSecond;
    }
    isShort_ = capacityPerSecond > 0 && std::isfinite(capacityPerSecond) && all > capacityPerSecond;
    if (isShort_) {
        divideAmongPriorities(options, capacityPerSecond);
    }
}

void PriorityShares::divideAmongPriorities(const Options &options, double capacity)
{
    roomPerSecond_ = std::max(0.0, capacity - demandPerSecond_);
    const double average = demandPerSecond_ > 0 ? std::min(1.0, capacity / demandPerSecond_) : 1.0;
    double left = capacity;
    for (auto &[key, kind] : kinds_) {
        kind.share = key.second ? 0 : options.priorityFloor * average * kind.demand;
        left -= kind.share;
    }
    // A late request is worth less to its caller than one in time, so late ones come after all others.
    for (const bool isLate : {false, true}) {
        for (auto &[key, kind] : kinds_) {
            if (key.second == isLate) {
                const double more = std::clamp(kind.demand - kind.share, 0.0, std::max(left, 0.0));
                kind.share += more;
                left -= more;
            }
        }
    }
    for (auto &[key, kind] : kinds_) {
        divideAmongTeams(kind, key.second ? 0 : options.teamFloor * average);
    }
}

void PriorityShares::divideAmongTeams(Kind &kind, double floorPart)
{
    const double average = kind.demand > 0 ? std::min(1.0, kind.share / kind.demand) : 1.0;
    if (average >= 1) {
        return;
    }
    auto named = kind.teams;
    const auto others = named.extract(0);
    if (others) {
        // Nothing tells how these divide among teams, so they get what the priority gets on average.
        kind.parts[0] = average;
    }
    const double capacity = kind.share - (others ? others.mapped() * average : 0);
    const double level = levelFor(named, floorPart, capacity);
    for (const auto &[team, demand] : named) {
        kind.parts[team] = allotted(demand, floorPart, level) / demand;
    }
}

double PriorityShares::admittedPart(const ArrivalClass &arrivals) const
{
    const auto found = kinds_.find({boundedPriority(arrivals.priority), arrivals.isLate});
    if (!isShort_) {
        return 1;
    }
    if (found == kinds_.end()) {
        return arrivals.isLate && roomPerSecond_ <= 0 ? 0 : 1;
    }
    const auto &kind = found->second;
    if (const auto part = kind.parts.find(arrivals.team); part != kind.parts.end()) {
        return part->second;
    }
    if (const auto others = kind.parts.find(0); others != kind.parts.end()) {
        return others->second;
    }
    return kind.share > 0 ? 1 : 0;
}

double PriorityShares::demandOf(std::uint32_t priority) const
{
    const auto found = kinds_.find({boundedPriority(priority), false});
    return found == kinds_.end() ? 0 : found->second.demand;
}

double PriorityShares::admittedPartOf(std::uint32_t priority) const
{
    const auto found = kinds_.find({boundedPriority(priority), false});
    if (!isShort_ || found == kinds_.end() || found->second.demand <= 0) {
        return 1;
    }
    return std::min(1.0, found->second.share / found->second.demand);
}

} // namespace hornbeamlane
