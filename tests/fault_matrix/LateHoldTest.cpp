#include "fault_matrix/HeldSwitchWorld.h"

#include <gtest/gtest.h>

namespace hornbeamlane::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Delivery = HeldSwitchWorld::Delivery;

constexpr RankIndex ranks = 4;
/** An order that gets no answer is carried out at most this late. */
constexpr milliseconds latestOrder{12000};
constexpr milliseconds takeover{1000};
/** Passes that a group with work makes at least in two seconds. */
constexpr std::uint64_t passesWithWork = 40;

/** A group that has no work while its controllers come and go, and copies of its holds that come late. */
class LateHoldTest : public ::testing::Test
{
protected:
    /** How the hold with this number, from 0, travels. */
    using HoldFault = std::function<void(int number, Delivery &)>;

    HeldSwitchWorld &makeWorld(const HoldFault &fault)
    {
        world_ = std::make_unique<HeldSwitchWorld>(HeldSwitchWorld::Options{
            .ranks = ranks,
            .strike = [this, fault](HeldSwitchWorld &, int, const EngineOrder &order, Delivery &delivery) {
                if (order.kind == EngineOrderKind::Hold) {
                    fault(holds_++, delivery);
                }
            }});
        world_->run(seconds(1));
        world_->setWork(false);
        world_->run(seconds(2));
        return *world_;
    }

    /** Whether passes go on once there is work, within the time that a group may stand. */
    void expectPassesWithWork()
    {
        world_->setWork(true);
        world_->run(seconds(4));
        const auto passes = world_->passes();
        world_->run(seconds(2));
        EXPECT_GE(world_->passes(), passes + passesWithWork) << "the group stands at pass " << world_->passes();
        EXPECT_EQ(world_->violation(), "");
        EXPECT_FALSE(world_->isHeld());
    }

    std::unique_ptr<HeldSwitchWorld> world_;
    int holds_ = 0;
};

// Guards against a group that stands still for good: a copy of a hold is carried out after the release, and its sender
// has been killed (review/1). Only the sender knew that the copy may come.
TEST_F(LateHoldTest, IsReleasedWhenItsSenderIsGone)
{
    for (const milliseconds late : {milliseconds(2500), milliseconds(5000), milliseconds(9000), latestOrder}) {
        holds_ = 0;
        auto &world = makeWorld(
            [late](int number, Delivery &delivery) { delivery.copyDelay = number == 0 ? late : milliseconds(0); });
        world.startSwitch();
        world.run(seconds(1));
        world.replaceController(takeover);
        world.run(latestOrder);
        expectPassesWithWork();
        EXPECT_NE(world.activeMap(), ExpertMapVersion()) << "the switch was confirmed";
    }
}

// The same with work that comes again just before the late copy, and while a third controller takes over.
TEST_F(LateHoldTest, IsReleasedByAThirdController)
{
    auto &world = makeWorld([](int number, Delivery &delivery) {
        delivery.copyDelay = number == 0 ? milliseconds(9000) : milliseconds(0);
    });
    world.startSwitch();
    world.run(seconds(1));
    world.replaceController(takeover);
    world.run(seconds(6));
    world.startSwitch();
    world.run(seconds(1));
    world.replaceController(takeover);
    world.run(seconds(4));
    expectPassesWithWork();
}

// Guards against a controller that sees the hold of its own rank only: two controllers hold passes at different ranks,
// and both holds are carried out late.
TEST_F(LateHoldTest, IsReleasedAtEachOfSeveralRanks)
{
    auto &world = makeWorld([](int number, Delivery &delivery) {
        // The first controller gets no answer and ends before it can send its hold again.
        if (number == 0) {
            delivery.delay = milliseconds(9000);
        } else if (number == 1) {
            delivery.copyDelay = milliseconds(6000);
        }
    });
    world.startSwitch();
    while (holds_ == 0) {
        world.run(milliseconds(1));
    }
    world.replaceController(takeover);
    world.run(seconds(2));
    world.startSwitch();
    world.run(seconds(1));
    ASSERT_GE(holds_, 2);
    world.replaceController(takeover);
    world.run(latestOrder);
    expectPassesWithWork();
}

// Guards against a hold that is refused for ever, each time for a later pass, because its rank holds another one: the
// late hold of the controller whose turn was a round of the ranks ago.
TEST_F(LateHoldTest, IsReleasedAtTheRankOfTheNextHold)
{
    // An estimated pass later, so that the refused holds do not come to the held pass by chance.
    for (const milliseconds before : {milliseconds(0), milliseconds(60)}) {
        holds_ = 0;
        auto &world = makeWorld([](int number, Delivery &delivery) {
            if (number == 0) {
                delivery.delay = milliseconds(6000);
            }
        });
        world.run(before);
        world.startSwitch();
        while (holds_ == 0) {
            world.run(milliseconds(1));
        }
        for (RankIndex controller = 0; controller < ranks; ++controller) {
            world.replaceController(takeover);
            world.run(takeover + milliseconds(200));
        }
        // The late hold has just arrived as the fifth controller sends its own to the same rank.
        world.run(milliseconds(1250));
        ASSERT_TRUE(world.isHeld());
        world.startSwitch();
        world.run(seconds(3));
        EXPECT_LT(holds_, 20) << "the same hold over and over";
        expectPassesWithWork();
    }
}

// Guards against a controller that sends new maps to ranks which refuse them, since they are armed for a later pass.
TEST_F(LateHoldTest, LeavesAGroupAloneThatIsArmedForALaterPass)
{
    auto &world = makeWorld([](int, Delivery &) {});
    world.startSwitch();
    world.run(seconds(1));
    world.replaceController(takeover);
    world.run(takeover + seconds(1));
    EXPECT_EQ(world.mapSwitch().phase(), HeldMapSwitch::Phase::Settling);
    const int orders = world.ordersSent();
    world.startSwitch();
    world.run(seconds(10));
    EXPECT_EQ(world.ordersSent(), orders) << "each new map is refused until the pass has begun";
    expectPassesWithWork();
}

// Guards against a confirmed map that the next controller does not know of: it took the version of the first rank's
// report, and adapted no map until the group formed anew.
TEST_F(LateHoldTest, LeavesTheMapKnownToTheNextController)
{
    auto &world = makeWorld([](int, Delivery &) {});
    world.startSwitch();
    world.run(seconds(1));
    world.replaceController(takeover);
    world.run(takeover + seconds(1));
    expectPassesWithWork();
    EXPECT_EQ(world.mapSwitch().phase(), HeldMapSwitch::Phase::Idle);
    EXPECT_EQ(world.mapSwitch().activeMap(), world.activeMap());
}

} // namespace
} // namespace hornbeamlane::testing
