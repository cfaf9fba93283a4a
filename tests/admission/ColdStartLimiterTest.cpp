#include "hornbeamlane_admission/hornbeamlane_admission.h"

#include <gtest/gtest.h>

namespace hornbeamlane {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint start(1h);

ColdStartLimiter::Options options()
{
    return {.coldConcurrency = 2, .concurrency = 20};
}

/** Runs one request after the other at the given latency. */
void runRequests(ColdStartLimiter &limiter, int count, Duration latency, TimePoint &now)
{
    for (int i = 0; i < count; ++i) {
        const auto number = limiter.started();
        now += latency;
        limiter.firstToken(number, latency, now);
        limiter.finished();
    }
}

// Guards against a limit that rises faster than the growth interval, however many successes there are.
TEST(ColdStartLimiter, GrowsByTheFactorAtMostEveryInterval)
{
    ColdStartLimiter limiter(options());
    TimePoint now = start;
    std::uint32_t before = limiter.limit();
    EXPECT_EQ(before, 2U);
    for (TimePoint next = start; limiter.limit() < 20; next = now) {
        while (limiter.limit() == before) {
            runRequests(limiter, 1, 100ms, now);
        }
        EXPECT_GE(now - next, 1900ms);
        EXPECT_LE(limiter.limit(), (before * 3 + 1) / 2);
        before = limiter.limit();
    }
    EXPECT_EQ(limiter.warmFraction(), 1.0);
}

// Guards against an engine that became slow without a word and keeps its full load, and against one slow prompt that
// is taken for a cold engine.
TEST(ColdStartLimiter, FallsBackAfterThreeSlowFirstTokensInARow)
{
    ColdStartLimiter limiter(options());
    TimePoint now = start;
    runRequests(limiter, 400, 100ms, now);
    ASSERT_EQ(limiter.limit(), 20U);
    runRequests(limiter, 2, 500ms, now);
    runRequests(limiter, 1, 100ms, now);
    runRequests(limiter, 2, 500ms, now);
    EXPECT_EQ(limiter.limit(), 20U);
    runRequests(limiter, 1, 500ms, now);
    EXPECT_EQ(limiter.limit(), 2U);
}

// Guards against a burst onto an engine that has turned cold while it was idle.
TEST(ColdStartLimiter, GrowsByTheColdLimitBetweenTwoProofs)
{
    ColdStartLimiter limiter(options());
    TimePoint now = start;
    runRequests(limiter, 400, 100ms, now);
    std::uint64_t first = 0;
    for (int i = 0; i < 2; ++i) {
        ASSERT_TRUE(limiter.mayStart(0));
        first = limiter.started();
    }
    EXPECT_FALSE(limiter.mayStart(0));
    limiter.firstToken(first, 100ms, now + 100ms);
    ASSERT_TRUE(limiter.mayStart(0));
    limiter.started();
    limiter.started();
    EXPECT_FALSE(limiter.mayStart(0));
}

// Guards against a limit that stays cold for ever because prompts have become longer than before.
TEST(ColdStartLimiter, LearnsANewNormalLatency)
{
    ColdStartLimiter limiter(options());
    TimePoint now = start;
    runRequests(limiter, 400, 100ms, now);
    runRequests(limiter, 400, 2s, now);
    EXPECT_EQ(limiter.limit(), 20U);
}

} // namespace
} // namespace hornbeamlane
