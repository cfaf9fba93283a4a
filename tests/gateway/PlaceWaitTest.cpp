#include "hornbeamlane_gateway/hornbeamlane_gateway.h"

#include <gtest/gtest.h>

namespace hornbeamlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId pool{"pool"};

/** Queues of an entry without servers. */
class PlaceWaitTest : public ::testing::Test
{
protected:
    PlaceWait::Options optionsOf(std::uint32_t priority, bool isLate)
    {
        return {.service = pool,
                .kind = RequestKind::Stream,
                .latencyTarget = milliseconds(500),
                .priority = priority,
                .arrivedAt = loop_.now(),
                .deadline = loop_.now() + seconds(8),
                .isLate = isLate};
    }

    EventLoop loop_;
    RandomSource random_{3};
    MetricsRegistry metrics_;
    GatewaySettings settings_;
    BackendBook backends_;
    RateLimitGuard rateLimits_{loop_,
                               random_,
                               metrics_,
                               settings_.headers,
                               {.waiting = [](const auto &) { return std::size_t{0}; },
                                .demandOfPeers = [](const auto &) { return 0.0; },
                                .tellingTime = [] { return milliseconds(50); },
                                .heardShare = [] { return 1.0; },
                                .serverOf = [](auto) { return std::nullopt; }}};
    ServiceQueues queues_{loop_, random_, settings_, backends_, rateLimits_};
};

// Load pattern "urgent callers come back late": guards against late requests that hold up less urgent ones which can
// still be on time.
TEST_F(PlaceWaitTest, LetsRequestsInTimeGoBeforeLateOnesOfAnyPriority)
{
    PlaceWait late(queues_, optionsOf(0, true));
    PlaceWait inTime(queues_, optionsOf(9, false));
    ASSERT_TRUE(late.join(PlaceWait::Stage::Unanswered, loop_.now(), {}));
    EXPECT_FALSE(inTime.isBehindOthers(PlaceWait::Stage::Unanswered));
    ASSERT_TRUE(inTime.join(PlaceWait::Stage::Unanswered, loop_.now(), {}));
    EXPECT_TRUE(late.isBehindOthers(PlaceWait::Stage::Unanswered));
}

// Guards against a stream that is cut at once when its server breaks off, because its first event was late already.
TEST_F(PlaceWaitTest, WaitsForTheRestOfAStreamThatWasLate)
{
    PlaceWait wait(queues_, optionsOf(0, true));
    EXPECT_TRUE(wait.join(PlaceWait::Stage::Streaming, loop_.now() + seconds(3), {}));
    EXPECT_TRUE(wait.isWaiting());
}

} // namespace
} // namespace hornbeamlane
