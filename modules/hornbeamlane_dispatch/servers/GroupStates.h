#pragma once

#include "hornbeamlane_dispatch/servers/GroupWatch.h"

#include <map>
#include <vector>

namespace hornbeamlane {

/** What the entries of its ranks say of a group. */
struct GroupState
{
    std::uint64_t epoch = 0;
    bool isOpen = false;
    /** When the entries began to say so. */
    TimePoint since;
};

/**
    States of all groups, each by the newest entry of its ranks.

    A lost rank leaves an entry that still calls the group open, and the others follow one by one. An epoch begins open
    and ends broken, so of two entries in one epoch the broken one is newer. Entries that name one rank contradict each
    other, so they count only while no other rank has an entry.
*/
class GroupStates final
{
public:
    /** The places of all ranks whose entries count; replaces what was known. */
    void update(const std::vector<const GroupPlace *> &places, TimePoint now);

    /** The place as the state of its group has it. */
    GroupPlace withState(GroupPlace place) const;

    const std::map<GroupId, GroupState> &all() const
    {
        return states_;
    }

private:
    std::map<GroupId, GroupState> states_;
};

} // namespace hornbeamlane
