#include "routing/RoutingFixture.h"

#include <gtest/gtest.h>

#include <map>

namespace hornbeamlane {
namespace {

class SpillPolicyTest : public ::testing::Test
{
protected:
    SpillPolicyTest()
    {
        view_.applyCatalogue(catalogue_);
        connectAll(view_, catalogue_, 100, now_);
        target_ = *view_.findTarget(WorkKind::Model, "m");
    }

    /** Sets the load of the one server of each data centre. */
    void setLoads(const std::vector<std::uint32_t> &loads)
    {
        for (std::size_t i = 0; i < loads.size(); ++i) {
            const ServerId id("s" + std::to_string(i));
            view_.onReport(id, incarnationOf(id), {.inFlight = loads[i], .limit = 100, .warmFraction = 1}, now_);
        }
    }

    /** How many of 1,000 requests go to each data centre; -1 counts those that are shed. */
    std::map<int, int> spread(SpillPolicy &policy, double rank = 0)
    {
        std::map<int, int> counts;
        for (int i = 0; i < 1000; ++i) {
            const auto chosen = policy.choose(target_, 0, rank, now_, random_);
            ++counts[chosen ? static_cast<int>(*chosen) : -1];
        }
        return counts;
    }

    const Catalogue catalogue_ = routingCatalogue(3, 1);
    TimePoint now_{std::chrono::hours(1)};
    ServerView view_;
    TargetIndex target_ = 0;
    RandomSource random_{3};
};

// Guards against requests that leave their data centre without need.
TEST_F(SpillPolicyTest, StaysAtHomeWhileThereIsRoom)
{
    SpillPolicy policy(view_);
    setLoads({80, 0, 0});
    EXPECT_EQ(spread(policy)[0], 1000);
}

// Guards against a departed data centre that still gets work, and against others that are sent more than they can take.
TEST_F(SpillPolicyTest, SpillsByFreeCapacityWithoutOverrun)
{
    SpillPolicy policy(view_, {.entryCount = 4});
    view_.applyDrains({{.id = DrainId("1"), .scope = DrainScope::DataCentre, .name = "dc0"}});
    setLoads({0, 25, 65});
    const auto counts = spread(policy);
    EXPECT_FALSE(counts.contains(0));
    // Free up to the spill bound are 60 and 20; each of the four entries may use a quarter before the next reports.
    EXPECT_NEAR(counts.at(1), 15, 1);
    EXPECT_NEAR(counts.at(2), 5, 1);
    EXPECT_EQ(counts.at(-1), 1000 - counts.at(1) - counts.at(2));
}

// Guards against low classes that displace high ones when capacity is short.
TEST_F(SpillPolicyTest, ShedsTheLowestClassFirst)
{
    SpillPolicy policy(view_);
    for (const std::uint32_t load : {80U, 96U, 102U, 112U, 119U}) {
        setLoads({load, load, load});
        const int high = spread(policy, 0)[-1];
        const int middle = spread(policy, 0.5)[-1];
        const int low = spread(policy, 1)[-1];
        EXPECT_LE(high, middle + 20) << load;
        EXPECT_LE(middle, low + 20) << load;
        EXPECT_EQ(load < 90, low == 0) << load;
        EXPECT_EQ(load > 105, high > 0) << load;
    }
}

// Guards against a returning data centre, whose servers are cold, that gets its whole load at once.
TEST_F(SpillPolicyTest, RampsUpAfterReturn)
{
    // Servers with ample room, so that only the ramp decides.
    connectAll(view_, catalogue_, 100000, now_);
    SpillPolicy policy(view_);
    policy.onReturned(0, now_);
    int last = 0;
    for (const int seconds : {0, 20, 40, 60}) {
        const int atHome = spread(policy)[0];
        EXPECT_NEAR(atHome, 1000 * (0.05 + 0.95 * seconds / 60), 60) << seconds;
        EXPECT_GT(atHome, last);
        last = atHome;
        now_ += std::chrono::seconds(20);
    }
}

} // namespace
} // namespace hornbeamlane
