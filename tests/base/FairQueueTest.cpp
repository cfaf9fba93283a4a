#include "hornbeamlane_base/hornbeamlane_base.h"

#include <gtest/gtest.h>

#include <map>

namespace hornbeamlane {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint start(1h);

using Queue = FairQueue<AttemptId>;

Queue::Item item(std::uint64_t sequence, const std::string &team, std::uint32_t priority, std::uint32_t cost = 100,
                 Duration deadline = 1s)
{
    return {.id = {.entry = Incarnation(1), .sequence = sequence},
            .team = TeamId(team),
            .priority = priority,
            .cost = cost,
            .deadline = start + deadline};
}

// Guards against a team that gets more than its part by many or by expensive requests, and against lost requests.
TEST(FairQueue, SharesWorkBetweenTeams)
{
    Queue queue({});
    std::map<std::string, int> cost = {{"many", 50}, {"costly", 400}, {"few", 100}};
    std::uint64_t sequence = 0;
    for (const auto &[team, each] : cost) {
        for (int i = 0; i < 40'000 / each; ++i) {
            queue.push(item(++sequence, team, 1, static_cast<std::uint32_t>(each)));
        }
    }
    std::map<std::string, int> served;
    for (int work = 0; work < 60'000;) {
        const auto next = queue.pop();
        served[next->team.name()] += cost.at(next->team.name());
        work += cost.at(next->team.name());
    }
    for (const auto &[team, work] : served) {
        EXPECT_NEAR(work, 20'000, 1100) << team;
    }
    while (queue.pop()) {}
    EXPECT_EQ(queue.size(), 0U);
    EXPECT_FALSE(queue.earliestDeadline().has_value());
}

// Guards against a full queue that sheds the important or the small team instead of the one that filled it.
TEST(FairQueue, ShedsTheLongestTeamOfTheLowestPriority)
{
    Queue queue({.capacity = 4});
    for (std::uint64_t i = 1; i <= 3; ++i) {
        EXPECT_FALSE(queue.push(item(i, "large", 1)).has_value());
    }
    queue.push(item(4, "small", 1));
    EXPECT_EQ(queue.push(item(5, "small", 1))->id.sequence, 3U);
    EXPECT_EQ(queue.push(item(6, "other", 5))->team, TeamId("small"));
    EXPECT_EQ(queue.push(item(7, "other", 0))->id.sequence, 7U);
    EXPECT_EQ(queue.pop()->id.sequence, 6U);
}

// Guards against requests that wait although they can no longer be in time, and against cancelled ones that run.
TEST(FairQueue, DropsLateAndCancelledRequests)
{
    Queue queue({});
    for (std::uint64_t i = 1; i <= 5; ++i) {
        queue.push(item(i, i % 2 == 0 ? "a" : "b", 1, 100, i * 100ms));
    }
    EXPECT_TRUE(queue.cancel(item(3, "b", 1).id).has_value());
    EXPECT_FALSE(queue.cancel(item(3, "b", 1).id).has_value());
    const auto late = queue.dropLate(start, 250ms);
    ASSERT_EQ(late.size(), 2U);
    EXPECT_EQ(late.back().id.sequence, 2U);
    EXPECT_EQ(queue.size(), 2U);
    EXPECT_EQ(*queue.earliestDeadline(), start + 400ms);
}

// Guards against a prediction that counts the whole queue of a large team for a small one.
TEST(FairQueue, PredictsTheFairPosition)
{
    Queue queue({});
    for (std::uint64_t i = 1; i <= 50; ++i) {
        queue.push(item(i, "large", 1));
    }
    EXPECT_EQ(queue.ahead(TeamId("small"), 1), 1U);
    EXPECT_EQ(queue.ahead(TeamId("large"), 1), 50U);
    EXPECT_EQ(queue.ahead(TeamId("small"), 0), 50U);
    EXPECT_EQ(queue.ahead(TeamId("small"), 2), 0U);
}

// Guards against a less urgent request that starts before a more urgent one, against unfairness among equals, and
// against one that waits longer than makes sense.
TEST(FairQueue, ServesTheMostUrgentThenTheOldest)
{
    Queue queue({});
    queue.push(item(1, "a", 5));
    queue.push(item(2, "a", 9));
    queue.push(item(3, "a", 9, 100, 500ms));
    EXPECT_EQ(queue.front()->id.sequence, 2U);
    EXPECT_EQ(queue.highestPriority(), 9U);
    queue.cancel(item(2, "a", 9).id);
    EXPECT_EQ(queue.front()->id.sequence, 3U);
    EXPECT_EQ(queue.earliestDeadline(), start + 500ms);
    const auto expired = queue.dropLate(start + 600ms, 0ms);
    ASSERT_EQ(expired.size(), 1U);
    EXPECT_EQ(expired.front().id.sequence, 3U);
    EXPECT_EQ(queue.front()->id.sequence, 1U);
    EXPECT_EQ(queue.highestPriority(), 5U);
}

// Load pattern "one hot team": requests that are looked at, and only then leave the queue, take turns between teams all
// the same. Guards against a team whose requests are all served before the one of another team behind them.
TEST(FairQueue, GivesTurnsToTeamsWhoseRequestsLeaveFromTheFront)
{
    Queue queue({.quantum = 1});
    for (std::uint64_t i = 1; i <= 60; ++i) {
        queue.push(item(i, "hot", 1, 1));
    }
    for (std::uint64_t i = 61; i <= 70; ++i) {
        queue.push(item(i, "small", 1, 1));
    }
    std::map<std::string, int> started;
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(queue.front(), queue.front());
        const auto next = *queue.front();
        queue.cancel(next.id);
        queue.charge(next);
        ++started[next.team.name()];
    }
    EXPECT_EQ(started["small"], 10);
    EXPECT_EQ(started["hot"], 10);
}

} // namespace
} // namespace hornbeamlane
