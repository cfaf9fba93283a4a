#include "hornbeamlane_dispatch/hornbeamlane_dispatch.h"

#include <gtest/gtest.h>

#include <cmath>
#include <limits>

namespace hornbeamlane {
namespace {

using Demand = std::map<ArrivalClass, double>;

ArrivalClass fresh(std::uint32_t priority, TeamHash team = 1)
{
    return {.priority = priority, .team = team};
}

ArrivalClass late(std::uint32_t priority, TeamHash team = 1)
{
    return {.priority = priority, .isLate = true, .team = team};
}

// Guards against rejections while the capacity suffices.
TEST(PrioritySharesTest, AdmitsEverythingWithinTheCapacity)
{
    const PriorityShares shares({}, {{fresh(0), 40}, {fresh(2), 50}, {late(1), 10}}, 100);
    EXPECT_FALSE(shares.isShort());
    EXPECT_EQ(shares.admittedPart(fresh(2)), 1);
    EXPECT_EQ(shares.admittedPart(late(1)), 1);
}

// Guards against shares that add up to more or less than the capacity, which all entries use together.
TEST(PrioritySharesTest, DividesTheWholeCapacity)
{
    const Demand demand{{fresh(0, 1), 60}, {fresh(0, 2), 20}, {fresh(1, 1), 80}, {fresh(2, 0), 40}, {late(0), 30}};
    for (const double capacity : {10.0, 50.0, 100.0, 180.0, 210.0, 229.0}) {
        const PriorityShares shares({}, demand, capacity);
        double admitted = 0;
        for (const auto &[arrivals, perSecond] : demand) {
            admitted += perSecond * shares.admittedPart(arrivals);
        }
        EXPECT_NEAR(admitted, capacity, capacity * 1e-4);
    }
}

// Guards against a less urgent priority that takes capacity of a more urgent one, and against one that gets nothing.
TEST(PrioritySharesTest, ServesByUrgencyAboveTheFloors)
{
    const PriorityShares shares({}, {{fresh(0), 100}, {fresh(1), 100}, {fresh(2), 100}}, 180);
    EXPECT_DOUBLE_EQ(shares.admittedPartOf(0), 1);
    EXPECT_NEAR(shares.admittedPartOf(1), 0.59, 1e-9);
    EXPECT_NEAR(shares.admittedPartOf(2), 0.35 * 180 / 300, 1e-9);
}

// Guards against one team that takes the share of the others, and against its own starvation.
TEST(PrioritySharesTest, TeamsShareMaxMinWithAFloor)
{
    const PriorityShares shares({}, {{fresh(1, 1), 10}, {fresh(1, 2), 20}, {fresh(1, 3), 170}}, 100);
    EXPECT_DOUBLE_EQ(shares.admittedPart(fresh(1, 1)), 1);
    EXPECT_DOUBLE_EQ(shares.admittedPart(fresh(1, 2)), 1);
    EXPECT_NEAR(shares.admittedPart(fresh(1, 3)), 70.0 / 170, 1e-4);
    Demand many{{fresh(1, 100), 1000}};
    for (TeamHash team = 1; team <= 20; ++team) {
        many[fresh(1, team)] = 10;
    }
    const PriorityShares crowded({}, many, 100);
    const double average = 100.0 / 1200;
    EXPECT_GE(crowded.admittedPart(fresh(1, 100)), average / 4);
}

// Guards against callers that come back and take the place of one that can still be in time.
TEST(PrioritySharesTest, LateRequestsGetWhatIsLeft)
{
    const Demand demand{{fresh(0), 50}, {fresh(2), 40}, {late(0), 40}, {late(2), 40}};
    const PriorityShares shares({}, demand, 100);
    EXPECT_DOUBLE_EQ(shares.admittedPart(fresh(0)), 1);
    EXPECT_DOUBLE_EQ(shares.admittedPart(fresh(2)), 1);
    EXPECT_NEAR(shares.admittedPart(late(0)), 0.25, 1e-4);
    EXPECT_NEAR(shares.admittedPart(late(2)), 0, 1e-4);
}

// Guards against teams that an entry does not name, and that would be taken for one large team.
TEST(PrioritySharesTest, UnnamedTeamsGetTheAverageOfTheirPriority)
{
    const PriorityShares shares({}, {{fresh(1, 0), 100}, {fresh(1, 1), 60}, {fresh(1, 2), 40}}, 100);
    EXPECT_DOUBLE_EQ(shares.admittedPart(fresh(1, 0)), 0.5);
    EXPECT_DOUBLE_EQ(shares.admittedPart(fresh(1, 77)), 0.5);
}

// Guards against odd figures, for instance a rate or a capacity that is no number, or a priority out of range.
TEST(PrioritySharesTest, LeavesOutFiguresThatAreNoRates)
{
    constexpr double notANumber = std::numeric_limits<double>::quiet_NaN();
    constexpr double infinite = std::numeric_limits<double>::infinity();
    const Demand odd{{fresh(0, 1), notANumber}, {fresh(0, 2), infinite}, {fresh(0, 3), -5}, {fresh(4000000000U), 10}};
    const PriorityShares shares({}, odd, 5);
    EXPECT_DOUBLE_EQ(shares.demandPerSecond(), 10);
    EXPECT_NEAR(shares.admittedPart(fresh(leastUrgentPriority)), 0.5, 1e-4);
    for (const double capacity : {notANumber, infinite, -1.0, 0.0}) {
        EXPECT_FALSE(PriorityShares({}, odd, capacity).isShort()) << capacity;
    }
    EXPECT_TRUE(PriorityShares({}, {{fresh(0), 1e300}}, 1).isShort());
}

} // namespace
} // namespace hornbeamlane
