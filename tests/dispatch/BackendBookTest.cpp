#include "hornbeamlane_dispatch/hornbeamlane_dispatch.h"

#include <gtest/gtest.h>

namespace hornbeamlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId pool{"pool"};
const DataCentreId here{"here"};
const DataCentreId there{"there"};
const TimePoint start{seconds(100)};

BackendSpec server(const std::string &id, const DataCentreId &dataCentre = here)
{
    return {.id = ServerId(id), .service = pool, .address = "127.0.0.1:1", .dataCentre = dataCentre, .slots = 4};
}

class BackendBookTest : public ::testing::Test
{
protected:
    std::optional<ServerId> choose(TimePoint now = start)
    {
        return book_.choose({.service = pool, .dataCentre = here}, now, random_);
    }

    RandomSource random_{7};
    BackendBook book_{BackendBook::Options{.entryCount = 4}};
};

// Guards against work for a server that has announced its leaving.
TEST_F(BackendBookTest, SkipsDrainingServers)
{
    auto leaving = server("a");
    leaving.isDraining = true;
    book_.update(leaving, start);
    EXPECT_FALSE(choose());
    EXPECT_EQ(book_.lastFailure(), BackendBook::NoChoice::NoServer);
    book_.update(server("b"), start);
    EXPECT_EQ(choose(), ServerId("b"));
}

// Guards against requests that all go to a server which is gone and seems free, since its entry cannot be read while
// the store is silent: whatever answers at its address has said that it is another server.
TEST_F(BackendBookTest, SkipsAServerThatHasBeenReplaced)
{
    auto replaced = server("a");
    replaced.incarnation = 1;
    book_.update(replaced, start);
    ASSERT_EQ(choose(), ServerId("a"));
    book_.onSent(ServerId("a"), start);
    book_.onEnded(ServerId("a"), BackendOutcome::Misdirected, start);
    EXPECT_FALSE(choose(start + seconds(1)));
    EXPECT_EQ(book_.lastFailure(), BackendBook::NoChoice::NoServer);
    // Its old entry is read once more, as after a lost connection to the store.
    book_.update(replaced, start + seconds(1));
    EXPECT_FALSE(choose(start + seconds(1)));
    replaced.incarnation = 2;
    book_.update(replaced, start + seconds(2));
    EXPECT_TRUE(choose(start + seconds(2)));
}

// Guards against a server that is left out for good because of one wrong answer.
TEST_F(BackendBookTest, TriesAReplacedServerAgainInTime)
{
    book_.update(server("a"), start);
    book_.onEnded(ServerId("a"), BackendOutcome::Misdirected, start);
    EXPECT_FALSE(choose(start + seconds(9)));
    EXPECT_TRUE(choose(start + seconds(11)));
}

// Guards against work for a server whose entry has gone, and against losing one that has only lapsed with the store.
TEST_F(BackendBookTest, KeepsLapsedServersForAWhile)
{
    book_.update(server("a"), start);
    book_.remove(ServerId("a"), start + seconds(2));
    EXPECT_TRUE(choose(start + milliseconds(1900)));
    EXPECT_FALSE(choose(start + milliseconds(2100)));
    book_.update(server("b"), start + seconds(3));
    book_.remove(ServerId("b"), std::nullopt);
    EXPECT_FALSE(choose(start + seconds(3)));
}

// Guards against using a leaving server because its entry was removed while the store was away.
TEST_F(BackendBookTest, DoesNotTakeADrainedServerForALapsedOne)
{
    auto leaving = server("a");
    leaving.isDraining = true;
    book_.update(leaving, start);
    book_.remove(ServerId("a"), start + seconds(2));
    book_.sweep(start);
    EXPECT_EQ(book_.find(ServerId("a")), nullptr);
}

// Guards against new work in a data centre that has been taken out.
TEST_F(BackendBookTest, SkipsEvacuatedDataCentres)
{
    book_.update(server("a", there), start);
    book_.setEvacuated({there});
    EXPECT_FALSE(choose());
    book_.setEvacuated({});
    EXPECT_TRUE(choose());
}

// Guards against a cold server's crash: all entries together stay below its rate in any second, bursts included.
TEST_F(BackendBookTest, SharesTheRateOfAColdServer)
{
    constexpr double rate = 38;
    constexpr std::uint32_t entries = 8;
    constexpr double bound = rate * 1.5 + 5;
    book_.setEntryCount(entries);
    book_.setWarmup(pool, seconds(3), rate);
    auto cold = server("a");
    cold.warmupLeft = seconds(3);
    book_.update(cold, start);
    int sent = 0;
    for (int ms = 0; ms < 1000; ++ms) {
        const auto now = start + milliseconds(ms);
        if (choose(now)) {
            book_.onSent(ServerId("a"), now);
            book_.onEnded(ServerId("a"), BackendOutcome::Served, now);
            ++sent;
        }
    }
    EXPECT_GT(sent, 0);
    EXPECT_LE(sent * entries, bound);
}

// Guards against cold servers that get their full share because their entries are older than their data centre's return
// to service (review/9), and against warm ones that are held back for longer than a cold one.
TEST_F(BackendBookTest, CountsServersAsColdUntilTheirEntriesAreNewEnough)
{
    book_.setWarmup(pool, milliseconds(2000), 8);
    book_.update(server("a", DataCentreId("back")), start);
    const auto countFor = [this](TimePoint from, milliseconds time) {
        int count = 0;
        for (auto now = from; now < from + time; now += milliseconds(10)) {
            if (const auto chosen = choose(now)) {
                ++count;
                book_.onSent(*chosen, now);
                book_.onEnded(*chosen, BackendOutcome::Served, now);
            }
        }
        return count;
    };
    EXPECT_EQ(countFor(start, milliseconds(500)), 50);
    book_.assumeCold(DataCentreId("elsewhere"), start);
    EXPECT_EQ(countFor(start, milliseconds(500)), 50);
    book_.assumeCold(DataCentreId("back"), start);
    // Two a second: the share of one of four entries.
    EXPECT_LE(countFor(start, milliseconds(1900)), 4);
    EXPECT_EQ(countFor(start + milliseconds(2000), milliseconds(500)), 50);
    book_.assumeCold(DataCentreId("back"), start + milliseconds(3000));
    EXPECT_LE(countFor(start + milliseconds(3000), milliseconds(500)), 2);
    book_.endAssumedCold(DataCentreId("back"));
    EXPECT_EQ(countFor(start + milliseconds(3500), milliseconds(500)), 50);
}

// Load pattern "a cold server among many entries": each of 44 entries sent it one request at once when it came, as the
// server with the least load, and again whenever all had saved a turn; it may get 15 a second, half as many more and 5.
TEST(ColdServerTest, KeepsItsRateAmongManyEntries)
{
    constexpr std::uint32_t entries = 44;
    constexpr double rate = 15;
    constexpr double bound = rate * 1.5 + 5;
    constexpr milliseconds warmup{6000};
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        std::vector<BackendBook> books;
        std::vector<RandomSource> randoms;
        randoms.reserve(entries);
        for (std::uint32_t i = 0; i < entries; ++i) {
            randoms.emplace_back(seed * 1000 + i);
            books.emplace_back(BackendBook::Options{.entryCount = entries});
            books[i].setWarmup(pool, seconds(6), rate);
            auto cold = server("a");
            cold.warmupLeft = warmup;
            books[i].update(cold, start);
        }
        std::vector<int> sentAt(static_cast<std::size_t>(warmup.count()));
        for (int ms = 0; ms < warmup.count(); ++ms) {
            // Full demand, then hardly any, then full demand again.
            const bool isBusy = ms < 2000 || ms >= 4000;
            for (std::uint32_t i = 0; i < entries; ++i) {
                const auto now = start + milliseconds(ms);
                const bool asks = isBusy || randoms[i].below(1000) == 0;
                if (asks && books[i].choose({.service = pool, .dataCentre = here}, now, randoms[i])) {
                    books[i].onSent(ServerId("a"), now);
                    books[i].onEnded(ServerId("a"), BackendOutcome::Served, now);
                    ++sentAt[static_cast<std::size_t>(ms)];
                }
            }
        }
        int inWindow = 0;
        int most = 0;
        int total = 0;
        for (std::size_t ms = 0; ms < sentAt.size(); ++ms) {
            total += sentAt[ms];
            inWindow += sentAt[ms] - (ms >= 1000 ? sentAt[ms - 1000] : 0);
            most = std::max(most, inWindow);
        }
        EXPECT_LE(most, bound) << "seed " << seed;
        EXPECT_GT(total, rate * 4 * 0.8) << "seed " << seed;
    }
}

// Guards against requests for a group that has lost a rank: each of them would wait for a stall and then be rejected.
TEST_F(BackendBookTest, SkipsBrokenGroups)
{
    auto rank = server("a");
    rank.group = GroupPlace{.group = GroupId("g"), .epoch = 1, .rank = 0, .size = 2, .isOpen = false};
    book_.update(rank, start);
    EXPECT_FALSE(choose());
    EXPECT_EQ(book_.lastFailure(), BackendBook::NoChoice::GroupBroken);
    rank.group->isOpen = true;
    book_.update(rank, start);
    EXPECT_TRUE(choose());
}

// Guards against requests that all go to a lost rank: its entry, written before it was lost, is the only one that calls
// the group open. Of the others the first that says more is enough.
TEST_F(BackendBookTest, JudgesAGroupByTheNewestOfItsEntries)
{
    const auto tell = [this](const char *name, std::uint32_t number, std::uint64_t epoch, bool isOpen) {
        auto rank = server(name);
        rank.group = GroupPlace{.group = GroupId("g"), .epoch = epoch, .rank = number, .size = 3, .isOpen = isOpen};
        book_.update(rank, start);
    };
    tell("a", 0, 4, true);
    tell("b", 1, 4, true);
    tell("lost", 2, 4, true);
    EXPECT_TRUE(choose());
    tell("b", 1, 4, false);
    EXPECT_FALSE(choose());
    EXPECT_TRUE(book_.isInClosedGroup(ServerId("lost"), start));
    tell("a", 0, 5, true);
    EXPECT_TRUE(choose());
    EXPECT_FALSE(book_.isInClosedGroup(ServerId("b"), start));
    // A late rejection of the last epoch does not close it.
    book_.onRankLost(ServerId("b"), 4, start);
    EXPECT_TRUE(choose());
    book_.onRankLost(ServerId("b"), book_.groupEpochOf(ServerId("b")), start);
    EXPECT_FALSE(choose());
}

// Guards against a group that one row of another writer closes, or moves to a later epoch: the row names a rank that
// has a row of its own. It counts once no other rank has one.
TEST_F(BackendBookTest, DoesNotJudgeAGroupByRowsThatNameOneRank)
{
    const auto tell = [this](const char *name, std::uint32_t number, std::uint64_t epoch, bool isOpen) {
        auto rank = server(name);
        rank.group = GroupPlace{.group = GroupId("g"), .epoch = epoch, .rank = number, .size = 2, .isOpen = isOpen};
        book_.update(rank, start);
    };
    tell("a", 0, 3, true);
    tell("b", 1, 3, true);
    tell("odd", 0, 9, false);
    EXPECT_EQ(book_.groupEpochOf(ServerId("a")), 3U);
    EXPECT_FALSE(book_.isInClosedGroup(ServerId("b"), start));
    book_.remove(ServerId("odd"), std::nullopt);
    EXPECT_FALSE(book_.isInClosedGroup(ServerId("a"), start));
    // A server that starts again under another id has two rows for a while: the other rank tells the new epoch.
    tell("a2", 0, 4, true);
    tell("b", 1, 4, true);
    EXPECT_EQ(book_.groupEpochOf(ServerId("a2")), 4U);
    book_.remove(ServerId("b"), std::nullopt);
    book_.sweep(start);
    EXPECT_EQ(book_.groupEpochOf(ServerId("a2")), 4U) << "the newest of the rows that are left";
}

// Load pattern "a rank is lost under full load": the first rejection that names the lost rank keeps all further
// requests from the other ranks, whose entries say only later that the group is broken. Each would stall and come back
// in vain.
TEST_F(BackendBookTest, BelievesARankThatNamesALostOne)
{
    for (const std::uint32_t number : {0U, 1U}) {
        auto rank = server(number == 0 ? "a" : "b");
        rank.group = GroupPlace{.group = GroupId("g"), .epoch = 4, .rank = number, .size = 2, .isOpen = true};
        book_.update(rank, start);
    }
    book_.onRankLost(ServerId("a"), 4, start);
    EXPECT_FALSE(choose(start + milliseconds(2900)));
    EXPECT_EQ(book_.lastFailure(), BackendBook::NoChoice::GroupBroken);
    // Entries that never change, as while the store is away, must not keep a sound group out for good.
    EXPECT_TRUE(choose(start + milliseconds(3100)));
    // The next request finds it still broken.
    book_.onRankLost(ServerId("b"), 4, start + milliseconds(3200));
    EXPECT_FALSE(choose(start + milliseconds(6100)));
}

// Load pattern "a data centre is cut off together with its entries": ranks there that stall with their group reject as
// if they were full, each naming itself. Without this the entry sends every caller to one rank after the other and
// calls them all back within a second, only to refuse them again.
TEST_F(BackendBookTest, ClosesAGroupWhoseRanksTurnRequestsAwayOneAfterTheOther)
{
    for (const std::uint32_t number : {0U, 1U, 2U}) {
        auto rank = server(std::string(1, static_cast<char>('a' + number)));
        rank.group = GroupPlace{.group = GroupId("g"), .epoch = 4, .rank = number, .size = 3, .isOpen = true};
        book_.update(rank, start);
    }
    book_.onRankTurnedAway(ServerId("a"), 4, start);
    book_.onRankTurnedAway(ServerId("a"), 4, start + milliseconds(10));
    EXPECT_TRUE(choose(start + milliseconds(10))) << "one rank may be full";
    book_.onRankTurnedAway(ServerId("b"), 4, start + milliseconds(20));
    EXPECT_FALSE(choose(start + milliseconds(300)));
    EXPECT_EQ(book_.lastFailure(), BackendBook::NoChoice::GroupBroken);
    EXPECT_TRUE(book_.isInClosedGroup(ServerId("c"), start + milliseconds(300)));
    // A request tries the group from time to time; one rejection is enough to close it again.
    EXPECT_TRUE(choose(start + milliseconds(450)));
    book_.onRankTurnedAway(ServerId("c"), 4, start + milliseconds(460));
    EXPECT_FALSE(choose(start + milliseconds(800)));
    // An event shows that the group runs.
    book_.onProgress(ServerId("a"));
    EXPECT_TRUE(choose(start + milliseconds(800)));
    book_.onRankTurnedAway(ServerId("b"), 4, start + milliseconds(810));
    EXPECT_TRUE(choose(start + milliseconds(820)));
}

// Guards against a group that is closed because some of its ranks are full.
TEST_F(BackendBookTest, DoesNotTakeFullRanksForAStalledGroup)
{
    for (const std::uint32_t number : {0U, 1U, 2U}) {
        auto rank = server(std::string(1, static_cast<char>('a' + number)));
        rank.group = GroupPlace{.group = GroupId("g"), .epoch = 4, .rank = number, .size = 3, .isOpen = true};
        book_.update(rank, start);
    }
    for (const auto *name : {"a", "b"}) {
        book_.setPeersInFlight(ServerId(name), 20);
        book_.onRankTurnedAway(ServerId(name), 4, start);
    }
    EXPECT_TRUE(choose());
}

// Load pattern "all callers come back": a group whose ranks are all back opens within a second, so that waiting for it
// is shorter than coming back. Guards against taking a group for one that is back while a rank is missing or has
// lapsed.
TEST_F(BackendBookTest, TellsAGroupThatIsForming)
{
    auto rank = server("a");
    rank.group = GroupPlace{.group = GroupId("g"), .epoch = 4, .rank = 0, .size = 2, .isOpen = false};
    auto other = server("b");
    other.group = GroupPlace{.group = GroupId("g"), .epoch = 4, .rank = 1, .size = 2, .isOpen = false};
    book_.update(rank, start);
    EXPECT_FALSE(choose());
    EXPECT_EQ(book_.lastFailure(), BackendBook::NoChoice::GroupBroken);
    book_.update(other, start);
    EXPECT_FALSE(choose());
    EXPECT_EQ(book_.lastFailure(), BackendBook::NoChoice::GroupForming);
    book_.remove(ServerId("b"), start + seconds(5));
    EXPECT_FALSE(choose());
    EXPECT_EQ(book_.lastFailure(), BackendBook::NoChoice::GroupBroken);
    // The lost rank's own entry, which it wrote before it was lost, does not count.
    other.group->isOpen = true;
    book_.update(other, start);
    book_.onRankLost(ServerId("a"), 4, start);
    EXPECT_FALSE(choose());
    EXPECT_EQ(book_.lastFailure(), BackendBook::NoChoice::GroupBroken);
}

// Guards against a group that serves again while its entries, which a silent store cannot tell anew, say that it has
// lost a rank; against many requests for one that does not serve; and against holding on to it once it is lost again.
TEST_F(BackendBookTest, TriesAGroupThatShouldHaveFormed)
{
    for (const std::uint32_t number : {0U, 1U}) {
        auto rank = server(number == 0 ? "a" : "b");
        rank.group = GroupPlace{.group = GroupId("g"), .epoch = 4, .rank = number, .size = 2, .isOpen = false};
        book_.update(rank, start);
    }
    EXPECT_FALSE(choose());
    EXPECT_FALSE(choose(start + milliseconds(1400)));
    auto now = start + milliseconds(1600);
    const auto tried = choose(now);
    ASSERT_TRUE(tried);
    book_.onSent(*tried, now);
    EXPECT_FALSE(choose(now + milliseconds(400)));
    EXPECT_EQ(book_.lastFailure(), BackendBook::NoChoice::GroupForming);
    EXPECT_TRUE(choose(now + milliseconds(600)));
    EXPECT_TRUE(book_.isInClosedGroup(*tried, now));
    EXPECT_TRUE(book_.onProgress(*tried));
    EXPECT_FALSE(book_.onProgress(*tried));
    EXPECT_TRUE(choose(now));
    now += seconds(10);
    book_.onRankLost(*tried, 4, now);
    EXPECT_FALSE(choose(now));
    EXPECT_FALSE(choose(now + milliseconds(2900)));
    EXPECT_TRUE(choose(now + milliseconds(4600)));
}

// Guards against a late rejection of the last epoch that closes the group which has formed since.
TEST_F(BackendBookTest, DoesNotHoldALostRankAgainstTheNextEpoch)
{
    auto rank = server("a");
    rank.group = GroupPlace{.group = GroupId("g"), .epoch = 4, .rank = 0, .size = 1, .isOpen = true};
    book_.update(rank, start);
    book_.onRankLost(ServerId("a"), 4, start);
    rank.group->epoch = 5;
    book_.update(rank, start);
    EXPECT_TRUE(choose());
    book_.onRankLost(ServerId("a"), 4, start + milliseconds(50));
    EXPECT_TRUE(choose());
}

// Load pattern "many entries, one pool": the load that other entries tell keeps requests from piling up on one rank.
TEST_F(BackendBookTest, CountsTheLoadOfOtherEntries)
{
    book_.update(server("a"), start);
    book_.update(server("b"), start);
    book_.setPeersInFlight(ServerId("a"), 3);
    for (int i = 0; i < 3; ++i) {
        const auto chosen = choose();
        ASSERT_EQ(chosen, ServerId("b"));
        book_.onSent(*chosen, start);
    }
    book_.onSent(ServerId("a"), start);
    book_.onSent(ServerId("b"), start);
    book_.onSent(ServerId("a"), start);
    book_.onSent(ServerId("b"), start);
    EXPECT_FALSE(choose());
    EXPECT_EQ(book_.lastFailure(), BackendBook::NoChoice::AllFull);
}

// Load pattern "one server fails what it gets": a server that answers fast with errors must not attract the work.
TEST_F(BackendBookTest, AvoidsServersThatFail)
{
    book_.update(server("good"), start);
    book_.update(server("grey"), start);
    int toGrey = 0;
    for (int i = 0; i < 200; ++i) {
        const auto now = start + milliseconds(10 * i);
        const auto chosen = choose(now);
        ASSERT_TRUE(chosen);
        const bool isGrey = *chosen == ServerId("grey");
        toGrey += isGrey ? 1 : 0;
        book_.onSent(*chosen, now);
        book_.onEnded(*chosen, isGrey ? BackendOutcome::Failed : BackendOutcome::Served, now);
    }
    EXPECT_LT(toGrey, 40);
    EXPECT_GT(toGrey, 0) << "a server that has recovered would never be found";
}

// Guards against a cut-off server that is tried again by every request, and against giving up the last one.
TEST_F(BackendBookTest, AvoidsUnreachableServersUnlessNoneIsLeft)
{
    book_.update(server("a"), start);
    book_.update(server("b"), start);
    book_.onSent(ServerId("a"), start);
    book_.onEnded(ServerId("a"), BackendOutcome::Unreachable, start);
    for (int i = 0; i < 10; ++i) {
        EXPECT_EQ(choose(start + milliseconds(100)), ServerId("b"));
    }
    book_.remove(ServerId("b"), std::nullopt);
    EXPECT_EQ(choose(start + milliseconds(100)), ServerId("a"));
}

// Guards against sending a request again to the server that has just rejected it.
TEST_F(BackendBookTest, ExcludesServersThatWereTried)
{
    book_.update(server("a"), start);
    const std::vector<ServerId> tried = {ServerId("a")};
    EXPECT_FALSE(book_.choose({.service = pool, .dataCentre = here, .excluded = &tried}, start, random_));
    EXPECT_EQ(book_.lastFailure(), BackendBook::NoChoice::AllExcluded);
}

// Guards against a server that leaves just after the store's return being used beyond its leaving: the grace of lapsed
// entries runs from the return (hunt of hsinchu-coop, DRAIN at 2,000 ms).
TEST(LapseWindowTest, EndsWithTheGraceAfterTheReturn)
{
    LapseWindow lapses;
    EXPECT_FALSE(lapses.usableUntil(start));
    lapses.onReachable(false, start);
    lapses.onReachable(true, start + seconds(5));
    EXPECT_EQ(lapses.usableUntil(start + seconds(5)), start + seconds(7));
    EXPECT_EQ(lapses.usableUntil(start + milliseconds(5500)), start + seconds(7));
    EXPECT_FALSE(lapses.usableUntil(start + milliseconds(5700)));
}

// Guards against work for a server beyond the limit that it has named while others take it, and against calling a
// service full whose servers only take so many requests a second.
TEST_F(BackendBookTest, LeavesOutServersWhoseLimitIsUsedUp)
{
    std::set<ServerId> limited = {ServerId("a")};
    BackendBook book({.isRateLimited = [&limited](const Backend &one) { return limited.contains(one.spec.id); }});
    book.update(server("a"), start);
    book.update(server("b"), start);
    EXPECT_EQ(book.choose({.service = pool, .dataCentre = here}, start, random_), ServerId("b"));
    limited.insert(ServerId("b"));
    EXPECT_FALSE(book.choose({.service = pool, .dataCentre = here}, start, random_));
    EXPECT_EQ(book.lastFailure(), BackendBook::NoChoice::RateLimited);
}

} // namespace
} // namespace hornbeamlane
