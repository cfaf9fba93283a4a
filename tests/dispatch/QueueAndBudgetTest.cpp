#include "hornbeamlane_dispatch/hornbeamlane_dispatch.h"

#include <gtest/gtest.h>

namespace hornbeamlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint start{seconds(50)};

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
