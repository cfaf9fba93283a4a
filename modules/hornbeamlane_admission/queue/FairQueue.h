#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace hornbeamlane {

/**
    Bounded queue of admitted but not yet started requests.

    Higher priorities go first; inside a priority, teams share by deficit round robin. A step takes O(log n).
*/
class FairQueue final
{
public:
    struct Options
    {
        std::size_t capacity = 1024;
        /** Cost that a team may spend in one round. */
        std::uint32_t quantum = 256;
        /** Whether a request that would get its first token at this time is late; replaced to switch it off. */
        std::function<bool(TimePoint predicted, TimePoint deadline)> isLate;
    };

    struct Item
    {
        AttemptId attempt;
        TeamId team;
        std::uint32_t priority = 0;
        /** Expected work, for instance in tokens. */
        std::uint32_t cost = 1;
        /** Latest useful time of the first token. */
        TimePoint firstTokenDeadline;
    };

    explicit FairQueue(Options options);

    /**
        Adds a request. A full queue drops one: the newest of the longest team of the lowest priority, which can be the
        new request itself. Returns the dropped one.
    */
    std::optional<Item> push(Item item);

    std::optional<Item> pop();

    std::optional<Item> cancel(const AttemptId &attempt);

    /** Removes the requests whose first token would be late if it came after the given time from now. */
    std::vector<Item> dropLate(TimePoint now, Duration timeToFirstToken);

    bool isLate(TimePoint predicted, TimePoint deadline) const;

    /** Upper estimate of the requests that are served before a new one of this team. */
    std::size_t ahead(const TeamId &team, std::uint32_t priority) const;

    std::optional<TimePoint> earliestDeadline() const;

    std::size_t size() const
    {
        return locations_.size();
    }

private:
    using Items = std::list<Item>;
    using Ring = std::list<TeamId>;

    struct TeamQueue
    {
        Items items;
        std::int64_t deficit = 0;
        Ring::iterator position;
    };

    struct PriorityQueue
    {
        std::unordered_map<TeamId, TeamQueue> teams;
        /** Teams with waiting requests; the front is served next. */
        Ring ring;
        std::set<std::pair<std::size_t, TeamId>> lengths;
        std::size_t size = 0;
    };

    using Priorities = std::map<std::uint32_t, PriorityQueue, std::greater<>>;

    Item removeItem(Priorities::iterator priority, const TeamId &team, Items::iterator item);

    Options options_;
    Priorities priorities_;
    std::unordered_map<AttemptId, Items::iterator> locations_;
    std::set<std::pair<TimePoint, AttemptId>> deadlines_;
};

} // namespace hornbeamlane
