#include "fault_matrix/HeldSwitchWorld.h"

#include <gtest/gtest.h>

namespace hornbeamlane::testing {
namespace {

using std::chrono::milliseconds;

constexpr int runs = 400;
constexpr int switchesPerRun = 4;
constexpr milliseconds betweenSwitches{1500};
constexpr double faultShare = 0.25;

/** Many orders late, lost or doubled, ranks lost, controllers replaced, frozen and doubled within a few switches. */
std::string violationOfRun(std::uint64_t seed)
{
    RandomSource random(seed);
    int changes = 0;
    HeldSwitchWorld world(
        {.ranks = 5,
         .strike = [&](HeldSwitchWorld &struck, int, const EngineOrder &order, HeldSwitchWorld::Delivery &delivery) {
             if (random.unit() > faultShare) {
                 return;
             }
             const bool mayChange = changes < 3;
             switch (random.below(mayChange ? 8 : 5)) {
             case 0:
                 delivery.isOrderLost = true;
                 return;
             case 1:
                 delivery.isAnswerLost = true;
                 return;
             case 2:
                 delivery.delay = milliseconds(random.below(9000));
                 return;
             case 3:
                 delivery.copyDelay = milliseconds(1 + random.below(9000));
                 return;
             case 4:
                 delivery.delay = milliseconds(random.below(300));
                 return;
             case 5:
                 ++changes;
                 struck.addRival();
                 return;
             case 6:
                 ++changes;
                 struck.freezeController(milliseconds(500), milliseconds(random.below(4000)));
                 return;
             default:
                 ++changes;
                 struck.restartRank(order.rank, milliseconds(200));
                 return;
             }
         }});
    for (int i = 0; i < switchesPerRun; ++i) {
        world.run(betweenSwitches);
        world.startSwitch();
    }
    world.run(milliseconds(16000));
    return world.violation();
}

// Guards against combinations of faults that the single cells do not strike: many orders late, lost or doubled, ranks
// lost, controllers replaced, frozen and doubled within a few switches.
TEST(HeldSwitchRandomTest, NoPassBeginsWithTwoMaps)
{
    for (std::uint64_t seed = 1; seed <= runs; ++seed) {
        EXPECT_EQ(violationOfRun(seed), "") << "seed " << seed;
    }
}

// Guards against controllers that disturb each other's arms while both act, or one after the other: a disarm of the
// one, or its late release, reaches the pass for which the other arms the ranks. Not mended, see KNOWN-RED.txt.
TEST(HeldSwitchRandomTest, NoPassBeginsWithTwoMapsBesideAnUnwindingController)
{
    for (const std::uint64_t seed : {514U, 613U, 1148U}) {
        EXPECT_EQ(violationOfRun(seed), "") << "seed " << seed;
    }
}

// Guards against a group that stands still for good, by any mix of late orders and lost controllers while it has no
// work. Orders of controllers that are gone come up to 12 s late, after those of their successors.
TEST(HeldSwitchRandomTest, PassesGoOnAfterAllLateOrders)
{
    constexpr milliseconds latestOrder{12000};
    constexpr milliseconds settleTime{6000};
    constexpr std::uint64_t passesWithWork = 40;
    for (std::uint64_t seed = 1; seed <= runs; ++seed) {
        RandomSource random(seed);
        HeldSwitchWorld world(
            {.ranks = static_cast<RankIndex>(2 + random.below(4)),
             .strike = [&](HeldSwitchWorld &, int, const EngineOrder &, HeldSwitchWorld::Delivery &delivery) {
                 if (random.unit() > faultShare) {
                     return;
                 }
                 const milliseconds late(1 + random.below(latestOrder.count()));
                 (random.below(2) == 0 ? delivery.delay : delivery.copyDelay) = late;
             }});
        for (int i = 0; i < 2 * switchesPerRun; ++i) {
            world.setWork(random.below(3) == 0);
            world.startSwitch();
            world.run(milliseconds(1 + random.below(3000)));
            if (random.below(2) == 0) {
                world.replaceController(milliseconds(random.below(2000)));
            }
        }
        world.setWork(false);
        world.run(latestOrder);
        world.setWork(true);
        world.run(settleTime);
        const auto passes = world.passes();
        world.run(milliseconds(2000));
        EXPECT_EQ(world.violation(), "") << "seed " << seed;
        EXPECT_GE(world.passes(), passes + passesWithWork) << "seed " << seed;
    }
}

} // namespace
} // namespace hornbeamlane::testing
