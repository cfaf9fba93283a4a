#include "hornbeamlane_dispatch/hornbeamlane_dispatch.h"

#include <gtest/gtest.h>

namespace hornbeamlane {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds timeout{8000};

RouteSpec route()
{
    RouteSpec spec;
    spec.name = RouteId("chat");
    spec.timeout = timeout;
    return spec;
}

// Load pattern "half of the callers come back": they have two thirds of their time left and are told from the others,
// whose time differs by 15 %. Guards against a usual time that sinks to that of those who come back.
TEST(ReturningCallersTest, TellsThoseWhoComeBackWhileTheyAreHalfOfAll)
{
    ReturningCallers callers;
    RandomSource random(3);
    for (int i = 0; i < 5000; ++i) {
        const milliseconds first(6800 + static_cast<int>(random.below(2400)));
        const bool isFirstReturning = callers.isReturning(route(), first);
        const bool isSecondReturning = callers.isReturning(route(), milliseconds(5000));
        if (i > 100) {
            EXPECT_FALSE(isFirstReturning) << first.count();
            EXPECT_TRUE(isSecondReturning) << i;
        }
    }
}

// Guards against one caller that states far more time than the others and makes all of them late for good.
TEST(ReturningCallersTest, IsNotMisledByACallerThatStatesALongTime)
{
    ReturningCallers callers;
    for (int i = 0; i < 2000; ++i) {
        EXPECT_FALSE(callers.isReturning(route(), milliseconds(5000))) << i;
        if (i % 100 == 0) {
            callers.isReturning(route(), milliseconds(9000000000000));
        }
    }
}

} // namespace
} // namespace hornbeamlane
