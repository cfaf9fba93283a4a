#include "group_fakes/FakeTable.h"

#include <gtest/gtest.h>

#include <map>

namespace hornbeamlane {
namespace {

using namespace std::chrono_literals;
using testing::FakeTable;

constexpr TimePoint start{Duration(1h)};

LeaseKeeper makeKeeper(std::uint64_t holder)
{
    return LeaseKeeper({.key = "group", .holder = Incarnation(holder)});
}

/** Answers every due request at once. */
void serve(LeaseKeeper &keeper, FakeTable &table, TimePoint now)
{
    while (const auto request = keeper.poll(now)) {
        keeper.handleReply(table.apply(*request), now);
    }
}

// Guards against a holder that acts past 80 % of the duration, and against a contender that does not wait 150 %.
TEST(LeaseKeeper, HolderStopsBeforeContenderStarts)
{
    FakeTable table;
    auto holder = makeKeeper(1);
    auto contender = makeKeeper(2);
    serve(holder, table, start);
    const auto firstToken = holder.token(start);
    ASSERT_TRUE(firstToken);
    for (auto elapsed = 0ms; elapsed < 15000ms; elapsed += 100ms) {
        serve(contender, table, start + elapsed);
        EXPECT_EQ(holder.token(start + elapsed).has_value(), elapsed < 8000ms);
        EXPECT_FALSE(contender.token(start + elapsed));
    }
    serve(contender, table, start + 15s);
    ASSERT_TRUE(contender.token(start + 15s));
    EXPECT_GT(*contender.token(start + 15s), *firstToken);
}

/** Time on the table service's clock, which has another zero than the processes' clock. */
std::chrono::milliseconds serviceTimeAt(TimePoint now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - start) + 77s;
}

void serveWithTime(LeaseKeeper &keeper, FakeTable &table, TimePoint now)
{
    while (const auto request = keeper.poll(now)) {
        keeper.handleReply(table.apply(*request, serviceTimeAt(now)), now);
    }
}

// Guards against maps that nobody adapts for seconds after their holder was killed: where the service tells its time, a
// contender needs no wait of its own beyond the end of the lease.
TEST(LeaseKeeper, TakesOverWhenTheLeaseEndsOnTheServicesClock)
{
    FakeTable table;
    auto holder = makeKeeper(1);
    auto contender = makeKeeper(2);
    serveWithTime(holder, table, start);
    serveWithTime(holder, table, start + 2s);
    ASSERT_TRUE(holder.token(start + 2s));
    serveWithTime(contender, table, start + 5s);
    serveWithTime(contender, table, start + 2s + 9990ms);
    EXPECT_FALSE(contender.token(start + 2s + 9990ms));
    serveWithTime(contender, table, start + 2s + 10s);
    EXPECT_TRUE(contender.token(start + 2s + 10s));
}

// Guards against a process that starts after the holder's death and waits as long as one that saw it alive.
TEST(LeaseKeeper, TakesAnEndedLeaseAtItsFirstLook)
{
    FakeTable table;
    auto holder = makeKeeper(1);
    serveWithTime(holder, table, start);
    serveWithTime(holder, table, start + 2s);
    auto contender = makeKeeper(2);
    serveWithTime(contender, table, start + 20s);
    EXPECT_TRUE(contender.token(start + 20s));
}

// Guards against contenders that all write at the moment at which a lease ends.
TEST(LeaseKeeper, WaitsItsOwnDelayBeyondTheEnd)
{
    FakeTable table;
    auto holder = makeKeeper(1);
    LeaseKeeper contender({.key = "group", .holder = Incarnation(2), .takeoverDelay = 300ms});
    serveWithTime(holder, table, start);
    serveWithTime(holder, table, start + 2s);
    serveWithTime(contender, table, start + 2s + 10200ms);
    EXPECT_FALSE(contender.token(start + 2s + 10200ms));
    serveWithTime(contender, table, start + 2s + 10300ms);
    EXPECT_TRUE(contender.token(start + 2s + 10300ms));
}

// Guards against a row of the form with an end that is read as malformed, and so as free.
TEST(LeaseRow, KeepsItsEndInTheTextForm)
{
    const LeaseRow row{.holder = Incarnation(3), .sequence = 4, .token = FencingToken(5), .expiresAt = 6789ms};
    EXPECT_EQ(LeaseRow::fromString(row.toString()), row);
    EXPECT_FALSE(LeaseRow::fromString("3 4 5 "));
    EXPECT_FALSE(LeaseRow::fromString("3 4 5 6 7"));
    EXPECT_EQ(LeaseRow::fromString("3 4 5")->expiresAt, std::nullopt);
}

// Guards against a token that changes with each renewal, which would fence a controller off from its own orders.
TEST(LeaseKeeper, RenewalKeepsTheToken)
{
    FakeTable table;
    auto holder = makeKeeper(1);
    serve(holder, table, start);
    const auto token = holder.token(start);
    for (auto elapsed = 0s; elapsed < 60s; elapsed += 1s) {
        serve(holder, table, start + elapsed);
        ASSERT_EQ(holder.token(start + elapsed), token);
        EXPECT_EQ(fencingTokenOf(*table.read("group").row), *token);
    }
}

// Guards against a lease that stays taken after a planned stop.
TEST(LeaseKeeper, ReleaseLetsTheNextOneInAtOnce)
{
    FakeTable table;
    auto holder = makeKeeper(1);
    auto contender = makeKeeper(2);
    serve(holder, table, start);
    holder.release();
    EXPECT_FALSE(holder.token(start));
    serve(holder, table, start);
    serve(contender, table, start);
    EXPECT_TRUE(contender.token(start));
}

class LeaseKeeperFaults : public ::testing::TestWithParam<bool>
{
};

INSTANTIATE_TEST_SUITE_P(ServiceTellsItsTime, LeaseKeeperFaults, ::testing::Bool());

// Guards against two holders when requests and replies are delayed, lost or applied late, and processes pause.
TEST_P(LeaseKeeperFaults, NeverTwoHolders)
{
    struct InFlight
    {
        std::size_t keeper;
        LeaseRequest request;
        TimePoint appliedAt;
        TimePoint answeredAt;
        std::optional<TableReply> reply;
    };
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        RandomSource random(seed);
        FakeTable table;
        std::vector<LeaseKeeper> keepers{makeKeeper(1), makeKeeper(2), makeKeeper(3)};
        std::vector<TimePoint> pausedUntil(keepers.size());
        std::vector<InFlight> inFlight;
        FencingToken newest;
        int acquisitions = 0;
        for (TimePoint now = start; now < start + 600s; now += 100ms) {
            for (auto &message : inFlight) {
                if (!message.reply && message.appliedAt <= now) {
                    message.reply =
                        GetParam() ? table.apply(message.request, serviceTimeAt(now)) : table.apply(message.request);
                }
            }
            int holders = 0;
            for (std::size_t i = 0; i < keepers.size(); ++i) {
                if (const auto token = keepers[i].token(now)) {
                    ++holders;
                    ASSERT_GE(*token, newest);
                    acquisitions += *token > newest ? 1 : 0;
                    newest = *token;
                }
                if (now < pausedUntil[i]) {
                    continue;
                }
                if (random.below(200) == 0) {
                    pausedUntil[i] = now + std::chrono::seconds(random.below(30));
                    continue;
                }
                for (auto &message : inFlight) {
                    if (message.keeper == i && message.answeredAt <= now) {
                        const bool isLost = !message.reply || random.below(10) == 0;
                        keepers[i].handleReply(isLost ? TableReply{.status = TableStatus::NoReply} : *message.reply,
                                               now);
                        message.answeredAt = TimePoint::max();
                    }
                }
                if (const auto request = keepers[i].poll(now)) {
                    // Some writes take effect long after their client has given up.
                    const auto delay = std::chrono::milliseconds(random.below(random.below(10) == 0 ? 20000 : 300));
                    inFlight.push_back({.keeper = i,
                                        .request = *request,
                                        .appliedAt = now + delay,
                                        .answeredAt = now + std::min<Duration>(delay + 100ms, 2s)});
                }
            }
            ASSERT_LE(holders, 1) << "seed " << seed;
        }
        EXPECT_GT(acquisitions, 2) << "seed " << seed;
    }
}

// Guards against a contender that takes a lease which the restored row does not show, while its holder may go on.
TEST(LeaseKeeper, WaitsForHoldersOfTheEarlierEra)
{
    FakeTable table;
    table.startEra(1);
    auto holder = makeKeeper(1);
    auto contender = makeKeeper(2);
    const auto copy = table;
    serve(holder, table, start);
    serve(contender, table, start);
    const auto firstToken = holder.token(start);
    ASSERT_TRUE(firstToken);
    table.restore(copy);
    // The holder does not ask before its next renewal; the contender finds no row at all.
    for (auto elapsed = 1000ms; elapsed < 16000ms; elapsed += 100ms) {
        serve(contender, table, start + elapsed);
        EXPECT_FALSE(holder.token(start + elapsed) && contender.token(start + elapsed));
    }
    serve(contender, table, start + 17s);
    ASSERT_TRUE(contender.token(start + 17s));
    EXPECT_GT(*contender.token(start + 17s), *firstToken);
}

// Guards against a token that is given out again: maps are numbered from it, and engines reject versions that are not
// higher.
TEST(LeaseKeeper, GivesOutHigherTokensInALaterEra)
{
    FakeTable table;
    table.startEra(4);
    const auto copy = table;
    FencingToken newest;
    TimePoint now = start;
    for (std::uint64_t round = 1; round < 20; ++round) {
        auto holder = makeKeeper(round);
        serve(holder, table, now);
        ASSERT_TRUE(holder.token(now));
        EXPECT_GT(*holder.token(now), newest) << round;
        newest = *holder.token(now);
        holder.release();
        serve(holder, table, now);
        table.restore(copy);
        now += 60s;
    }
}

// Guards against a holder that takes the write of an earlier era, carried out on a version that was given out again,
// for its lease.
TEST(LeaseKeeper, DoesNotCountOnAWriteOfTheEarlierEra)
{
    FakeTable table;
    table.startEra(1);
    auto holder = makeKeeper(1);
    const auto copy = table;
    serve(holder, table, start);
    const auto renewal = holder.poll(start + 2s);
    ASSERT_TRUE(renewal && renewal->write);
    table.restore(copy);
    auto other = makeKeeper(2);
    serve(other, table, start + 2s);
    ASSERT_TRUE(other.token(start + 2s));
    // The same version stands there again, so the delayed renewal overwrites the other's row.
    holder.handleReply(table.apply(*renewal), start + 2s);
    EXPECT_FALSE(holder.token(start + 2s));
    for (auto elapsed = 2000ms; elapsed < 30000ms; elapsed += 100ms) {
        serve(holder, table, start + elapsed);
        serve(other, table, start + elapsed);
        EXPECT_FALSE(holder.token(start + elapsed) && other.token(start + elapsed));
    }
}

// Guards against two holders, and a token that is given out twice, when the service comes back from older copies while
// requests are delayed and lost.
TEST(LeaseKeeper, NeverTwoHoldersAcrossEras)
{
    for (std::uint64_t seed = 0; seed < 40; ++seed) {
        RandomSource random(seed);
        FakeTable table;
        table.startEra(1);
        auto copy = table;
        std::vector<LeaseKeeper> keepers{makeKeeper(1), makeKeeper(2), makeKeeper(3)};
        std::map<FencingToken, std::size_t> holderOf;
        FencingToken newest;
        for (TimePoint now = start; now < start + 900s; now += 100ms) {
            if (random.below(100) == 0) {
                copy = table;
            }
            if (random.below(600) == 0) {
                table.restore(copy);
            }
            int holders = 0;
            for (std::size_t i = 0; i < keepers.size(); ++i) {
                if (random.below(4) != 0) {
                    if (const auto request = keepers[i].poll(now)) {
                        const auto reply = table.apply(*request, serviceTimeAt(now));
                        const bool isLost = random.below(10) == 0;
                        keepers[i].handleReply(isLost ? TableReply{.status = TableStatus::NoReply} : reply, now);
                    }
                }
                if (const auto token = keepers[i].token(now)) {
                    ++holders;
                    EXPECT_EQ(holderOf.emplace(*token, i).first->second, i) << "seed " << seed;
                    EXPECT_GE(*token, newest) << "seed " << seed;
                    newest = *token;
                }
            }
            ASSERT_LE(holders, 1) << "seed " << seed;
        }
        EXPECT_GT(holderOf.size(), 1U) << "seed " << seed;
    }
}

} // namespace
} // namespace hornbeamlane
