#include "hornbeamlane_groups/hornbeamlane_groups.h"

#include <gtest/gtest.h>

#include <cmath>

namespace hornbeamlane {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint start{Duration(1h)};

ExpertShares skewedShares(std::uint32_t layers, ExpertIndex experts, std::uint64_t seed)
{
    RandomSource random(seed);
    ExpertShares shares(layers, std::vector<double>(experts));
    for (auto &layer : shares) {
        double sum = 0.0;
        for (auto &share : layer) {
            sum += share = std::exp(2.0 * random.unit());
        }
        for (auto &share : layer) {
            share /= sum;
        }
    }
    return shares;
}

// Guards against maps without an expert, against rounds over their bound, and against more copies than a rank holds.
TEST(ExpertPlacement, KeepsEveryExpertAndItsBounds)
{
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        const RankIndex ranks = seed % 2 == 0 ? 16 : 5;
        const auto shares = skewedShares(3, 32, seed);
        const std::uint32_t slots = (32 + ranks - 1) / ranks + 1;
        const ExpertPlacement placement({.slotsPerRank = slots, .movesPerRound = 10});
        auto map = ExpertMap::uniform(ExpertMapVersion(1), ranks, 3, 32);
        for (int round = 0; round < 10; ++round) {
            const auto next = placement.improve(map, shares);
            ASSERT_TRUE(next.isComplete());
            EXPECT_LE(next.copiesMissingIn(map), 10U);
            EXPECT_LE(ExpertPlacement::imbalance(next, shares), ExpertPlacement::imbalance(map, shares) + 1e-9);
            for (const auto &experts : next.expertsOfLayer(0)) {
                EXPECT_LE(experts.size(), slots);
            }
            map = next;
        }
        EXPECT_LT(ExpertPlacement::imbalance(map, shares), 1.25) << "seed " << seed;
    }
}

// Guards against a straggling rank that keeps its full load.
TEST(ExpertPlacement, TakesLoadFromSlowRanks)
{
    const auto map = ExpertMap::uniform(ExpertMapVersion(1), 8, 1, 32);
    const ExpertShares shares{std::vector<double>(32, 1.0 / 32)};
    RankSlowness slowness(8, 1.0);
    slowness[3] = 2.0;
    const auto next = ExpertPlacement({.slotsPerRank = 6}).improve(map, shares, slowness);
    EXPECT_LT(ExpertPlacement::rankLoads(next, 0, shares[0])[3], 0.7 / 8);
}

// Guards against a popularity that forgets at once or never.
TEST(ExpertPopularity, DecaysAndShowsDrift)
{
    ExpertPopularity popularity({.layers = 1, .expertsPerLayer = 2, .halfLife = 10s});
    EXPECT_EQ(popularity.shares(0), std::vector<double>({0.5, 0.5}));
    popularity.add(0, {100.0, 0.0}, start);
    popularity.add(0, {0.0, 0.0}, start + 10s);
    popularity.add(0, {0.0, 50.0}, start + 10s);
    EXPECT_NEAR(popularity.shares(0)[0], 0.5, 1e-9);
    EXPECT_GT(popularity.drift(), 0.1);
}

// Guards against rebalancing that costs more than it gains, and against one change after the other.
TEST(RebalancePolicy, WeighsGainAgainstCost)
{
    const auto map = ExpertMap::uniform(ExpertMapVersion(1), 8, 1, 32);
    const auto shares = skewedShares(1, 32, 1);
    const auto better = ExpertPlacement({.slotsPerRank = 6}).improve(map, shares);
    RebalancePolicy cheap({.bytesPerCopy = 1'000'000});
    EXPECT_FALSE(cheap.shouldChange(map, map, shares, start));
    EXPECT_TRUE(cheap.shouldChange(map, better, shares, start));
    cheap.noteChange(start);
    EXPECT_FALSE(cheap.shouldChange(map, better, shares, start + 19s));
    EXPECT_TRUE(cheap.shouldChange(map, better, shares, start + 20s));
    const RebalancePolicy expensive({.bytesPerCopy = 100'000'000'000});
    EXPECT_FALSE(expensive.shouldChange(map, better, shares, start));
}

} // namespace
} // namespace hornbeamlane
