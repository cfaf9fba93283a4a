#include "hornbeamlane_dispatch/hornbeamlane_dispatch.h"

#include <gtest/gtest.h>

namespace hornbeamlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Change = ServerRateLimits::Change;

const TimePoint start{seconds(10)};
const auto server = hashOfStart(ServerId("s"), 1);

RateLimitReport report(std::optional<double> perSecond, TimePoint shownAt, std::uint32_t sent = 0)
{
    return {.server = server, .perSecond = perSecond, .shownAt = shownAt, .sent = sent};
}

// Guards against an answer that a server wrote before it named its limit being taken for the end of the limit.
TEST(ServerRateLimitsTest, ForgetsALimitOnlyByALaterRequest)
{
    ServerRateLimits limits;
    EXPECT_EQ(limits.onNoneNamed(server, start, start), Change::None);
    EXPECT_EQ(limits.onNamed(server, 2.5, start), Change::Named);
    EXPECT_EQ(limits.onNamed(server, 2.5, start + seconds(1)), Change::None);
    EXPECT_EQ(limits.onNamed(server, 3, start + seconds(2)), Change::Changed);
    EXPECT_EQ(limits.onNoneNamed(server, start + seconds(1), start + seconds(2)), Change::None);
    EXPECT_EQ(limits.limitOf(server), 3);
    EXPECT_EQ(limits.onNoneNamed(server, start + seconds(3), start + seconds(3)), Change::Lifted);
    EXPECT_EQ(limits.limitOf(server), std::nullopt);
    EXPECT_EQ(limits.onNamed(server, 1, start + seconds(4)), Change::Named);
}

// Guards against a limit that a start of a server keeps from the one before, and against one that is kept for good.
TEST(ServerRateLimitsTest, KeepsALimitForOneStartAndABoundedTime)
{
    ServerRateLimits limits({.memory = seconds(60)});
    limits.onNamed(server, 2.5, start);
    EXPECT_EQ(limits.limitOf(hashOfStart(ServerId("s"), 2)), std::nullopt);
    limits.sweep(start + seconds(60));
    EXPECT_EQ(limits.limitOf(server), 2.5);
    limits.sweep(start + seconds(60) + milliseconds(1));
    EXPECT_EQ(limits.limitOf(server), std::nullopt);
}

// Guards against memory that grows with the servers that name limits.
TEST(ServerRateLimitsTest, BoundsTheServersThatItRemembers)
{
    ServerRateLimits limits({.maxServers = 2});
    EXPECT_EQ(limits.onNamed(1, 1, start), Change::Named);
    EXPECT_EQ(limits.onNamed(2, 1, start), Change::Named);
    EXPECT_EQ(limits.onNamed(3, 1, start), Change::None);
    EXPECT_EQ(limits.limitOf(3), std::nullopt);
}

// Guards against a limit that only the entry knows that has seen it, and against one that is kept where another entry
// has seen its end.
TEST(ServerRateLimitsTest, TakesOverTheNewestThatOtherEntriesHaveSeen)
{
    ServerRateLimits limits;
    const auto named = start + seconds(1);
    EXPECT_EQ(limits.onReport(Incarnation(1), report(std::nullopt, start), named), Change::None);
    EXPECT_TRUE(limits.isEmpty());
    EXPECT_EQ(limits.onReport(Incarnation(1), report(2.5, named), named), Change::Named);
    EXPECT_EQ(limits.onReport(Incarnation(2), report(std::nullopt, start), named), Change::None);
    EXPECT_EQ(limits.limitOf(server), 2.5);
    const auto lifted = named + seconds(1);
    EXPECT_EQ(limits.onReport(Incarnation(2), report(std::nullopt, lifted), lifted), Change::Lifted);
    EXPECT_EQ(limits.onReport(Incarnation(1), report(2.5, named), lifted), Change::None);
    EXPECT_EQ(limits.limitOf(server), std::nullopt);
    EXPECT_EQ(limits.onReport(Incarnation(1), report(2.5, start), start + seconds(601)), Change::None);
}

// Guards against two entries that keep a limit alive for good by telling it to each other.
TEST(ServerRateLimitsTest, DoesNotMakeAReportYoungerByPassingItOn)
{
    constexpr milliseconds way{2};
    ServerRateLimits one({.memory = seconds(10)});
    ServerRateLimits other({.memory = seconds(10)});
    one.onNamed(server, 2.5, start);
    auto now = start;
    for (; now < start + seconds(11); now += milliseconds(40)) {
        for (auto told : one.reports()) {
            told.shownAt += way;
            other.onReport(Incarnation(1), told, now);
        }
        for (auto told : other.reports()) {
            told.shownAt += way;
            one.onReport(Incarnation(2), told, now);
        }
        one.sweep(now);
        other.sweep(now);
    }
    EXPECT_TRUE(one.isEmpty());
    EXPECT_TRUE(other.isEmpty());
}

// Guards against an entry that is heard again after a cut and whose sendings of all that time are owed by the others.
TEST(ServerRateLimitsTest, DoesNotChargeWhatASilentEntryHasSent)
{
    ServerRateLimits limits;
    RandomSource random(3);
    limits.onNamed(server, 10, start);
    EXPECT_FALSE(limits.maySend(server, {}, start, random));
    limits.onReport(Incarnation(1), report(10, start, 5), start);
    limits.onReport(Incarnation(1), report(10, start, 50), start + seconds(4));
    EXPECT_TRUE(limits.maySend(server, {}, start + seconds(5), random));
    limits.onReport(Incarnation(1), report(10, start, 95), start + seconds(5));
    EXPECT_FALSE(limits.maySend(server, {}, start + seconds(6), random));
}

} // namespace
} // namespace hornbeamlane
