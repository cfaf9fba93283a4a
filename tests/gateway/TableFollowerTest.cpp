#include "hornbeamlane_gateway/hornbeamlane_gateway.h"

#include <gtest/gtest.h>

#include <utility>

namespace hornbeamlane {
namespace {

using std::chrono::milliseconds;

/** A table whose answers the test gives by hand. */
class TableFollowerTest : public ::testing::Test
{
protected:
    TableFeed feed()
    {
        return {.readAll = [this](const std::string &,
                                  TableFeed::Handler handler) { reads_.push_back(std::move(handler)); },
                .readChanges =
                    [this](const std::string &, RowVersion since, milliseconds wait, TableFeed::Handler handler) {
                        watches_.push_back(std::move(handler));
                        since_ = since;
                        wait_ = wait;
                    }};
    }

    void start()
    {
        follower_ = std::make_unique<TableFollower>(
            loop_, random_, feed(),
            TableFollower::Options{.table = "t",
                                   .changePause = milliseconds(20),
                                   .maxPeerLead = milliseconds(30),
                                   .peerExpiry = milliseconds(150)},
            TableFollower::Callbacks{.snapshot = [this](const auto &rows) { snapshots_.push_back(rows); },
                                     .changes =
                                         [this](const auto &rows) {
                                             changes_.push_back(rows);
                                             if (skipsPause_) {
                                                 follower_->skipNextPause();
                                             }
                                         },
                                     .reachable = [this](bool isReachable) { reachable_ = isReachable; },
                                     .peers = [this] { return peers_; },
                                     .restored = [this] { ++restored_; },
                                     .advanced = [this] { ++advanced_; }});
        follower_->start();
    }

    static TableFeedReply reply(std::uint64_t version, std::vector<TableChange> rows = {})
    {
        return {.status = TableFeedReply::Status::Ok, .rows = std::move(rows), .version = RowVersion(version)};
    }

    static TableFeedReply replyIn(TableEra era, std::uint64_t version, std::vector<TableChange> rows = {})
    {
        auto result = reply(version, std::move(rows));
        result.era = era;
        return result;
    }

    static TableChange row(const std::string &key, std::uint64_t version)
    {
        return {.key = key, .version = RowVersion(version), .value = "v"};
    }

    void runFor(milliseconds time)
    {
        Timer end(loop_, [this] { loop_.stop(); });
        end.startOnce(time);
        loop_.run();
    }

    EventLoop loop_;
    RandomSource random_{1};
    std::vector<TableFeed::Handler> reads_;
    std::vector<TableFeed::Handler> watches_;
    std::vector<std::vector<TableChange>> snapshots_;
    std::vector<std::vector<TableChange>> changes_;
    RowVersion since_;
    milliseconds wait_{0};
    std::optional<bool> reachable_;
    std::size_t peers_ = 0;
    int restored_ = 0;
    int advanced_ = 0;
    bool skipsPause_ = false;
    std::unique_ptr<TableFollower> follower_;
};

// Guards against changes between the first read and the first wait being missed.
TEST_F(TableFollowerTest, WaitsFromTheVersionOfTheRead)
{
    start();
    reads_[0](reply(7, {row("a", 5)}));
    ASSERT_EQ(watches_.size(), 1U);
    EXPECT_EQ(since_, RowVersion(7));
    EXPECT_EQ(follower_->newestRow(), RowVersion(5));
}

// Guards against rows that are taken for new though another table already tells of what came after them (review/9): a
// wait for changes says nothing, and a pause after a change hides the next one.
TEST_F(TableFollowerTest, CatchesUpWithoutWaitingForAChange)
{
    start();
    reads_[0](reply(7));
    ASSERT_EQ(watches_.size(), 1U);
    follower_->catchUp({.version = 9, .era = std::nullopt});
    ASSERT_EQ(watches_.size(), 2U);
    EXPECT_EQ(wait_, milliseconds(0));
    watches_[0](reply(8, {row("ignored", 8)}));
    EXPECT_TRUE(changes_.empty());
    // The first of two answers ends before the wanted version.
    watches_[1](reply(8, {row("a", 8)}));
    ASSERT_EQ(watches_.size(), 3U);
    EXPECT_EQ(wait_, milliseconds(0));
    EXPECT_EQ(follower_->complete().version, 8U);
    watches_[2](reply(9));
    EXPECT_EQ(follower_->complete().version, 9U);
    EXPECT_EQ(advanced_, 3);
    ASSERT_EQ(watches_.size(), 4U);
    EXPECT_GT(wait_, milliseconds(0));
    follower_->catchUp({.version = 9, .era = std::nullopt});
    EXPECT_EQ(watches_.size(), 4U);
}

// Guards against a store that is asked without end because an answer without changes repeats the version of the
// question.
TEST_F(TableFollowerTest, TakesAnAnswerWithoutChangesForComplete)
{
    start();
    reads_[0](reply(7));
    follower_->catchUp({.version = 9, .era = std::nullopt});
    watches_[1](reply(7));
    EXPECT_EQ(follower_->complete().version, 9U);
    ASSERT_EQ(watches_.size(), 3U);
    EXPECT_GT(wait_, milliseconds(0));
}

// Guards against a question that is lost with a failure of the store, or sent while the store is away.
TEST_F(TableFollowerTest, CatchesUpAfterAFailure)
{
    start();
    reads_[0](reply(7));
    watches_[0]({});
    follower_->catchUp({.version = 9, .era = std::nullopt});
    EXPECT_EQ(watches_.size(), 1U);
    runFor(milliseconds(300));
    ASSERT_EQ(watches_.size(), 2U);
    EXPECT_EQ(wait_, milliseconds(0));
    watches_[1](reply(9, {row("a", 9)}));
    EXPECT_EQ(follower_->complete().version, 9U);
}

// Guards against changes that come in quick succession and matter at once, such as servers that become cold together.
TEST_F(TableFollowerTest, AsksAgainAtOnceWhenThePauseIsSkipped)
{
    skipsPause_ = true;
    start();
    reads_[0](reply(7));
    watches_[0](reply(8, {row("a", 8)}));
    EXPECT_EQ(watches_.size(), 2U);
    skipsPause_ = false;
    watches_[1](reply(9, {row("b", 9)}));
    EXPECT_EQ(watches_.size(), 2U);
    runFor(milliseconds(40));
    EXPECT_EQ(watches_.size(), 3U);
}

// Guards against going on after a gap in the history as if nothing had been missed.
TEST_F(TableFollowerTest, ReadsAnewWhenTheHistoryIsGone)
{
    start();
    reads_[0](reply(7));
    watches_[0]({.status = TableFeedReply::Status::HistoryGone});
    ASSERT_EQ(reads_.size(), 2U);
    reads_[1](reply(9, {row("a", 9)}));
    EXPECT_EQ(snapshots_.size(), 2U);
}

// Guards against an old read that takes back what is already known.
TEST_F(TableFollowerTest, IgnoresAReadThatIsOlderThanWhatIsKnown)
{
    start();
    reads_[0](reply(7));
    watches_[0]({.status = TableFeedReply::Status::HistoryGone});
    reads_[1](reply(6));
    EXPECT_EQ(snapshots_.size(), 1U);
    runFor(milliseconds(250));
    EXPECT_EQ(reads_.size(), 3U);
}

// Guards against a store that is asked without pause while it is away, and against not noticing its return.
TEST_F(TableFollowerTest, BacksOffWhileTheStoreIsAway)
{
    start();
    reads_[0](reply(7));
    watches_[0]({});
    EXPECT_EQ(reachable_, false);
    EXPECT_EQ(watches_.size(), 1U);
    runFor(milliseconds(250));
    ASSERT_EQ(watches_.size(), 2U);
    EXPECT_EQ(since_, RowVersion(7));
    watches_[1](reply(8));
    EXPECT_EQ(reachable_, true);
}

// Guards against a connection that has fallen silent: another process has seen a change that does not arrive here.
TEST_F(TableFollowerTest, GivesUpAWaitThatMissesWhatOthersHaveSeen)
{
    start();
    reads_[0](reply(7, {row("a", 7)}));
    follower_->onPeerVersion({.version = 9, .era = std::nullopt});
    EXPECT_EQ(watches_.size(), 1U);
    runFor(milliseconds(50));
    ASSERT_EQ(watches_.size(), 2U);
    watches_[1](reply(9, {row("a", 9)}));
    EXPECT_EQ(follower_->newestRow(), RowVersion(9));
    // The wait that was given up answers after all.
    watches_[0](reply(8, {row("a", 8)}));
    EXPECT_EQ(changes_.size(), 1U);
}

// Guards against waits that are longer than others could make up for.
TEST_F(TableFollowerTest, WaitsLongerTheMoreOthersFollow)
{
    start();
    reads_[0](reply(7));
    EXPECT_LE(wait_, milliseconds(2500));
    peers_ = 40;
    watches_[0](reply(8));
    EXPECT_GT(wait_, milliseconds(5000));
    EXPECT_LE(wait_, milliseconds(9000));
}

// Guards against a follower that calls every read of a restored store stale, and so learns nothing more for as long as
// the versions are lower.
TEST_F(TableFollowerTest, TakesALowerVersionOfALaterEra)
{
    start();
    reads_[0](replyIn(1, 70, {row("a", 70)}));
    watches_[0]({.status = TableFeedReply::Status::HistoryGone, .era = 2});
    ASSERT_EQ(reads_.size(), 2U);
    reads_[1](replyIn(2, 60, {row("a", 50)}));
    ASSERT_EQ(snapshots_.size(), 2U);
    EXPECT_EQ(restored_, 1);
    EXPECT_EQ(since_, RowVersion(60));
    EXPECT_EQ(follower_->newest(), (TableVersion{.version = 50, .era = 2}));
    // What was sent before the restore arrives late.
    watches_[1](replyIn(1, 71, {row("a", 71)}));
    EXPECT_TRUE(changes_.empty());
}

// Guards against changes since a version that the store has given out twice: those before it have been lost.
TEST_F(TableFollowerTest, ReadsAnewWhenChangesComeFromALaterEra)
{
    start();
    reads_[0](replyIn(1, 7, {row("a", 7)}));
    watches_[0](replyIn(2, 9, {row("b", 9)}));
    EXPECT_TRUE(changes_.empty());
    ASSERT_EQ(reads_.size(), 2U);
    reads_[1](replyIn(2, 9, {row("b", 9)}));
    EXPECT_EQ(snapshots_.size(), 2U);
    EXPECT_EQ(restored_, 1);
}

// Guards against entries that ask the store again and again for versions that no longer exist, because one that has not
// heard of the restore, or one of the release before, tells of them.
TEST_F(TableFollowerTest, WaitsForNoVersionOfAnEarlierEra)
{
    start();
    reads_[0](replyIn(1, 70, {row("a", 70)}));
    follower_->onPeerVersion({.version = 75, .era = 1});
    follower_->onEraRisen(2);
    reads_.back()(replyIn(2, 60, {row("a", 50)}));
    const auto watches = watches_.size();
    follower_->onPeerVersion({.version = 75, .era = 1});
    follower_->onPeerVersion({.version = 75, .era = std::nullopt});
    runFor(milliseconds(150));
    EXPECT_EQ(watches_.size(), watches);
    follower_->onPeerVersion({.version = 61, .era = 2});
    runFor(milliseconds(50));
    EXPECT_EQ(watches_.size(), watches + 1);
}

// Guards against a wait at a store that is gone: another process has heard of the later era, and this one asks.
TEST_F(TableFollowerTest, AsksWhenOthersTellOfALaterEra)
{
    start();
    reads_[0](replyIn(1, 70, {row("a", 70)}));
    follower_->onPeerVersion({.version = 60, .era = 2});
    runFor(milliseconds(50));
    ASSERT_EQ(watches_.size(), 2U);
    watches_[1]({.status = TableFeedReply::Status::HistoryGone, .era = 2});
    ASSERT_EQ(reads_.size(), 2U);
}

// Guards against an entry that asks again and again for a removal that its read already contains: only the rows that
// are left have versions, and other entries tell the version of the removal.
TEST_F(TableFollowerTest, DoesNotMissARemovalBeforeItsRead)
{
    start();
    reads_[0](reply(9, {row("a", 5)}));
    follower_->onPeerVersion({.version = 9, .era = std::nullopt});
    runFor(milliseconds(100));
    EXPECT_EQ(watches_.size(), 1U);
}

// Guards against the same after a wait that ended without rows: the store has confirmed its version.
TEST_F(TableFollowerTest, DoesNotMissWhatAnEmptyAnswerConfirms)
{
    start();
    reads_[0](reply(7, {row("a", 5)}));
    follower_->onPeerVersion({.version = 9, .era = std::nullopt});
    watches_[0](reply(9));
    runFor(milliseconds(100));
    EXPECT_EQ(watches_.size(), 2U);
}

// Guards against an entry that asks the store without end because another one keeps telling a version that the store
// has never given; what others tell besides is still waited for.
TEST_F(TableFollowerTest, StopsWaitingForAVersionThatTheStoreDoesNotConfirm)
{
    start();
    reads_[0](reply(7, {row("a", 7)}));
    const auto tellFor = [this](milliseconds time, const TableVersion &seen) {
        Timer tell(loop_, [this, seen] { follower_->onPeerVersion(seen); });
        tell.startRepeating(milliseconds(10));
        runFor(time);
    };
    tellFor(milliseconds(300), {.version = 1000, .era = std::nullopt});
    const auto watches = watches_.size();
    EXPECT_GT(watches, 1U);
    tellFor(milliseconds(300), {.version = 1000, .era = std::nullopt});
    EXPECT_EQ(watches_.size(), watches);
    tellFor(milliseconds(60), {.version = 9, .era = std::nullopt});
    EXPECT_EQ(watches_.size(), watches + 1);
}

// Guards against the same with a later era that the store does not tell.
TEST_F(TableFollowerTest, StopsWaitingForAnEraThatTheStoreDoesNotConfirm)
{
    start();
    reads_[0](replyIn(1, 70, {row("a", 70)}));
    Timer tell(loop_, [this] { follower_->onPeerVersion({.version = 60, .era = 2}); });
    tell.startRepeating(milliseconds(10));
    runFor(milliseconds(300));
    const auto watches = watches_.size();
    EXPECT_GT(watches, 1U);
    runFor(milliseconds(300));
    EXPECT_EQ(watches_.size(), watches);
    // The store tells it after all.
    watches_.back()(replyIn(2, 60));
    EXPECT_EQ(reads_.size(), 2U);
}

} // namespace
} // namespace hornbeamlane
