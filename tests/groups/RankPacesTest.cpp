#include "hornbeamlane_groups/hornbeamlane_groups.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace hornbeamlane {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint start{std::chrono::hours(1)};
constexpr RankIndex ranks = 12;

/** A group that makes passes of a given time; its step is told each half second. */
class Passes final
{
public:
    explicit Passes(RankPaces &paces)
        : paces_(paces)
    {
    }

    void run(milliseconds passTime, milliseconds time)
    {
        const auto end = now_ + time;
        while (now_ < end) {
            now_ += milliseconds(500);
            steps_ += 500.0 / static_cast<double>(passTime.count());
            paces_.notePass(StepNumber(static_cast<std::uint64_t>(steps_)), now_);
            questions_ += paces_.ranksToAsk(now_).size();
        }
    }

    std::size_t questions() const
    {
        return questions_;
    }

    TimePoint now() const
    {
        return now_;
    }

private:
    RankPaces &paces_;
    TimePoint now_ = start;
    double steps_ = 1;
    std::size_t questions_ = 0;
};

// Guards against questions to all ranks, each of which costs a call, on a day on which none is slow.
TEST(RankPacesTest, AsksOnceWhilePassesTakeTheirUsualTime)
{
    RankPaces paces({.ranks = ranks});
    Passes passes(paces);
    passes.run(milliseconds(60), milliseconds(20000));
    passes.run(milliseconds(75), milliseconds(20000));
    EXPECT_EQ(passes.questions(), ranks);
}

// Load pattern "one rank in twelve is twelve times slower": all streams are late together, and nothing but the passes
// tells of it at first.
TEST(RankPacesTest, AsksAllRanksWithinASecondOfSlowPasses)
{
    RankPaces paces({.ranks = ranks});
    Passes passes(paces);
    passes.run(milliseconds(60), milliseconds(5000));
    const auto before = passes.questions();
    passes.run(milliseconds(580), milliseconds(1500));
    EXPECT_GE(passes.questions(), before + ranks);
    paces.onPace(2, 12.0, passes.now());
    const auto slowness = paces.slowness(passes.now());
    ASSERT_EQ(slowness.size(), ranks);
    EXPECT_EQ(slowness[2], 12.0);
    EXPECT_EQ(slowness[3], 1.0);
    // It is asked again until it is normal.
    const auto known = passes.questions();
    passes.run(milliseconds(300), milliseconds(1000));
    EXPECT_GT(passes.questions(), known);
    paces.onPace(2, 1.0, passes.now());
    EXPECT_TRUE(paces.slowness(passes.now()).empty());
}

// Guards against a change of load for good that is taken for a slow rank for ever.
TEST(RankPacesTest, GetsUsedToLongerPasses)
{
    RankPaces paces({.ranks = ranks});
    Passes passes(paces);
    passes.run(milliseconds(30), milliseconds(3000));
    passes.run(milliseconds(70), milliseconds(20000));
    const auto before = passes.questions();
    passes.run(milliseconds(70), milliseconds(20000));
    EXPECT_EQ(passes.questions(), before);
}

// Guards against reports with absurd paces, of ranks that are none, and of ranks that have fallen silent.
TEST(RankPacesTest, TakesOddPacesForNormalOnes)
{
    RankPaces paces({.ranks = ranks});
    for (const double odd : {-3.0, 0.0, 0.4, 1.1, std::nan(""), std::numeric_limits<double>::infinity()}) {
        paces.onPace(1, odd, start);
        EXPECT_TRUE(paces.slowness(start).empty()) << odd;
    }
    paces.onPace(ranks, 5.0, start);
    EXPECT_TRUE(paces.slowness(start).empty());
    paces.onPace(1, 1e300, start);
    EXPECT_LE(paces.slowness(start).at(1), 100.0);
    EXPECT_TRUE(paces.slowness(start + milliseconds(4000)).empty());
}

// Load pattern "one rank in twelve is twelve times slower": its share of the experts is what the others wait for, and a
// map that knows of it moves them away within two rounds of copies.
TEST(RankPacesTest, LeavesASlowRankWithoutMuchToDo)
{
    constexpr std::uint32_t layers = 4;
    constexpr ExpertIndex experts = 72;
    constexpr std::uint32_t places = 8;
    constexpr std::uint32_t spare = 3;
    const ExpertPlacement placement({.slotsPerRank = places,
                                     .movesPerRound = std::size_t(ranks) * layers * 2,
                                     .newPerRank = spare,
                                     .smallestGain = 0.15});
    std::vector<double> demand(experts);
    for (ExpertIndex expert = 0; expert < experts; ++expert) {
        demand[expert] = 1.0 / (1 + expert % 9);
    }
    const auto sum = std::accumulate(demand.begin(), demand.end(), 0.0);
    std::for_each(demand.begin(), demand.end(), [sum](double &share) { share /= sum; });
    const ExpertShares shares(layers, demand);
    RankSlowness slowness(ranks, 1.0);
    slowness[2] = 12.0;
    const auto uniform = ExpertMap::uniform(ExpertMapVersion(), ranks, layers, experts);
    const auto unaware = placement.improve(placement.improve(uniform, shares), shares);
    const auto aware = placement.improve(placement.improve(uniform, shares, slowness), shares, slowness);
    EXPECT_GT(ExpertPlacement::imbalance(unaware, shares, slowness), 8.0);
    EXPECT_LT(ExpertPlacement::imbalance(aware, shares, slowness), 1.6);
    for (std::uint32_t layer = 0; layer < layers; ++layer) {
        const auto held = aware.expertsOfLayer(layer);
        for (RankIndex rank = 0; rank < ranks; ++rank) {
            EXPECT_LE(held[rank].size(), places);
        }
    }
}

} // namespace
} // namespace hornbeamlane
