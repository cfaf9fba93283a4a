#include "hornbeamlane_dispatch/servers/GroupStates.h"

#include <utility>

namespace hornbeamlane {

namespace {

bool isNewer(const GroupPlace &place, const GroupState &state)
{
    return std::pair(place.epoch, !place.isOpen) > std::pair(state.epoch, !state.isOpen);
}

} // namespace

void GroupStates::update(const std::vector<GroupPlace> &places, TimePoint now)
{
    std::map<GroupId, GroupState> states;
    for (const auto &place : places) {
        const GroupState told{.epoch = place.epoch, .isOpen = place.isOpen, .since = now};
        const auto [known, isFirst] = states.emplace(place.group, told);
        if (!isFirst && isNewer(place, known->second)) {
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
