#include "hornbeamlane_dispatch/hornbeamlane_dispatch.h"

#include <gtest/gtest.h>

namespace hornbeamlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Change = ServerRateLimits::Change;

const TimePoint start{seconds(10)};
const auto server = hashOfStart(ServerId("s"), 1);

// Guards against an answer that a server wrote before it named its limit being taken for the end of the limit.
TEST(ServerRateLimitsTest, ForgetsALimitOnlyByALaterRequest)
{
    ServerRateLimits limits;
    EXPECT_EQ(limits.onNoneNamed(server, start), Change::None);
    EXPECT_EQ(limits.onNamed(server, 2.5, start), Change::Named);
    EXPECT_EQ(limits.onNamed(server, 2.5, start + seconds(1)), Change::None);
    EXPECT_EQ(limits.onNamed(server, 3, start + seconds(2)), Change::Changed);
    EXPECT_EQ(limits.onNoneNamed(server, start + seconds(1)), Change::None);
    EXPECT_EQ(limits.limitOf(server), 3);
    EXPECT_EQ(limits.onNoneNamed(server, start + seconds(3)), Change::Lifted);
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

} // namespace
} // namespace hornbeamlane
