#include "hornbeamlane_observability/hornbeamlane_observability.h"

#include <gtest/gtest.h>

namespace hornbeamlane {
namespace {

using std::chrono::seconds;

// Guards against a log that grows with the rows of another writer, and against lines whose loss is not told.
TEST(LogThrottleTest, BoundsLinesAndCountsThoseLeftOut)
{
    const TimePoint start = TimePoint() + seconds(100);
    LogThrottle throttle(2, seconds(1));
    EXPECT_EQ(throttle.tryWrite(start), 0U);
    EXPECT_EQ(throttle.tryWrite(start), 0U);
    for (int i = 0; i < 1000; ++i) {
        EXPECT_FALSE(throttle.tryWrite(start + std::chrono::milliseconds(i / 2)));
    }
    EXPECT_EQ(throttle.tryWrite(start + seconds(1)), 1000U);
    EXPECT_EQ(throttle.tryWrite(start + seconds(1)), 0U);
    EXPECT_FALSE(throttle.tryWrite(start + seconds(1)));
}

} // namespace
} // namespace hornbeamlane
