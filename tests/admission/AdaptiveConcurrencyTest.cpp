#include "hornbeamlane_admission/hornbeamlane_admission.h"

#include <gtest/gtest.h>

namespace hornbeamlane {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint start(1h);

// Guards against a limit that leaves its bounds or does not settle where the latency meets its target: with
// 10 ms + 1 ms for each running request, 40 ms between tokens are reached at 30.
TEST(AdaptiveConcurrency, SettlesAtTheTarget)
{
    for (const std::uint32_t maximum : {8U, 100U}) {
        AdaptiveConcurrency adaptive({.minimum = 2, .maximum = maximum});
        std::uint32_t lowest = maximum;
        std::uint32_t highest = 0;
        for (int i = 0; i < 2000; ++i) {
            const auto running = adaptive.limit();
            adaptive.tokens(20, 10ms + 1ms * running, 40ms, running, start + 20ms * i);
            ASSERT_GE(running, 2U);
            ASSERT_LE(running, maximum);
            if (i > 1000) {
                lowest = std::min(lowest, running);
                highest = std::max(highest, running);
            }
        }
        EXPECT_GE(lowest, std::min(20U, maximum));
        EXPECT_LE(highest, 30U);
    }
}

// Guards against growth without load: good latencies of an idle engine say nothing about a higher limit.
TEST(AdaptiveConcurrency, DoesNotGrowBelowItsLimit)
{
    AdaptiveConcurrency adaptive({.minimum = 2, .maximum = 100});
    for (int i = 0; i < 200; ++i) {
        adaptive.firstToken(3s, 860ms, 100, start + 20ms * i);
    }
    auto lowest = adaptive.limit();
    EXPECT_LT(lowest, 100U);
    for (int i = 200; i < 1000; ++i) {
        adaptive.firstToken(100ms, 860ms, 0, start + 20ms * i);
        ASSERT_LE(adaptive.limit(), lowest);
        lowest = adaptive.limit();
    }
}

} // namespace
} // namespace hornbeamlane
