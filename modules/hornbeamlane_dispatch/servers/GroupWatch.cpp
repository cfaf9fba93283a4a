#include "hornbeamlane_dispatch/servers/GroupWatch.h"

#include <utility>

namespace hornbeamlane {

GroupWatch::GroupWatch(Options options)
    : options_(options)
{
}

bool GroupWatch::isOpen(const GroupPlace &place, TimePoint now) const
{
    return (place.isOpen || hasFormed(place)) && !isClosedByAnswers(place, now);
}

bool GroupWatch::hasFormed(const GroupPlace &place) const
{
    const auto *forming = formingOf(place);
    return forming != nullptr && forming->hasFormed;
}

bool GroupWatch::isClosedByAnswers(const GroupPlace &place, TimePoint now) const
{
    const auto lost = lostRanks_.find(place.group);
    const bool hasLostRank = lost != lostRanks_.end() && place.epoch <= lost->second.epoch && now < lost->second.until;
    const auto stall = stalls_.find(place.group);
    const bool isStalled =
        stall != stalls_.end() && place.epoch <= stall->second.epoch && now < stall->second.closedUntil;
    return hasLostRank || isStalled;
}

const GroupWatch::Forming *GroupWatch::formingOf(const GroupPlace &place) const
{
    const auto found = forming_.find(place.group);
    // An entry of a later epoch is newer than what is known here.
    return found != forming_.end() && place.epoch <= found->second.epoch ? &found->second : nullptr;
}

bool GroupWatch::onReportedOpen(const GroupPlace &place, std::uint64_t epoch, TimePoint now)
{
    // A report may be older than the entries.
    if (place.isOpen || epoch <= place.epoch || hasFormed(place)) {
        return false;
    }
    lostRanks_.erase(place.group);
    stalls_.erase(place.group);
    forming_[place.group] = {.epoch = place.epoch, .since = now, .triedAt = {}, .hasFormed = true};
    return true;
}

void GroupWatch::onAllRanksListed(const GroupId &group, std::uint64_t epoch, TimePoint now)
{
    const auto found = forming_.find(group);
    if (found == forming_.end() || found->second.epoch < epoch) {
        forming_[group] = {.epoch = epoch, .since = now, .triedAt = {}, .hasFormed = false};
    }
}

bool GroupWatch::mayTry(const GroupPlace &place, TimePoint now) const
{
    const auto *forming = formingOf(place);
    return forming != nullptr && now - forming->since >= options_.formingTime
        && (!forming->triedAt || now - *forming->triedAt >= options_.trialInterval) && !isClosedByAnswers(place, now);
}

void GroupWatch::onSent(const GroupPlace &place, TimePoint now)
{
    if (formingOf(place) != nullptr) {
        forming_[place.group].triedAt = now;
    }
}

void GroupWatch::onRankLost(const GroupId &group, std::uint64_t epoch, TimePoint now)
{
    // A rejection may arrive after the group has formed again; the epoch tells which of the two it speaks of.
    if (const auto forming = forming_.find(group); forming != forming_.end() && forming->second.epoch <= epoch) {
        forming_.erase(forming);
    }
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

bool GroupWatch::onProgress(const GroupPlace &place)
{
    stalls_.erase(place.group);
    return !place.isOpen && formingOf(place) != nullptr && !std::exchange(forming_[place.group].hasFormed, true);
}

} // namespace hornbeamlane
