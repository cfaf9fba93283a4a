#include "hornbeamlane_dispatch/hornbeamlane_dispatch.h"

#include <gtest/gtest.h>

namespace hornbeamlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint start{seconds(50)};

// Guards against a less urgent request that starts before a more urgent one, and against unfairness among equals.
TEST(AdmissionQueueTest, ServesTheMostUrgentThenTheOldest)
{
    AdmissionQueue queue;
    const auto late = queue.add(5, start + seconds(1));
    const auto first = queue.add(1, start + seconds(1));
    const auto second = queue.add(1, start + milliseconds(500));
    EXPECT_EQ(queue.front()->number, first);
    queue.remove(first);
    EXPECT_EQ(queue.front()->number, second);
    EXPECT_EQ(queue.nextExpiry(), start + milliseconds(500));
    const auto expired = queue.takeExpired(start + milliseconds(600));
    ASSERT_EQ(expired.size(), 1U);
    EXPECT_EQ(expired.front().number, second);
    EXPECT_EQ(queue.front()->number, late);
}

// Guards against a retry storm: with all entries at their share the sum stays within the bound of the service.
TEST(RetryAllowanceTest, KeepsTheSumOfAllEntriesWithinTheBound)
{
    constexpr double ratio = 0.2;
    constexpr double allowance = 92;
    constexpr std::uint32_t entries = 8;
    constexpr int requestsOfEntry = 100;
    RetryAllowance entry({.ratio = ratio, .allowance = allowance, .window = seconds(10), .entryCount = entries});
    int retries = 0;
    for (int i = 0; i < requestsOfEntry; ++i) {
        const auto now = start + milliseconds(100 * i);
        entry.countRequest(now);
        while (entry.takeRetry(now)) {
            ++retries;
        }
    }
    EXPECT_GT(retries, 0);
    EXPECT_LE(retries * entries, ratio * requestsOfEntry * entries + allowance);
}

// Guards against retries that are never allowed again after a window has been used up.
TEST(RetryAllowanceTest, GivesBackWhatLeavesTheWindow)
{
    RetryAllowance entry({.ratio = 0, .allowance = 10, .window = seconds(10), .entryCount = 1});
    while (entry.takeRetry(start)) {}
    EXPECT_FALSE(entry.takeRetry(start + seconds(9)));
    EXPECT_TRUE(entry.takeRetry(start + seconds(11)));
}

// Guards against a rate that stays up after requests have stopped.
TEST(RateMeterTest, FollowsTheRate)
{
    RateMeter meter;
    auto now = start;
    for (int i = 0; i < 500; ++i) {
        now += milliseconds(10);
        meter.count(now);
    }
    EXPECT_NEAR(meter.perSecond(now), 100, 5);
    EXPECT_LT(meter.perSecond(now + seconds(5)), 1);
}

} // namespace
} // namespace hornbeamlane
