#include "hornbeamlane_admission/hornbeamlane_admission.h"

#include <gtest/gtest.h>

namespace hornbeamlane {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint start(1h);
constexpr Incarnation engine(1);

// Guards against a report from before the start that hides requests of the previous agent, and against an engine that
// never becomes free and so never serves again.
TEST(EngineWatch, WaitsForLeftoversThenCountsThem)
{
    EngineWatch watch({}, start);
    watch.reported({.engine = engine, .running = 0}, start + 500ms);
    EXPECT_FALSE(watch.isReady());
    watch.reported({.engine = engine, .running = 3}, start + 2s);
    EXPECT_FALSE(watch.isReady());
    watch.advance(*watch.nextTimer());
    EXPECT_TRUE(watch.isReady());
    EXPECT_EQ(watch.leftovers(), 3U);
    watch.reported({.engine = engine, .running = 7}, start + 11s);
    EXPECT_EQ(watch.leftovers(), 3U);
    watch.reported({.engine = engine, .running = 1}, start + 12s);
    EXPECT_EQ(watch.leftovers(), 1U);
}

// Guards against a restarted engine that is taken for the warm one, and against an engine that never answered but is
// taken for ready.
TEST(EngineWatch, SeesARestartedEngine)
{
    EngineWatch watch({}, start);
    watch.advance(start + 1min);
    EXPECT_FALSE(watch.isReady());
    EXPECT_FALSE(watch.reported({.engine = engine, .running = 2}, start + 1min));
    EXPECT_FALSE(watch.reported({.engine = engine, .running = 2}, start + 1min));
    EXPECT_TRUE(watch.reported({.engine = Incarnation(2), .running = 0}, start + 1min));
    EXPECT_EQ(watch.leftovers(), 0U);
}

} // namespace
} // namespace hornbeamlane
