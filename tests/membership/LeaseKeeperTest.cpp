#include "group_fakes/FakeTable.h"

#include <gtest/gtest.h>

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

} // namespace
} // namespace hornbeamlane
