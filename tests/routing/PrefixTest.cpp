#include "routing/RoutingFixture.h"

#include <gtest/gtest.h>

namespace hornbeamlane {
namespace {

// Guards against prompts that share a beginning but no hash, and against equal texts of two models that share one.
TEST(PrefixHasher, GivesEqualPrefixesEqualHashes)
{
    const PrefixHasher hasher({.blockBytes = 4, .maxBlocks = 3});
    const auto first = hasher.prefixes("m", "aaaabbbbcccc1");
    const auto second = hasher.prefixes("m", "aaaabbbbdddd");
    ASSERT_EQ(first.size(), 3U);
    EXPECT_EQ(first[0], second[0]);
    EXPECT_EQ(first[1], second[1]);
    EXPECT_NE(first[2], second[2]);
    EXPECT_NE(first[0], hasher.prefixes("n", "aaaa")[0]);
    EXPECT_NE(first[1], hasher.prefixes("m", "xxxxbbbb")[1]) << "a block's hash ignores what precedes it";
    EXPECT_EQ(hasher.prefixes("m", std::string(100, 'a')).size(), 3U);
    EXPECT_TRUE(hasher.prefixes("m", "aaa").empty());
}

// Guards against full trust in a view with missing events, and against trust that never returns.
TEST(PrefixCacheView, LosesTrustByGapsAndRegainsIt)
{
    PrefixCacheView cache;
    const std::vector<std::uint64_t> prefixes = {1, 2};
    cache.onReport(0, LoadReport{.cacheSequence = 2, .cachedPrefixes = prefixes});
    EXPECT_DOUBLE_EQ(cache.cachedShare(0, prefixes), 1);
    cache.onReport(0, LoadReport{.cacheSequence = 2, .evictedPrefixes = {1, 2}});
    EXPECT_DOUBLE_EQ(cache.cachedShare(0, prefixes), 1) << "a doubled report was applied";
    cache.onReport(0, LoadReport{.cacheSequence = 9, .evictedPrefixes = {2}});
    EXPECT_DOUBLE_EQ(cache.cachedShare(0, prefixes), 0.25) << "half of the prompt at half of the trust";
    for (std::uint64_t sequence = 10; sequence < 60; ++sequence) {
        cache.onReport(0, LoadReport{.cacheSequence = sequence, .cachedPrefixes = {sequence}});
    }
    EXPECT_GT(cache.trust(0), 0.95);
}

// Guards against a restarted engine, whose cache is empty, that goes on attracting requests.
TEST(PrefixCacheView, ForgetsARestartedEngine)
{
    PrefixCacheView cache;
    const std::vector<std::uint64_t> prefixes = {1};
    cache.onReport(3, LoadReport{.engineIncarnation = Incarnation(1), .cacheSequence = 1, .cachedPrefixes = prefixes});
    cache.onReport(3, LoadReport{.engineIncarnation = Incarnation(2), .cacheSequence = 0});
    EXPECT_EQ(cache.cachedShare(3, prefixes), 0);
    std::array<ServerIndex, 2> holders;
    EXPECT_EQ(cache.findHolders(prefixes, holders), 0U);
    cache.onReport(3, LoadReport{.engineIncarnation = Incarnation(2), .cacheSequence = 1, .cachedPrefixes = prefixes});
    EXPECT_EQ(cache.findHolders(prefixes, holders), 1U);
}

// Guards against memory that grows with the number of prompts, and against the newest prompts being dropped.
TEST(PrefixCacheView, ReplacesTheOldestEntries)
{
    PrefixCacheView cache({.maxEntries = 64});
    std::vector<std::uint64_t> last;
    for (std::uint64_t i = 1; i < 10000; ++i) {
        last = {i * 0x9E3779B97F4A7C15ULL};
        cache.onDispatched(0, last);
    }
    EXPECT_EQ(cache.cachedShare(0, last), 1);
    int kept = 0;
    for (std::uint64_t i = 1; i < 10000; ++i) {
        const std::vector<std::uint64_t> prefix = {i * 0x9E3779B97F4A7C15ULL};
        kept += cache.cachedShare(0, prefix) > 0 ? 1 : 0;
    }
    EXPECT_LE(kept, 64);
}

} // namespace
} // namespace hornbeamlane
