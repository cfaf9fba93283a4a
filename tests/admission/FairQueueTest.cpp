#include "hornbeamlane_admission/hornbeamlane_admission.h"

#include <gtest/gtest.h>

#include <map>

namespace hornbeamlane {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint start(1h);

FairQueue::Item item(std::uint64_t sequence, const std::string &team, std::uint32_t priority, std::uint32_t cost = 100,
                     Duration deadline = 1s)
{
    return {.attempt = {.entry = Incarnation(1), .sequence = sequence},
            .team = TeamId(team),
            .priority = priority,
            .cost = cost,
            .firstTokenDeadline = start + deadline};
}

// Guards against a team that gets more than its part by many or by expensive requests, and against lost requests.
TEST(FairQueue, SharesWorkBetweenTeams)
{
    FairQueue queue({});
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
    FairQueue queue({.capacity = 4});
    for (std::uint64_t i = 1; i <= 3; ++i) {
        EXPECT_FALSE(queue.push(item(i, "large", 1)).has_value());
    }
    queue.push(item(4, "small", 1));
    EXPECT_EQ(queue.push(item(5, "small", 1))->attempt.sequence, 3U);
    EXPECT_EQ(queue.push(item(6, "other", 5))->team, TeamId("small"));
    EXPECT_EQ(queue.push(item(7, "other", 0))->attempt.sequence, 7U);
    EXPECT_EQ(queue.pop()->attempt.sequence, 6U);
}

// Guards against requests that wait although they can no longer be in time, and against cancelled ones that run.
TEST(FairQueue, DropsLateAndCancelledRequests)
{
    FairQueue queue({});
    for (std::uint64_t i = 1; i <= 5; ++i) {
        queue.push(item(i, i % 2 == 0 ? "a" : "b", 1, 100, i * 100ms));
    }
    EXPECT_TRUE(queue.cancel(item(3, "b", 1).attempt).has_value());
    EXPECT_FALSE(queue.cancel(item(3, "b", 1).attempt).has_value());
    const auto late = queue.dropLate(start, 250ms);
    ASSERT_EQ(late.size(), 2U);
    EXPECT_EQ(late.back().attempt.sequence, 2U);
    EXPECT_EQ(queue.size(), 2U);
    EXPECT_EQ(*queue.earliestDeadline(), start + 400ms);
}

// Guards against a prediction that counts the whole queue of a large team for a small one.
TEST(FairQueue, PredictsTheFairPosition)
{
    FairQueue queue({});
    for (std::uint64_t i = 1; i <= 50; ++i) {
        queue.push(item(i, "large", 1));
    }
    EXPECT_EQ(queue.ahead(TeamId("small"), 1), 1U);
    EXPECT_EQ(queue.ahead(TeamId("large"), 1), 50U);
    EXPECT_EQ(queue.ahead(TeamId("small"), 0), 50U);
    EXPECT_EQ(queue.ahead(TeamId("small"), 2), 0U);
}

} // namespace
} // namespace hornbeamlane
