#include "fault_matrix/HeldSwitchWorld.h"

#include <gtest/gtest.h>

namespace hornbeamlane::testing {
namespace {

using std::chrono::milliseconds;

constexpr int runs = 400;
constexpr int switchesPerRun = 4;
constexpr milliseconds betweenSwitches{1500};
constexpr double faultShare = 0.25;

// Guards against combinations of faults that the single cells do not strike: many orders late, lost or doubled, ranks
// lost, controllers replaced, frozen and doubled within a few switches.
TEST(HeldSwitchRandomTest, NoPassBeginsWithTwoMaps)
{
    for (std::uint64_t seed = 1; seed <= runs; ++seed) {
        RandomSource random(seed);
        int changes = 0;
        HeldSwitchWorld world({.ranks = 5,
                               .strike = [&](HeldSwitchWorld &struck, int, const EngineOrder &order,
                                             HeldSwitchWorld::Delivery &delivery) {
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
        EXPECT_EQ(world.violation(), "") << "seed " << seed;
    }
}

} // namespace
} // namespace hornbeamlane::testing
