#include "hornbeamlane_groups/hornbeamlane_groups.h"

#include <gtest/gtest.h>

namespace hornbeamlane {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint start{std::chrono::seconds(10)};
constexpr milliseconds reportAge{200};
constexpr ExpertMapVersion mapVersion(7);

class HeldMapSwitchTest : public ::testing::Test
{
protected:
    HeldMapSwitchTest()
        : switch_({.ranks = 2, .reportAge = reportAge})
    {
    }

    EngineRankReport report(RankIndex rank, std::uint64_t step) const
    {
        EngineRankReport result{.rank = rank, .epoch = GroupEpoch(1), .isOpen = true, .step = StepNumber(step)};
        return result;
    }

    std::vector<EngineOrderKind> kindsDue(TimePoint now)
    {
        std::vector<EngineOrderKind> kinds;
        for (const auto &order : switch_.poll(now)) {
            kinds.push_back(order.kind);
        }
        return kinds;
    }

    void acceptAll(TimePoint now)
    {
        for (const auto &order : switch_.poll(now)) {
            switch_.onResult(order, EngineOrderResult::Accepted, now);
        }
    }

    HeldMapSwitch switch_;
};

// Guards against two maps in one pass: a controller that starts reads one rank before it has prepared the map and the
// other after it holds the pass. It released the pass, as if nothing had been prepared, while the controller before it
// was arming the ranks.
TEST_F(HeldMapSwitchTest, DoesNotReleaseAHoldOnTheWordOfOlderReports)
{
    switch_.onReport(report(1, 40), start);
    auto holding = report(0, 41);
    holding.prepared = mapVersion;
    holding.heldStep = StepNumber(43);
    auto now = start + milliseconds(100);
    switch_.onReport(holding, now);
    EXPECT_TRUE(kindsDue(now).empty());
    EXPECT_EQ(switch_.phase(), HeldMapSwitch::Phase::Recovering);
    now += 3 * reportAge;
    EXPECT_EQ(switch_.reportsWanted(now).size(), 2U);
    auto prepared = report(1, 42);
    prepared.prepared = mapVersion;
    switch_.onReport(holding, now);
    switch_.onReport(prepared, now);
    EXPECT_EQ(kindsDue(now), (std::vector{EngineOrderKind::Arm, EngineOrderKind::Arm}));
}

// Guards against a group that stands still for good after its controller held a pass for a map that no rank has.
TEST_F(HeldMapSwitchTest, ReleasesAHoldForWhichNothingIsPrepared)
{
    auto holding = report(0, 41);
    holding.heldStep = StepNumber(43);
    switch_.onReport(holding, start);
    switch_.onReport(report(1, 41), start);
    const auto now = start + 3 * reportAge;
    switch_.onReport(holding, now);
    switch_.onReport(report(1, 41), now);
    EXPECT_EQ(kindsDue(now), std::vector{EngineOrderKind::Release});
}

// Guards against a switch that waits for reports, which are a fifth of a second old, although the engines answer at
// once which map they have prepared; and against looks at them while they copy.
TEST_F(HeldMapSwitchTest, HoldsAsSoonAsTheMapsShowThatAllIsPrepared)
{
    constexpr milliseconds copyTime{80};
    switch_.onReport(report(0, 40), start);
    switch_.onReport(report(1, 40), start);
    ASSERT_TRUE(switch_.start(ExpertMap(mapVersion, 2, 1, 4), copyTime, start));
    acceptAll(start);
    EXPECT_TRUE(switch_.mapsWanted(start + copyTime / 2).empty());
    const auto now = start + copyTime;
    ASSERT_EQ(switch_.mapsWanted(now).size(), 2U);
    for (const RankIndex rank : {0U, 1U}) {
        switch_.onMaps({.rank = rank, .epoch = GroupEpoch(1), .step = StepNumber(44), .prepared = mapVersion}, now);
    }
    const auto orders = switch_.poll(now);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders.front().kind, EngineOrderKind::Hold);
    // The step is as new as the answer, so the held pass is the lead ahead of it and no further.
    EXPECT_EQ(orders.front().step, StepNumber(46));
}

// Load pattern "many ranks near their largest pause": looking at the maps of 72 ranks at once pauses the group by 36
// ms, and all of its streams are late. Their reports cost no pause.
TEST(HeldMapSwitchLoadTest, AsksALargeGroupForReportsOnly)
{
    constexpr RankIndex ranks = 72;
    constexpr milliseconds copyTime{80};
    HeldMapSwitch mapSwitch({.ranks = ranks, .reportAge = reportAge});
    const auto reportAll = [&](std::optional<ExpertMapVersion> prepared, TimePoint now) {
        for (RankIndex rank = 0; rank < ranks; ++rank) {
            mapSwitch.onReport(
                {.rank = rank, .epoch = GroupEpoch(1), .isOpen = true, .step = StepNumber(40), .prepared = prepared},
                now);
        }
    };
    reportAll(std::nullopt, start);
    ASSERT_TRUE(mapSwitch.start(ExpertMap(mapVersion, ranks, 1, 4), copyTime, start));
    for (auto orders = mapSwitch.poll(start); !orders.empty(); orders = mapSwitch.poll(start)) {
        for (const auto &order : orders) {
            mapSwitch.onResult(order, EngineOrderResult::Accepted, start);
        }
    }
    EXPECT_TRUE(mapSwitch.reportsWanted(start + copyTime).empty()) << "a report cannot show it yet";
    EXPECT_TRUE(mapSwitch.mapsWanted(start + copyTime).empty());
    const auto now = start + copyTime + reportAge;
    EXPECT_EQ(mapSwitch.reportsWanted(now).size(), ranks);
    EXPECT_TRUE(mapSwitch.mapsWanted(now).empty());
    reportAll(mapVersion, now);
    const auto orders = mapSwitch.poll(now);
    ASSERT_EQ(orders.size(), 1U);
    EXPECT_EQ(orders.front().kind, EngineOrderKind::Hold);
}

} // namespace
} // namespace hornbeamlane
