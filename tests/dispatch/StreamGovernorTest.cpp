#include "hornbeamlane_dispatch/hornbeamlane_dispatch.h"

#include <gtest/gtest.h>

#include <cmath>

namespace hornbeamlane {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint start{seconds(50)};

/** Engines whose passes take a time of their own and more for each request, under a governor that is never idle. */
class Pool
{
public:
    struct Options
    {
        std::uint32_t places = 192;
        milliseconds target{120};
        /** A pass without requests, and for each request. */
        Duration alone = milliseconds(30);
        Duration perRequest = microseconds(600);
        /** Passes vary by this part, up or down. */
        double spread = 0;
        /** Streams of which this entry sees the pauses. */
        int seenStreams = 20;
    };

    explicit Pool(Options options)
        : options_(options)
    {
    }

    Duration pass() const
    {
        return options_.alone + options_.perRequest * inFlight_;
    }

    std::uint32_t inFlight() const
    {
        return inFlight_;
    }

    void set(Duration alone, Duration perRequest)
    {
        options_.alone = alone;
        options_.perRequest = perRequest;
    }

    /** Requests that callers ask for; the governor lets them in up to its bound. */
    void setDemand(std::uint32_t demand)
    {
        demand_ = demand;
    }

    void run(StreamGovernor &governor, Duration time)
    {
        const auto end = now_ + time;
        while (now_ < end) {
            inFlight_ = std::min(demand_, governor.limit(options_.places));
            governor.setLoad(inFlight_, options_.places);
            const double factor = 1 + options_.spread * (2 * random_.unit() - 1);
            const auto pause = std::chrono::duration_cast<Duration>(pass() * factor);
            now_ += pause;
            passes_ += 1;
            latePasses_ += pause > options_.target ? 1 : 0;
            for (int stream = 0; stream < options_.seenStreams; ++stream) {
                governor.onPause(pause, options_.target, now_);
            }
            governor.update(now_);
        }
    }

    /** Share of passes that were too long since the last call. */
    double takeLateShare()
    {
        const double share = passes_ > 0 ? latePasses_ / passes_ : 0;
        passes_ = 0;
        latePasses_ = 0;
        return share;
    }

    std::uint32_t limitOf(const StreamGovernor &governor) const
    {
        return governor.limit(options_.places);
    }

private:
    Options options_;
    RandomSource random_{5};
    TimePoint now_ = start;
    std::uint32_t inFlight_ = 0;
    std::uint32_t demand_ = 100000;
    double passes_ = 0;
    double latePasses_ = 0;
};

// Load pattern "pool just over its capacity": without a bound every stream pauses too long. The bound settles where
// the pauses stay below their target.
TEST(StreamGovernorTest, FindsTheConcurrencyThatKeepsPausesShort)
{
    // 150 requests reach the target.
    Pool pool({});
    StreamGovernor governor;
    pool.run(governor, seconds(30));
    EXPECT_LT(pool.pass(), milliseconds(120));
    EXPECT_GT(pool.inFlight(), 100U);
}

// Load pattern "pauses just over their target": passes vary by a seventh. Each pass in ten over the target makes six
// streams of seven late; a bound on single pauses takes that for good enough.
TEST(StreamGovernorTest, KeepsWholeStreamsInTimeWherePassesVary)
{
    Pool pool({.spread = 0.15});
    StreamGovernor governor;
    pool.run(governor, seconds(10));
    pool.takeLateShare();
    pool.run(governor, seconds(30));
    const double inTime = std::pow(1 - pool.takeLateShare(), 18);
    EXPECT_GT(inTime, 0.75);
    EXPECT_GT(pool.inFlight(), 90U);
}

// Load pattern "all callers come back to a group that has formed again": its experts are placed anew, without regard to
// demand, so a pass takes three times as long as before. A bound from before the break lets twice as many streams in as
// the group can keep pace with, and all of them are late.
TEST(StreamGovernorTest, StartsLowAfterARestart)
{
    constexpr std::uint32_t places = 192;
    Pool pool({.alone = milliseconds(50), .perRequest = Duration::zero(), .seenStreams = 10});
    StreamGovernor governor;
    EXPECT_GT(governor.limit(places), places);
    governor.restart(StreamGovernor::RestartCause::NewEngines);
    // 90 ms and 0.3 ms more for each request: 100 requests reach the target.
    EXPECT_LT(milliseconds(90) + microseconds(300) * governor.limit(places), milliseconds(120));
    // Short pauses raise it again within seconds.
    pool.run(governor, milliseconds(6240));
    EXPECT_GT(governor.limit(places), places);
    // A bound that is lower already stays.
    pool.set(milliseconds(50), milliseconds(1));
    pool.run(governor, seconds(10));
    const auto low = governor.limit(places);
    governor.restart(StreamGovernor::RestartCause::NewEngines);
    EXPECT_EQ(governor.limit(places), std::min(low, static_cast<std::uint32_t>(0.45 * places)));
}

// Load pattern "all callers come back to a group that has formed again": the bound starts low, and while it grows by a
// twentieth a window, a third of the returning callers are refused a second time by a pool with room.
TEST(StreamGovernorTest, RegainsItsPaceWithinTwoSecondsOfARestart)
{
    // 150 requests leave an eighth of the target.
    Pool pool({.alone = milliseconds(35), .perRequest = microseconds(450)});
    StreamGovernor governor;
    governor.restart(StreamGovernor::RestartCause::NewEngines);
    ASSERT_LT(pool.limitOf(governor), 100U);
    pool.run(governor, seconds(2));
    EXPECT_GE(pool.limitOf(governor), 140U);
    EXPECT_EQ(pool.takeLateShare(), 0);
}

// Load pattern "some entries are restarted while the others go on": without the others' bound a restarted entry refuses
// its callers although the pool, which the others fill beyond a new entry's bound, has room.
TEST(StreamGovernorTest, StartsFromTheBoundOfTheOtherEntries)
{
    constexpr std::uint32_t places = 200;
    StreamGovernor governor;
    governor.restart(StreamGovernor::RestartCause::FirstSight);
    EXPECT_EQ(governor.measuredShare(), std::nullopt);
    governor.onPeerShare(std::nullopt);
    EXPECT_EQ(governor.limit(places), 90U);
    governor.onPeerShare(0.8);
    EXPECT_EQ(governor.limit(places), 160U);
    EXPECT_EQ(governor.measuredShare(), std::nullopt);
    // Engines that have started anew are unknown to all, and what is told is of those before.
    governor.restart(StreamGovernor::RestartCause::NewEngines);
    governor.onPeerShare(0.8);
    EXPECT_EQ(governor.limit(places), 90U);
}

// Guards against entries of which one refuses what another admits, because each sees other pauses.
TEST(StreamGovernorTest, IsDrawnToTheBoundOfTheOtherEntries)
{
    Pool pool({.alone = milliseconds(20), .perRequest = microseconds(500)});
    StreamGovernor governor;
    pool.run(governor, seconds(1));
    ASSERT_TRUE(governor.measuredShare());
    const double own = *governor.measuredShare();
    governor.onPeerShare(0.5);
    EXPECT_LT(*governor.measuredShare(), own);
    EXPECT_GT(*governor.measuredShare(), 0.5);
}

// Guards against a bound that stays low after the overload is over.
TEST(StreamGovernorTest, GrowsAgainWhenPausesAreShort)
{
    Pool pool({.places = 100, .alone = Duration::zero(), .perRequest = milliseconds(3), .seenStreams = 10});
    StreamGovernor governor;
    pool.run(governor, seconds(6));
    EXPECT_LT(pool.limitOf(governor), 50U);
    pool.set(milliseconds(20), Duration::zero());
    pool.run(governor, seconds(8));
    EXPECT_GT(pool.limitOf(governor), 100U);
}

// Load pattern "one rank in twelve is twelve times slower": each pass takes three times the target with a single
// request, and a bound that shrinks until the pauses are short refuses two of three callers although places are free.
TEST(StreamGovernorTest, KeepsAllPlacesWhereNoBoundMakesPausesShort)
{
    constexpr std::uint32_t places = 144;
    Pool pool({.places = places, .alone = milliseconds(35), .perRequest = microseconds(450), .seenStreams = 10});
    StreamGovernor governor;
    pool.run(governor, seconds(9));
    const auto usual = governor.limit(places);
    EXPECT_FALSE(governor.isTargetOutOfReach());
    pool.set(milliseconds(400), microseconds(900));
    pool.run(governor, seconds(9));
    EXPECT_TRUE(governor.isTargetOutOfReach());
    EXPECT_GE(governor.limit(places), std::min(usual, places));
    // The rank is normal again, and the pauses count again.
    pool.set(milliseconds(35), microseconds(900));
    pool.run(governor, seconds(18));
    EXPECT_FALSE(governor.isTargetOutOfReach());
    EXPECT_NEAR(governor.limit(places), 86, 12);
}

// Guards against a crowd that is taken for slow engines: twice the usual load is brought back to short pauses.
TEST(StreamGovernorTest, ShrinksWhereALowerBoundMakesPausesShort)
{
    Pool pool({.places = 100, .alone = milliseconds(20), .perRequest = microseconds(2200), .seenStreams = 10});
    StreamGovernor governor;
    pool.run(governor, seconds(12));
    EXPECT_FALSE(governor.isTargetOutOfReach());
    EXPECT_LE(pool.limitOf(governor), 46U);
}

// Load pattern "a group slows down": within a second the bound is where its streams are in time again.
TEST(StreamGovernorTest, ReactsWithinASecondToEnginesThatSlow)
{
    Pool pool({.alone = milliseconds(20), .perRequest = microseconds(450)});
    StreamGovernor governor;
    pool.run(governor, seconds(10));
    ASSERT_GT(pool.pass(), milliseconds(90));
    pool.set(milliseconds(20), microseconds(675));
    pool.run(governor, seconds(1));
    pool.takeLateShare();
    pool.run(governor, seconds(1));
    EXPECT_LT(pool.takeLateShare(), 0.1);
}

// Load pattern "few streams": an entry that sees one stream of a group knows as much of its pace as one that sees all.
TEST(StreamGovernorTest, GoesByFewStreams)
{
    Pool pool({.seenStreams = 1});
    StreamGovernor governor;
    pool.run(governor, seconds(30));
    EXPECT_LT(pool.pass(), milliseconds(120));
    EXPECT_GT(pool.inFlight(), 90U);
}

// Guards against a bound that follows a quiet moment: with a few requests only, it must not fall to their number.
TEST(StreamGovernorTest, KeepsItsBoundWhileFewCome)
{
    Pool pool({});
    StreamGovernor governor;
    pool.setDemand(20);
    pool.run(governor, seconds(5));
    EXPECT_GT(pool.limitOf(governor), 100U);
}

// Guards against a process that ends or a bound that is lost because of figures that are no figures.
TEST(StreamGovernorTest, IgnoresPausesThatAreNone)
{
    StreamGovernor governor;
    governor.setLoad(10, 0);
    governor.onPause(milliseconds(-5), milliseconds(120), start);
    governor.onPause(milliseconds(5), milliseconds(0), start);
    for (int i = 0; i < 40; ++i) {
        governor.onPause(Duration::zero(), milliseconds(120), start + milliseconds(10 * i));
    }
    governor.update(start + seconds(1));
    EXPECT_TRUE(std::isfinite(governor.measuredShare().value_or(1)));
    EXPECT_EQ(governor.limit(0), 0U);
}

/** Groups behind one book, each with requests up to its bound. */
struct Groups
{
    PaceBook book;
    std::vector<Duration> perRequest;
    TimePoint now = start;

    static PaceUnitId name(std::size_t index)
    {
        return paceUnitOf(GroupId("g" + std::to_string(index)));
    }

    void run(Duration time, std::uint32_t places)
    {
        for (const auto end = now + time; now < end; now += milliseconds(20)) {
            for (std::size_t i = 0; i < perRequest.size(); ++i) {
                const auto inFlight = std::min(book.limitOf(name(i), places).value_or(places), places);
                book.update(name(i), {.places = places, .inFlight = inFlight}, now);
                book.onPause(name(i), milliseconds(20) + perRequest[i] * inFlight, milliseconds(150), now);
            }
        }
    }
};

// Load pattern "one of several groups is slow, slows, is lost and comes back": the bounds of the others stay as they
// are.
TEST(PaceBookTest, KeepsTheBoundsOfGroupsApart)
{
    constexpr std::uint32_t places = 240;
    for (const std::size_t groups : {1U, 2U, 3U, 10U}) {
        Groups pool;
        pool.perRequest.assign(groups, microseconds(500));
        pool.run(seconds(5), places);
        const auto usual = pool.book.limitOf(Groups::name(0), places);
        pool.perRequest.back() = microseconds(1200);
        pool.run(seconds(2), places);
        EXPECT_LT(pool.book.limitOf(Groups::name(groups - 1), places), 125U);
        pool.book.restart(Groups::name(groups - 1), StreamGovernor::RestartCause::NewEngines);
        pool.perRequest.back() = microseconds(500);
        pool.run(seconds(3), places);
        EXPECT_GT(pool.book.limitOf(Groups::name(groups - 1), places), 200U);
        if (groups > 1) {
            EXPECT_EQ(pool.book.limitOf(Groups::name(0), places), usual);
        }
    }
}

// Load pattern "two of three groups are lost at once and come back together": each starts low and regains its bound by
// its own pauses, and the third, to which all callers went meanwhile, keeps its own.
TEST(PaceBookTest, KeepsTheThirdGroupWhenTwoAreLost)
{
    constexpr std::uint32_t places = 240;
    Groups pool;
    pool.perRequest.assign(3, microseconds(500));
    pool.run(seconds(5), places);
    const auto usual = pool.book.limitOf(Groups::name(2), places);
    for (const std::size_t lost : {0U, 1U}) {
        pool.book.restart(Groups::name(lost), StreamGovernor::RestartCause::NewEngines);
        EXPECT_LT(pool.book.limitOf(Groups::name(lost), places), 125U);
    }
    // One of the two is slower than before.
    pool.perRequest[1] = microseconds(1000);
    pool.run(seconds(3), places);
    EXPECT_EQ(pool.book.limitOf(Groups::name(2), places), usual);
    EXPECT_GT(pool.book.limitOf(Groups::name(0), places), 200U);
    // 130 requests reach the target there.
    EXPECT_LT(pool.book.limitOf(Groups::name(1), places), 131U);
}

// Guards against a unit that is remembered for ever, and against one that is forgotten while it is used.
TEST(PaceBookTest, ForgetsUnitsThatAreGone)
{
    PaceBook book;
    const auto unit = paceUnitOf(ServerId("s"));
    book.update(unit, {.places = 4, .inFlight = 1}, start);
    book.sweep(start + seconds(30));
    EXPECT_TRUE(book.limitOf(unit, 4));
    book.sweep(start + seconds(90));
    EXPECT_FALSE(book.limitOf(unit, 4));
}

// Guards against a division by a unit without places, and against a group and a server of one name taken for one.
TEST(PaceBookTest, BearsUnitsWithoutPlaces)
{
    PaceBook book;
    EXPECT_EQ(book.fillOf(paceUnitOf(GroupId("g")), {}), 0);
    EXPECT_NE(paceUnitOf(GroupId("g")), paceUnitOf(ServerId("g")));
}

// Guards against a unit of one or two places whose bound is rounded to nothing: it would get no stream, so no pause
// would raise its bound again.
TEST(PaceBookTest, LeavesAPlaceAtUnitsWithFewOfThem)
{
    for (const std::uint32_t places : {1U, 2U, 3U}) {
        PaceBook book;
        const auto unit = paceUnitOf(GroupId("g"));
        book.restart(unit, StreamGovernor::RestartCause::FirstSight);
        EXPECT_GE(book.limitOf(unit, places), 1U) << places;
        EXPECT_LT(book.fillOf(unit, {.places = places}), 1.0) << places;
    }
}

// Load pattern "few requests, all in time": guards against a target that counts as out of reach because a forecast for
// many requests from the pauses of a few is far off.
TEST(StreamGovernorTest, KeepsATargetInReachWhileFewRequestsAreInTime)
{
    StreamGovernor governor;
    auto now = start;
    for (int i = 0; i < 40; ++i) {
        now += milliseconds(50);
        governor.setLoad(10, 192);
        governor.onPause(milliseconds(36), milliseconds(120), now);
        governor.update(now);
    }
    ASSERT_TRUE(governor.measuredShare());
    EXPECT_GT(governor.inTimeShare(), 0.9);
    EXPECT_FALSE(governor.isTargetOutOfReach());
}

// Failure "a rank twelve times slower that recovers": streams go elsewhere meanwhile. Guards against a unit that is
// avoided for good because nothing is seen of it any more.
TEST(StreamGovernorTest, TriesAUnitAgainThatNothingIsSeenOf)
{
    StreamGovernor governor;
    auto now = start;
    for (int i = 0; i < 40; ++i) {
        now += milliseconds(50);
        governor.setLoad(60, 192);
        governor.onPause(milliseconds(1000), milliseconds(120), now);
        governor.update(now);
    }
    ASSERT_TRUE(governor.isTargetOutOfReach());
    now += seconds(3);
    governor.setLoad(0, 192);
    governor.update(now);
    EXPECT_FALSE(governor.isTargetOutOfReach());
    EXPECT_FALSE(governor.measuredShare());
}

} // namespace
} // namespace hornbeamlane
