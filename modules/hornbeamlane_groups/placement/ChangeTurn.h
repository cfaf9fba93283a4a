#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"

#include <optional>

namespace hornbeamlane {

/** Lets one group of a service change its expert map at a time, so that copying slows one group and not all. */
class ChangeTurn final
{
public:
    /** A group that does not give its turn back, because it is broken or its keeper is gone, loses it after this time,
        which is longer than a change takes whose orders all arrive. */
    explicit ChangeTurn(Duration longest = std::chrono::seconds(5))
        : longest_(longest)
    {
    }

    /** False while another group has the turn. */
    bool take(const GroupId &group, TimePoint now)
    {
        if (holder_ && *holder_ != group && now - takenAt_ < longest_) {
            return false;
        }
        holder_ = group;
        takenAt_ = now;
        return true;
    }

    void giveBack(const GroupId &group)
    {
        if (holder_ == group) {
            holder_.reset();
        }
    }

private:
    Duration longest_;
    std::optional<GroupId> holder_;
    TimePoint takenAt_;
};

} // namespace hornbeamlane
