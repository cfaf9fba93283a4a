#include "hornbeamlane_dispatch/queue/ArrivalRates.h"

#include <algorithm>

namespace hornbeamlane {

namespace {

/** Load messages carry three bytes of a team's hash. */
constexpr std::uint64_t teamHashMask = 0xFFFFFF;

} // namespace

TeamHash hashOfTeam(const TeamId &team)
{
    return team.isEmpty() ? 0 : static_cast<TeamHash>(hash64(team.name()) & teamHashMask);
}

std::uint32_t boundedPriority(std::uint32_t priority)
{
    return std::min(priority, leastUrgentPriority);
}

ArrivalMeter::ArrivalMeter()
    : ArrivalMeter(Options())
{
}

ArrivalMeter::ArrivalMeter(Options options)
    : options_(options)
{
}

void ArrivalMeter::count(const ArrivalClass &arrivals, TimePoint now)
{
    auto key = arrivals;
    key.priority = boundedPriority(key.priority);
    if (meters_.size() >= options_.maxClasses && !meters_.contains(key)) {
        key.team = 0;
    }
    meters_[key].count(now);
}

std::vector<ArrivalRate> ArrivalMeter::rates(TimePoint now)
{
    std::erase_if(meters_, [&](const auto &entry) { return entry.second.perSecond(now) < options_.leastPerSecond; });
    std::vector<ArrivalRate> rates;
    rates.reserve(meters_.size());
    for (const auto &[key, meter] : meters_) {
        rates.push_back({.arrivals = key, .perSecond = meter.perSecond(now)});
    }
    return rates;
}

std::vector<ArrivalRate> ArrivalMeter::ratesToTell(TimePoint now)
{
    auto all = rates(now);
    if (all.size() <= options_.toldClasses) {
        return all;
    }
    std::sort(all.begin(), all.end(),
              [](const ArrivalRate &a, const ArrivalRate &b) { return a.perSecond > b.perSecond; });
    std::map<ArrivalClass, double> others;
    for (auto i = options_.toldClasses; i < all.size(); ++i) {
        auto key = all[i].arrivals;
        key.team = 0;
        others[key] += all[i].perSecond;
    }
    all.resize(options_.toldClasses);
    for (auto &told : all) {
        if (const auto same = others.extract(told.arrivals)) {
            told.perSecond += same.mapped();
        }
    }
    for (const auto &[key, perSecond] : others) {
        all.push_back({.arrivals = key, .perSecond = perSecond});
    }
    return all;
}

} // namespace hornbeamlane
