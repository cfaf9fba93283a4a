#include "platform/StoreClient.h"
#include "platform/soak/SoakStore.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>

namespace hornbeamlane::platform {
namespace {

using std::chrono::milliseconds;

/** A client and a follower of a store that comes back from an older copy. */
class RestoredStoreTest : public ::testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_TRUE(store_.listen("127.0.0.1:0", "127.0.0.1:0"));
        client_ =
            std::make_unique<StoreClient>(loop_, StoreSettings{.address = "127.0.0.1:" + std::to_string(store_.port())},
                                          [this](const TableEraChange &change) { changes_.push_back(change); });
        follower_ = std::make_unique<TableFollower>(
            loop_, random_, client_->feed(), TableFollower::Options{.table = "servers"},
            TableFollower::Callbacks{.snapshot =
                                         [this](const auto &rows) {
                                             rows_.clear();
                                             take(rows);
                                         },
                                     .changes = [this](const auto &rows) { take(rows); },
                                     .reachable = [](bool) {},
                                     .peers = [] { return std::size_t(0); },
                                     .restored = [this] { ++restored_; }});
    }

    void runUntil(const std::function<bool()> &isDone)
    {
        const auto end = loop_.now() + milliseconds(5000);
        Timer check(loop_, [&] {
            if (isDone() || loop_.now() > end) {
                loop_.stop();
            }
        });
        check.startRepeating(milliseconds(2));
        loop_.run();
        EXPECT_TRUE(isDone()) << "timed out";
    }

    TableReply write(const std::string &key, std::uint64_t expected)
    {
        std::optional<TableReply> result;
        client_->write({.key = key, .expectedVersion = RowVersion(expected), .value = "v"},
                       [&](const TableReply &reply) { result = reply; });
        runUntil([&] { return result.has_value(); });
        return result.value_or(TableReply());
    }

    void take(const std::vector<TableChange> &rows)
    {
        for (const auto &row : rows) {
            row.isRemoved ? (void)rows_.erase(row.key) : (void)(rows_[row.key] = row.value);
        }
    }

    using Rows = std::map<std::string, std::string>;

    EventLoop loop_;
    RandomSource random_{5};
    SoakStore store_{loop_, random_};
    std::vector<TableEraChange> changes_;
    Rows rows_;
    int restored_ = 0;
    std::unique_ptr<StoreClient> client_;
    std::unique_ptr<TableFollower> follower_;
};

// Guards against a client that does not tell its holders of a later era, or tells them twice.
TEST_F(RestoredStoreTest, TellsOfALaterEraOnce)
{
    store_.keepCopy();
    const auto first = write("a", 0);
    EXPECT_EQ(first.status, TableStatus::Ok);
    EXPECT_EQ(first.era, TableEra(1));
    EXPECT_TRUE(changes_.empty());
    store_.restoreCopy();
    // The lost row is absent again, and the write of it gets the version that it had.
    const auto second = write("a", first.row->version.value());
    EXPECT_EQ(second.status, TableStatus::Conflict);
    ASSERT_EQ(changes_.size(), 1U);
    EXPECT_EQ(changes_[0].from, 1U);
    EXPECT_EQ(changes_[0].to, 2U);
    const auto third = write("a", 0);
    EXPECT_EQ(third.row->version, first.row->version);
    EXPECT_EQ(third.era, TableEra(2));
    EXPECT_EQ(changes_.size(), 1U);
}

// Guards against an entry that holds the rows of the earlier era for good: it calls each read of the restored store
// stale, because the version is lower.
TEST_F(RestoredStoreTest, FollowsTheRestoredTable)
{
    store_.put("servers", "kept", "1");
    store_.keepCopy();
    store_.put("servers", "kept", "2");
    store_.put("servers", "lost", "1");
    follower_->start();
    runUntil([&] { return rows_ == Rows{{"kept", "2"}, {"lost", "1"}}; });
    store_.restoreCopy();
    runUntil([&] { return rows_ == Rows{{"kept", "1"}}; });
    EXPECT_EQ(restored_, 1);
    // What is written again has versions that were seen before.
    store_.put("servers", "lost", "2");
    runUntil([&] { return rows_ == Rows{{"kept", "1"}, {"lost", "2"}}; });
    EXPECT_EQ(restored_, 1);
}

// Guards against changes that are missed because the restored store has already given out the follower's version again.
TEST_F(RestoredStoreTest, FollowsATableWhoseVersionsHaveCaughtUp)
{
    store_.put("servers", "kept", "1");
    store_.keepCopy();
    store_.put("servers", "lost", "1");
    follower_->start();
    runUntil([&] { return rows_.size() == 2; });
    store_.restoreCopy();
    store_.put("servers", "b", "1");
    store_.put("servers", "c", "1");
    store_.put("servers", "d", "1");
    runUntil([&] { return rows_ == Rows{{"b", "1"}, {"c", "1"}, {"d", "1"}, {"kept", "1"}}; });
    EXPECT_EQ(restored_, 1);
}

} // namespace
} // namespace hornbeamlane::platform
