#include "hornbeamlane_dispatch/servers/GroupStates.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace hornbeamlane {

namespace {

bool isNewer(const GroupPlace &place, const GroupState &state)
{
    return std::pair(place.epoch, !place.isOpen) > std::pair(state.epoch, !state.isOpen);
}

/** Names of groups and how many entries name each of their ranks. */
using RankClaims = std::map<std::string_view, std::map<std::uint32_t, std::size_t>>;

RankClaims claimsOf(const std::vector<const GroupPlace *> &places)
{
    RankClaims claims;
    for (const auto *place : places) {
        ++claims[place->group.name()][place->rank];
    }
    return claims;
}

/** Groups of which some rank has one entry. */
std::set<std::string_view> groupsWithClearRanks(const RankClaims &claims)
{
    std::set<std::string_view> groups;
    for (const auto &[group, ranks] : claims) {
        if (std::any_of(ranks.begin(), ranks.end(), [](const auto &rank) { return rank.second == 1; })) {
            groups.insert(group);
        }
    }
    return groups;
}

} // namespace

void GroupStates::update(const std::vector<const GroupPlace *> &places, TimePoint now)
{
    const auto claims = claimsOf(places);
    const auto clear = groupsWithClearRanks(claims);
    std::map<GroupId, GroupState> states;
    for (const auto *place : places) {
        const std::string_view group = place->group.name();
        if (claims.at(group).at(place->rank) > 1 && clear.contains(group)) {
            continue;
        }
        const GroupState told{.epoch = place->epoch, .isOpen = place->isOpen, .since = now};
        const auto [known, isFirst] = states.emplace(place->group, told);
        if (!isFirst && isNewer(*place, known->second)) {
            known->second = told;
        }
    }
    for (auto &[group, state] : states) {
        const auto before = states_.find(group);
        if (before != states_.end() && before->second.epoch == state.epoch && before->second.isOpen == state.isOpen) {
            state.since = before->second.since;
        }
    }
    states_ = std::move(states);
}

GroupPlace GroupStates::withState(GroupPlace place) const
{
    if (const auto found = states_.find(place.group); found != states_.end()) {
        place.epoch = found->second.epoch;
        place.isOpen = found->second.isOpen;
    }
    return place;
}

} // namespace hornbeamlane
