#include "hornbeamlane_groups/hornbeamlane_groups.h"

#include <gtest/gtest.h>

namespace hornbeamlane {
namespace {

using namespace std::chrono_literals;

/** Adds steps in which rank 2 takes the given time and the others 20 ms. */
void addSteps(StragglerDetector &detector, int steps, Duration time)
{
    for (int i = 0; i < steps; ++i) {
        detector.addStep({20ms, 20ms, time, 20ms});
    }
}

// Guards against a report for a stall that is over before any map could change.
TEST(StragglerDetector, IgnoresPassingStalls)
{
    StragglerDetector detector({.ranks = 4});
    for (int i = 0; i < 20; ++i) {
        addSteps(detector, 20, 20ms);
        addSteps(detector, 12, 500ms);
        EXPECT_EQ(detector.report().advice, StragglerAdvice::None);
    }
}

// Guards against a lasting straggler that keeps its load, and against a report that outlives its cause.
TEST(StragglerDetector, ReportsAndClearsLastingOnes)
{
    for (const auto &[time, advice] : {std::pair<Duration, StragglerAdvice>{30ms, StragglerAdvice::ReduceLoad},
                                       {60ms, StragglerAdvice::TakeOutOfRouting}}) {
        StragglerDetector detector({.ranks = 4});
        addSteps(detector, 3 * 32, time);
        EXPECT_EQ(detector.report().advice, advice);
        EXPECT_EQ(detector.report().rank, 2U);
        EXPECT_GT(detector.slowness()[2], 1.4);
        EXPECT_EQ(detector.slowness()[0], 1.0);
        addSteps(detector, 5 * 32, 20ms);
        EXPECT_EQ(detector.report().advice, StragglerAdvice::None);
    }
}

// Guards against a rank that is reported only because its experts are popular.
TEST(StragglerDetector, AccountsForExpectedLoad)
{
    StragglerDetector detector({.ranks = 4});
    for (int i = 0; i < 200; ++i) {
        detector.addStep({20ms, 20ms, 40ms, 20ms}, {1.0, 1.0, 2.0, 1.0});
    }
    EXPECT_EQ(detector.report().advice, StragglerAdvice::None);
}

} // namespace
} // namespace hornbeamlane
