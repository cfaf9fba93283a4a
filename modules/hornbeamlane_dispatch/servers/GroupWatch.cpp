#include "hornbeamlane_dispatch/servers/GroupWatch.h"

namespace hornbeamlane {

GroupWatch::GroupWatch(Options options)
    : options_(options)
{
}

bool GroupWatch::isOpen(const GroupPlace &place, TimePoint now) const
{
    const auto lost = lostRanks_.find(place.group);
    const bool hasLostRank = lost != lostRanks_.end() && place.epoch <= lost->second.epoch && now < lost->second.until;
    const auto stall = stalls_.find(place.group);
    const bool isStalled =
        stall != stalls_.end() && place.epoch <= stall->second.epoch && now < stall->second.closedUntil;
    return place.isOpen && !hasLostRank && !isStalled;
}

void GroupWatch::onRankLost(const GroupId &group, std::uint64_t epoch, TimePoint now)
{
    // A rejection may arrive after the group has formed again; the epoch tells which of the two it speaks of.
    auto &lost = lostRanks_[group];
    if (epoch >= lost.epoch) {
        lost = {.epoch = epoch, .until = now + options_.lostRankTime};
    }
}

void GroupWatch::onRankTurnedAway(const GroupId &group, const ServerId &rank, std::uint64_t epoch, TimePoint now)
{
    auto &stall = stalls_[group];
    if (epoch < stall.epoch) {
        return;
    }
    if (epoch > stall.epoch || now - stall.lastAt > options_.evidenceTime) {
        stall = {.epoch = epoch, .ranks = {}, .lastAt = {}, .closedUntil = {}};
    }
    stall.ranks.insert(rank);
    stall.lastAt = now;
    if (stall.ranks.size() >= options_.ranksOfStall) {
        stall.closedUntil = now + options_.stallTime;
    }
}

void GroupWatch::onProgress(const GroupPlace &place)
{
    stalls_.erase(place.group);
}

} // namespace hornbeamlane
