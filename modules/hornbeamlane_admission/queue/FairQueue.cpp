#include "hornbeamlane_admission/queue/FairQueue.h"

#include <algorithm>

namespace hornbeamlane {

namespace {

// Bounds the rounds that one request waits for its deficit, and so the steps of pop().
constexpr std::uint32_t maxRoundsPerItem = 4;

} // namespace

FairQueue::FairQueue(Options options)
    : options_(std::move(options))
{
    HORNBEAMLANE_ASSERT(options_.capacity > 0 && options_.quantum > 0);
    if (!options_.isLate) {
        options_.isLate = [](TimePoint predicted, TimePoint deadline) { return predicted > deadline; };
    }
}

std::optional<FairQueue::Item> FairQueue::push(Item item)
{
    HORNBEAMLANE_ASSERT(!locations_.contains(item.attempt));
    item.cost = std::clamp(item.cost, 1U, options_.quantum * maxRoundsPerItem);
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
    locations_.emplace(place->attempt, place);
    deadlines_.emplace(place->firstTokenDeadline, place->attempt);
    if (size() <= options_.capacity) {
        return std::nullopt;
    }
    const auto lowest = std::prev(priorities_.end());
    const auto longest = lowest->second.lengths.rbegin()->second;
    return removeItem(lowest, longest, std::prev(lowest->second.teams.at(longest).items.end()));
}

std::optional<FairQueue::Item> FairQueue::pop()
{
    if (priorities_.empty()) {
        return std::nullopt;
    }
    const auto priority = priorities_.begin();
    auto &queue = priority->second;
    while (true) {
        const auto teamId = queue.ring.front();
        auto &team = queue.teams.at(teamId);
        if (team.deficit >= team.items.front().cost) {
            team.deficit -= team.items.front().cost;
            return removeItem(priority, teamId, team.items.begin());
        }
        team.deficit += options_.quantum;
        queue.ring.splice(queue.ring.end(), queue.ring, team.position);
    }
}

std::optional<FairQueue::Item> FairQueue::cancel(const AttemptId &attempt)
{
    const auto location = locations_.find(attempt);
    if (location == locations_.end()) {
        return std::nullopt;
    }
    const auto item = location->second;
    const auto team = item->team;
    return removeItem(priorities_.find(item->priority), team, item);
}

FairQueue::Item FairQueue::removeItem(Priorities::iterator priority, const TeamId &team, Items::iterator item)
{
    auto &queue = priority->second;
    const auto teamPosition = queue.teams.find(team);
    auto &items = teamPosition->second.items;
    queue.lengths.erase({items.size(), team});
    Item removed = std::move(*item);
    items.erase(item);
    --queue.size;
    locations_.erase(removed.attempt);
    deadlines_.erase({removed.firstTokenDeadline, removed.attempt});
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

std::vector<FairQueue::Item> FairQueue::dropLate(TimePoint now, Duration timeToFirstToken)
{
    std::vector<Item> dropped;
    while (!deadlines_.empty() && options_.isLate(now + timeToFirstToken, deadlines_.begin()->first)) {
        const auto attempt = deadlines_.begin()->second;
        dropped.push_back(*cancel(attempt));
    }
    return dropped;
}

bool FairQueue::isLate(TimePoint predicted, TimePoint deadline) const
{
    return options_.isLate(predicted, deadline);
}

std::size_t FairQueue::ahead(const TeamId &team, std::uint32_t priority) const
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

std::optional<TimePoint> FairQueue::earliestDeadline() const
{
    return deadlines_.empty() ? std::nullopt : std::optional(deadlines_.begin()->first);
}

} // namespace hornbeamlane
