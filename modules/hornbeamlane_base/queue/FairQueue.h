#pragma once

#include "hornbeamlane_base/failure/Assertions.h"
#include "hornbeamlane_base/identity/Identifiers.h"
#include "hornbeamlane_base/time/Time.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <limits>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hornbeamlane {

namespace detail {

/** Bounds the rounds that one request waits for its deficit, and so the steps to the next one. */
constexpr std::uint32_t maxRoundsPerItem = 4;

} // namespace detail

/**
    Bounded queue of requests that wait to be started, by ids that are ordered and have a hash.

    Higher priorities go first; inside a priority, teams share by deficit round robin, and inside a team the oldest goes
    first. A step takes O(log n).
*/
template <typename Id>
class FairQueue final
{
public:
    struct Options
    {
        std::size_t capacity = 1024;
        /** Cost that a team may spend in one round. */
        std::uint32_t quantum = 256;
        /** Whether a request that would start at this time is late; replaced to switch it off. */
        std::function<bool(TimePoint predicted, TimePoint deadline)> isLate;
    };

    struct Item
    {
        Id id;
        TeamId team;
        std::uint32_t priority = 0;
        /** Expected work, for instance in tokens. */
        std::uint32_t cost = 1;
        /** Latest time at which starting makes sense, or of the first token. */
        TimePoint deadline;
    };

    explicit FairQueue(Options options);

    /**
        Adds a request. A full queue drops one: the newest of the longest team of the lowest priority, which can be the
        new request itself. Returns the dropped one.
    */
    std::optional<Item> push(Item item);

    /** The request to start next, which stays in the queue; null if there is none. */
    const Item *front();

    /** Takes out the request to start next. */
    std::optional<Item> pop();

    /** Takes out a request that is not started. */
    std::optional<Item> cancel(const Id &id);

    /** Charges its team for a request that was in front and has left the queue, as it was started. */
    void charge(const Item &started);

    /** Removes the requests that would be late so long from now. */
    std::vector<Item> dropLate(TimePoint now, Duration timeToStart);

    bool isLate(TimePoint predicted, TimePoint deadline) const;

    /** Upper estimate of the requests that are served before a new one of this team. */
    std::size_t ahead(const TeamId &team, std::uint32_t priority) const;

    /** Priority of the request to start next. */
    std::optional<std::uint32_t> highestPriority() const;

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
        typename Ring::iterator position;
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

    Item removeItem(typename Priorities::iterator priority, const TeamId &team, typename Items::iterator item);

    Options options_;
    Priorities priorities_;
    std::unordered_map<Id, typename Items::iterator> locations_;
    std::set<std::pair<TimePoint, Id>> deadlines_;
};

template <typename Id>
FairQueue<Id>::FairQueue(Options options)
    : options_(std::move(options))
{
    HORNBEAMLANE_ASSERT(options_.capacity > 0 && options_.quantum > 0);
    if (!options_.isLate) {
        options_.isLate = [](TimePoint predicted, TimePoint deadline) { return predicted > deadline; };
    }
}

template <typename Id>
std::optional<typename FairQueue<Id>::Item> FairQueue<Id>::push(Item item)
{
    HORNBEAMLANE_ASSERT(!locations_.contains(item.id));
    item.cost = std::clamp<std::uint32_t>(item.cost, 1, options_.quantum * detail::maxRoundsPerItem);
    auto &queue = priorities_[item.priority];
    auto [position, isNew] = queue.teams.try_emplace(item.team);
    auto &team = position->second;
    if (isNew) {
        team.position = queue.ring.insert(queue.ring.end(), item.team);
        // A full quantum at once, or a team with single requests would wait one round longer than the others.
        team.deficit = options_.quantum;
    }
    queue.lengths.erase({team.items.size(), item.team});
    const auto place = team.items.insert(team.items.end(), std::move(item));
    queue.lengths.emplace(team.items.size(), place->team);
    ++queue.size;
    locations_.emplace(place->id, place);
    deadlines_.emplace(place->deadline, place->id);
    if (size() <= options_.capacity) {
        return std::nullopt;
    }
    const auto lowest = std::prev(priorities_.end());
    const auto longest = lowest->second.lengths.rbegin()->second;
    return removeItem(lowest, longest, std::prev(lowest->second.teams.at(longest).items.end()));
}

template <typename Id>
const typename FairQueue<Id>::Item *FairQueue<Id>::front()
{
    if (priorities_.empty()) {
        return nullptr;
    }
    auto &queue = priorities_.begin()->second;
    while (true) {
        auto &team = queue.teams.at(queue.ring.front());
        if (team.deficit >= team.items.front().cost) {
            return &team.items.front();
        }
        team.deficit += options_.quantum;
        queue.ring.splice(queue.ring.end(), queue.ring, team.position);
    }
}

template <typename Id>
std::optional<typename FairQueue<Id>::Item> FairQueue<Id>::pop()
{
    const auto *next = front();
    if (next == nullptr) {
        return std::nullopt;
    }
    auto item = cancel(next->id);
    charge(*item);
    return item;
}

template <typename Id>
std::optional<typename FairQueue<Id>::Item> FairQueue<Id>::cancel(const Id &id)
{
    const auto location = locations_.find(id);
    if (location == locations_.end()) {
        return std::nullopt;
    }
    const auto item = location->second;
    const auto team = item->team;
    return removeItem(priorities_.find(item->priority), team, item);
}

template <typename Id>
void FairQueue<Id>::charge(const Item &started)
{
    const auto priority = priorities_.find(started.priority);
    if (priority == priorities_.end()) {
        return;
    }
    auto &teams = priority->second.teams;
    // A team without further requests has left the round and begins anew.
    if (const auto team = teams.find(started.team); team != teams.end()) {
        team->second.deficit -= started.cost;
    }
}

template <typename Id>
typename FairQueue<Id>::Item FairQueue<Id>::removeItem(typename Priorities::iterator priority, const TeamId &team,
                                                       typename Items::iterator item)
{
    auto &queue = priority->second;
    const auto teamPosition = queue.teams.find(team);
    auto &items = teamPosition->second.items;
    queue.lengths.erase({items.size(), team});
    Item removed = std::move(*item);
    items.erase(item);
    --queue.size;
    locations_.erase(removed.id);
    deadlines_.erase({removed.deadline, removed.id});
    if (items.empty()) {
        queue.ring.erase(teamPosition->second.position);
        queue.teams.erase(teamPosition);
    } else {
        queue.lengths.emplace(items.size(), removed.team);
    }
    if (queue.size == 0) {
        priorities_.erase(priority);
    }
    return removed;
}

template <typename Id>
std::vector<typename FairQueue<Id>::Item> FairQueue<Id>::dropLate(TimePoint now, Duration timeToStart)
{
    std::vector<Item> dropped;
    while (!deadlines_.empty() && isLate(now + timeToStart, deadlines_.begin()->first)) {
        const auto id = deadlines_.begin()->second;
        dropped.push_back(*cancel(id));
    }
    return dropped;
}

template <typename Id>
bool FairQueue<Id>::isLate(TimePoint predicted, TimePoint deadline) const
{
    return options_.isLate(predicted, deadline);
}

template <typename Id>
std::size_t FairQueue<Id>::ahead(const TeamId &team, std::uint32_t priority) const
{
    std::size_t count = 0;
    for (const auto &[value, queue] : priorities_) {
        if (value > priority) {
            count += queue.size;
        } else if (value == priority) {
            const auto own = queue.teams.find(team);
            const bool isWaiting = own != queue.teams.end();
            const auto ownLength = isWaiting ? own->second.items.size() : 0;
            const auto others = queue.ring.size() - (isWaiting ? 1 : 0);
            // Every other team is served about once for each request of this team.
            count += std::min(queue.size, ownLength + (ownLength + 1) * others);
        }
    }
    return count;
}

template <typename Id>
std::optional<std::uint32_t> FairQueue<Id>::highestPriority() const
{
    return priorities_.empty() ? std::nullopt : std::optional(priorities_.begin()->first);
}

template <typename Id>
std::optional<TimePoint> FairQueue<Id>::earliestDeadline() const
{
    return deadlines_.empty() ? std::nullopt : std::optional(deadlines_.begin()->first);
}

} // namespace hornbeamlane
