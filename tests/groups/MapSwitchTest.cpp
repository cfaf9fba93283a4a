#include "group_fakes/FakeTable.h"
#include "hornbeamlane_groups/hornbeamlane_groups.h"

#include <gtest/gtest.h>

namespace hornbeamlane {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint start{Duration(1h)};
constexpr Incarnation engine(5);
const GroupId group("g");

MapOrder order(MapOrderKind kind, std::uint64_t map, std::uint64_t step, std::uint64_t token = 1)
{
    return {.group = group,
            .rank = 0,
            .token = FencingToken(token),
            .engine = engine,
            .kind = kind,
            .map = ExpertMapVersion(map),
            .step = StepNumber(step),
            .experts = {}};
}

/** A rank in step 9 with map 1 active and map 2 staged. */
RankGate runningGate()
{
    RankGate gate({.group = group, .rank = 0, .engine = engine});
    gate.handle(order(MapOrderKind::Stage, 1, 9));
    gate.finishLoading();
    EXPECT_FALSE(gate.enterNextStep());
    gate.handle(order(MapOrderKind::Go, 1, 9));
    EXPECT_EQ(gate.enterNextStep(), ExpertMapVersion(1));
    gate.handle(order(MapOrderKind::Stage, 2, 0));
    gate.finishLoading();
    return gate;
}

// Guards against late orders of an earlier arm that act on the present one.
TEST(RankGate, OrdersActOnlyOnTheArmTheyName)
{
    auto gate = runningGate();
    EXPECT_TRUE(gate.handle(order(MapOrderKind::Arm, 2, 11)).isAccepted);
    EXPECT_TRUE(gate.handle(order(MapOrderKind::Arm, 2, 12)).isAccepted);
    for (const auto kind : {MapOrderKind::Arm, MapOrderKind::Go, MapOrderKind::Disarm}) {
        EXPECT_FALSE(gate.handle(order(kind, 2, 11)).isAccepted);
        EXPECT_EQ(gate.status().armedStep, StepNumber(12));
        EXPECT_FALSE(gate.status().hasGo);
    }
    EXPECT_TRUE(gate.enterNextStep());
    EXPECT_TRUE(gate.enterNextStep());
    EXPECT_FALSE(gate.enterNextStep());
    EXPECT_TRUE(gate.handle(order(MapOrderKind::Go, 2, 12)).isAccepted);
    EXPECT_FALSE(gate.handle(order(MapOrderKind::Disarm, 2, 12)).isAccepted);
    EXPECT_EQ(gate.enterNextStep(), ExpertMapVersion(2));
    EXPECT_TRUE(gate.handle(order(MapOrderKind::Go, 2, 12)).isAccepted);
}

// Guards against an Arm that is overtaken by its Disarm and then holds the rank for ever.
TEST(RankGate, DisarmAlsoStopsItsLateArm)
{
    auto gate = runningGate();
    EXPECT_TRUE(gate.handle(order(MapOrderKind::Disarm, 2, 11)).isAccepted);
    EXPECT_FALSE(gate.handle(order(MapOrderKind::Arm, 2, 11)).isAccepted);
    EXPECT_TRUE(gate.handle(order(MapOrderKind::Arm, 2, 12)).isAccepted);
}

// Guards against an Arm for a step that the rank has already entered with the old map.
TEST(RankGate, RefusesAnArmInThePast)
{
    auto gate = runningGate();
    EXPECT_FALSE(gate.handle(order(MapOrderKind::Arm, 2, 9)).isAccepted);
}

// Guards against orders of a controller that has lost its lease, and against orders for an engine before its restart.
TEST(RankGate, RefusesOldTokensAndOtherEngines)
{
    auto gate = runningGate();
    EXPECT_TRUE(gate.handle(order(MapOrderKind::Query, 0, 0, 2)).isAccepted);
    EXPECT_FALSE(gate.handle(order(MapOrderKind::Arm, 2, 11, 1)).isAccepted);
    auto other = order(MapOrderKind::Arm, 2, 11, 2);
    other.engine = Incarnation(6);
    EXPECT_FALSE(gate.handle(other).isAccepted);
    EXPECT_EQ(gate.status().armedMap, ExpertMapVersion());
}

// Guards against an agent that lets orders through before it knows the newest token, and against overtaking orders.
TEST(FencingGuard, NeedsTheRowAndPassesOneOrderAtATime)
{
    FencingGuard guard({.group = group, .rank = 0});
    guard.noteEngine(engine);
    EXPECT_TRUE(guard.refuse(order(MapOrderKind::Arm, 2, 11, 9)));
    guard.noteRow(
        TableRow{.key = "k",
                 .version = RowVersion(12),
                 .value = LeaseRow{.holder = Incarnation(1), .sequence = 4, .token = FencingToken(8)}.toString()});
    const auto refusal = guard.refuse(order(MapOrderKind::Arm, 2, 11, 7));
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->token, FencingToken(8));
    EXPECT_EQ(refusal->engine, Incarnation());
    EXPECT_FALSE(guard.refuse(order(MapOrderKind::Arm, 2, 11, 8)));
    EXPECT_TRUE(guard.refuse(order(MapOrderKind::Arm, 2, 12, 9)));
    MapStatus answer;
    answer.engine = engine;
    EXPECT_EQ(guard.noteAnswer(answer).token, FencingToken(9));
    EXPECT_TRUE(guard.refuse(order(MapOrderKind::Arm, 2, 11, 8)));
    EXPECT_FALSE(guard.refuse(order(MapOrderKind::Arm, 2, 12, 9)));
}

// Guards against a recovery that drops a switch which a rank may already have passed.
TEST(MapSwitchController, RecoveryRule)
{
    MapStatus armed{.activeMap = ExpertMapVersion(1), .armedMap = ExpertMapVersion(2), .armedStep = StepNumber(9)};
    MapStatus unarmed{.activeMap = ExpertMapVersion(1)};
    const MapStatus passed{.activeMap = ExpertMapVersion(2)};
    auto gone = armed;
    gone.hasGo = true;
    auto later = armed;
    later.armedStep = StepNumber(10);
    EXPECT_TRUE(MapSwitchController::completesFoundSwitch({armed, armed}));
    EXPECT_TRUE(MapSwitchController::completesFoundSwitch({armed, MapStatus{}}));
    EXPECT_TRUE(MapSwitchController::completesFoundSwitch({armed, gone}));
    EXPECT_TRUE(MapSwitchController::completesFoundSwitch({armed, passed}));
    EXPECT_FALSE(MapSwitchController::completesFoundSwitch({armed, unarmed}));
    EXPECT_FALSE(MapSwitchController::completesFoundSwitch({armed, later}));
    EXPECT_FALSE(MapSwitchController::completesFoundSwitch({unarmed, unarmed}));
}

// Guards against a controller that goes on after a rank has shown it a newer token.
TEST(MapSwitchController, StopsWhenFencedOff)
{
    MapSwitchController controller({.group = group, .ranks = 1, .token = FencingToken(3)});
    EXPECT_EQ(controller.poll(start).size(), 1U);
    controller.handle({.group = group, .rank = 0, .token = FencingToken(4)}, start);
    EXPECT_TRUE(controller.isFencedOff());
    EXPECT_TRUE(controller.poll(start + 10s).empty());
}

// Guards against a group that hangs because a Stage needs a map that this process has never seen.
TEST(MapSwitchController, AsksForMissingMaps)
{
    MapSwitchController controller({.group = group, .ranks = 2, .token = FencingToken(3)});
    controller.poll(start);
    MapStatus running{.group = group,
                      .rank = 0,
                      .token = FencingToken(3),
                      .engine = engine,
                      .isAccepted = true,
                      .currentStep = StepNumber(7),
                      .activeMap = ExpertMapVersion(4)};
    controller.handle(running, start);
    controller.handle({.group = group, .rank = 1, .token = FencingToken(3), .engine = Incarnation(6)}, start);
    controller.poll(start);
    controller.handle(running, start);
    controller.poll(start);
    EXPECT_EQ(controller.missingMap(), ExpertMapVersion(4));
    controller.addMap(ExpertMap::uniform(ExpertMapVersion(4), 2, 1, 4));
    const auto orders = controller.poll(start);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders.front().kind, MapOrderKind::Stage);
    EXPECT_EQ(orders.front().step, StepNumber(7));
}

} // namespace
} // namespace hornbeamlane
