#include "hornbeamlane_dispatch/hornbeamlane_dispatch.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <map>
#include <queue>
#include <vector>

namespace hornbeamlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint start{std::chrono::hours(1)};
constexpr milliseconds tick{10};
constexpr milliseconds tellInterval{200};
constexpr milliseconds streamTime{1500};
constexpr milliseconds timeOfCaller{8000};
constexpr milliseconds longestWait{300};
constexpr TeamHash teams = 24;

/** Usual load of customer A: requests a second by priority. */
const std::map<std::uint32_t, double> usualLoad{{0, 92}, {1, 121}, {2, 40}};

/** Entries that share servers with a number of places and tell each other their arrivals, without a network. */
class SharedServers final
{
public:
    struct Count
    {
        double came = 0;
        double inTime = 0;
        double late = 0;

        double inTimePart() const
        {
            return came > 0 ? inTime / came : 1;
        }
        double servedPart() const
        {
            return came > 0 ? (inTime + late) / came : 1;
        }
    };

    SharedServers(std::size_t entries, double offered)
        : places(offered)
        , entries_(entries)
    {
        for (auto &entry : entries_) {
            for (int i = 0; i < 20; ++i) {
                entry.admission.onPlaceFreed(streamTime);
            }
        }
    }

    /** Requests a second by priority, the part of the hot team in them, callers that come back beside them. */
    void run(Duration time, const std::map<std::uint32_t, double> &load, double hotTeamLoad = 0)
    {
        for (const auto end = now_ + time; now_ < end; now_ += tick) {
            endStreams();
            exchange();
            for (const auto &[priority, perSecond] : load) {
                arrive(priority, perSecond, [this] { return drawTeam(); });
                arrive(priority, perSecond * hotTeamLoad, [] { return teams; });
            }
            comeBack();
            serve();
        }
    }

    /** Late callers that come within a third of a second, as after the loss of a group. */
    void sendLate(std::uint32_t priority, int count)
    {
        for (int i = 0; i < count; ++i) {
            const auto at = now_ + milliseconds(random_.below(360));
            returns_.push({at, {.priority = priority, .isLate = true, .team = drawTeam()}});
        }
    }

    std::map<std::uint32_t, Count> byPriority;
    std::map<TeamHash, Count> byTeam;
    Count all;
    int rejections = 0;
    int waitedInVain = 0;
    double places;

private:
    struct Waiting
    {
        ArrivalClass arrivals;
        TimePoint until;
    };
    struct Entry
    {
        ArrivalAdmission admission;
        std::vector<ArrivalRate> told;
        /** By urgency. */
        std::multimap<std::uint32_t, Waiting> waiting;
    };
    using Return = std::pair<TimePoint, ArrivalClass>;

    TeamHash drawTeam()
    {
        return 1 + static_cast<TeamHash>(random_.below(teams));
    }

    void arrive(std::uint32_t priority, double perSecond, const std::function<TeamHash()> &team)
    {
        const double expected = perSecond * std::chrono::duration<double>(tick).count();
        const auto whole = std::floor(expected);
        const auto count = whole + (random_.unit() < expected - whole ? 1 : 0);
        for (int i = 0; i < count; ++i) {
            const ArrivalClass arrivals{.priority = priority, .team = team()};
            ++byPriority[priority].came;
            ++byTeam[arrivals.team].came;
            ++all.came;
            decide(arrivals);
        }
    }

    void decide(const ArrivalClass &arrivals)
    {
        auto &entry = entries_[random_.below(entries_.size())];
        entry.admission.onArrival(arrivals, now_);
        const ArrivalAdmission::Places offered{.bound = places, .inFlight = static_cast<double>(ends_.size())};
        const auto time = arrivals.isLate ? timeOfCaller * 2 / 3 : timeOfCaller;
        if (const auto wait = entry.admission.rejectionOf(arrivals, offered.fill(), time, now_, random_)) {
            ++rejections;
            leave(arrivals, *wait);
            return;
        }
        entry.waiting.emplace(arrivals.priority * 2 + (arrivals.isLate ? 1 : 0), Waiting{arrivals, now_ + longestWait});
    }

    /** Callers come back once. */
    void leave(ArrivalClass arrivals, Duration wait)
    {
        if (!std::exchange(arrivals.isLate, true)) {
            returns_.push({now_ + wait, arrivals});
        }
    }

    void comeBack()
    {
        while (!returns_.empty() && returns_.top().first <= now_) {
            const auto arrivals = returns_.top().second;
            returns_.pop();
            decide(arrivals);
        }
    }

    /** A place that becomes free goes to the entry that asks first. */
    void serve()
    {
        const auto first = random_.below(entries_.size());
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            serve(entries_[(first + i) % entries_.size()]);
        }
    }

    void serve(Entry &entry)
    {
        std::erase_if(entry.waiting, [this](const auto &item) {
            const bool isOver = now_ >= item.second.until;
            if (isOver) {
                ++waitedInVain;
                leave(item.second.arrivals, milliseconds(700));
            }
            return isOver;
        });
        while (!entry.waiting.empty() && static_cast<double>(ends_.size()) < places) {
            const auto arrivals = entry.waiting.begin()->second.arrivals;
            entry.waiting.erase(entry.waiting.begin());
            ends_.push(now_ + std::chrono::duration_cast<Duration>(streamTime * (0.5 + random_.unit())));
            for (auto *count : {&byPriority[arrivals.priority], &byTeam[arrivals.team], &all}) {
                ++(arrivals.isLate ? count->late : count->inTime);
            }
        }
    }

    void endStreams()
    {
        while (!ends_.empty() && ends_.top() <= now_) {
            ends_.pop();
        }
    }

    void exchange()
    {
        if (now_ - toldAt_ >= tellInterval) {
            toldAt_ = now_;
            for (auto &entry : entries_) {
                entry.told = entry.admission.ratesToTell(now_);
            }
        }
        for (auto &entry : entries_) {
            if (!entry.admission.isUpdateDue(now_)) {
                continue;
            }
            ArrivalAdmission::Peers peers{.arrivals = {},
                                          .heard = entries_.size() - 1,
                                          .entryCount = static_cast<std::uint32_t>(entries_.size())};
            for (const auto &other : entries_) {
                if (&other != &entry) {
                    peers.arrivals.push_back(&other.told);
                }
            }
            entry.admission.update({.bound = places, .inFlight = static_cast<double>(ends_.size())}, peers, now_);
        }
    }

    RandomSource random_{4711};
    TimePoint now_ = start;
    TimePoint toldAt_;
    std::vector<Entry> entries_;
    std::priority_queue<TimePoint, std::vector<TimePoint>, std::greater<>> ends_;
    std::priority_queue<Return, std::vector<Return>, std::greater<>> returns_;
};

constexpr std::size_t entryCount = 12;
/** Places for 300 streams a second; the usual load is 253. */
constexpr double usualPlaces = 450;

std::map<std::uint32_t, double> loadWith(std::uint32_t priority, double factor)
{
    auto load = usualLoad;
    load[priority] *= factor;
    return load;
}

void expectNobodyStarved(const SharedServers &servers)
{
    for (const auto &[priority, count] : servers.byPriority) {
        EXPECT_GE(count.servedPart(), servers.all.servedPart() / 4) << priority;
    }
    for (const auto &[team, count] : servers.byTeam) {
        EXPECT_GE(count.servedPart(), servers.all.servedPart() / 4) << team;
    }
    EXPECT_GE(servers.byPriority.at(0).servedPart(), servers.byPriority.at(1).servedPart() - 0.05);
}

// Load pattern "usual load": guards against rejections while the capacity suffices.
TEST(ArrivalAdmissionTest, UsualLoadIsNotRejected)
{
    SharedServers servers(entryCount, usualPlaces);
    servers.run(seconds(10), usualLoad);
    EXPECT_EQ(servers.rejections, 0);
    EXPECT_GE(servers.all.inTimePart(), 0.99);
}

// Load pattern "burst of the least urgent kind": guards against a burst that takes the places of more urgent kinds.
TEST(ArrivalAdmissionTest, BurstOfTheLeastUrgentKind)
{
    SharedServers servers(entryCount, usualPlaces);
    servers.run(seconds(2), usualLoad);
    servers.run(seconds(8), loadWith(2, 6));
    EXPECT_GE(servers.byPriority[0].inTimePart(), 0.97);
    EXPECT_GE(servers.byPriority[1].inTimePart(), 0.97);
    EXPECT_GT(servers.rejections, servers.waitedInVain);
    expectNobodyStarved(servers);
}

// Load pattern "burst of the most urgent kind": guards against the starvation of the others.
TEST(ArrivalAdmissionTest, BurstOfTheMostUrgentKind)
{
    SharedServers servers(entryCount, usualPlaces);
    servers.run(seconds(2), usualLoad);
    servers.run(seconds(8), loadWith(0, 5));
    EXPECT_GT(servers.rejections, servers.waitedInVain);
    expectNobodyStarved(servers);
}

// Load pattern "burst of each kind in turn": guards against shares that follow the demand too slowly.
TEST(ArrivalAdmissionTest, BurstOfEachKindInTurn)
{
    SharedServers servers(44, usualPlaces);
    for (const std::uint32_t priority : {0U, 1U, 2U}) {
        servers.run(seconds(3), loadWith(priority, 3));
        servers.run(seconds(2), usualLoad);
    }
    EXPECT_GE(servers.byPriority[0].inTimePart(), 0.9);
    EXPECT_GT(servers.rejections, servers.waitedInVain);
    expectNobodyStarved(servers);
}

// Load pattern "one hot team": guards against a team with six times its usual load that crowds out the others.
TEST(ArrivalAdmissionTest, OneHotTeam)
{
    SharedServers servers(entryCount, usualPlaces);
    const std::map<std::uint32_t, double> load{{1, 253}};
    servers.run(seconds(2), load);
    servers.byTeam.clear();
    // A team with a tenth of the load sends six times as much.
    servers.run(seconds(8), load, 0.6);
    for (const auto &[team, count] : servers.byTeam) {
        if (team != teams) {
            EXPECT_GE(count.inTimePart(), 0.85) << team;
        }
    }
    EXPECT_GE(servers.byTeam[teams].servedPart(), servers.all.servedPart() / 4);
}

// Load pattern "a tenth of the capacity gone for 5 s": guards against a loss that all kinds bear alike.
TEST(ArrivalAdmissionTest, TenthOfTheCapacityGone)
{
    SharedServers servers(entryCount, usualPlaces);
    auto load = usualLoad;
    load[1] *= 1.3;
    servers.run(seconds(3), load);
    servers.places = usualPlaces * 0.9;
    servers.run(seconds(5), load);
    servers.places = usualPlaces;
    servers.run(seconds(3), load);
    EXPECT_GE(servers.byPriority[0].inTimePart(), 0.97);
    EXPECT_GE(servers.byPriority[0].inTimePart(), servers.byPriority[2].inTimePart());
    expectNobodyStarved(servers);
}

// Load pattern "callers that all come back at once": guards against late requests that make all others late.
TEST(ArrivalAdmissionTest, CallersThatAllComeBackAtOnce)
{
    SharedServers servers(entryCount, usualPlaces);
    servers.run(seconds(2), usualLoad);
    servers.sendLate(0, 800);
    servers.run(seconds(5), usualLoad);
    EXPECT_GE(servers.byPriority[0].inTimePart(), 0.97);
    EXPECT_GE(servers.all.inTimePart(), 0.93);
    EXPECT_GT(servers.rejections, servers.waitedInVain);
}

/** One entry whose requests exceed the capacity; 100 a second are served. */
class ShortEntryTest : public testing::Test
{
protected:
    ShortEntryTest()
    {
        for (int i = 0; i < 20; ++i) {
            entry_.onPlaceFreed(seconds(1));
        }
    }

    /** Arrivals for so long, and the shares that follow from them. */
    void arrive(const ArrivalClass &arrivals, double perSecond, seconds time = seconds(4))
    {
        const auto count = static_cast<int>(perSecond * static_cast<double>(time.count()));
        for (int i = 0; i < count; ++i) {
            now_ += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / perSecond));
            entry_.onArrival(arrivals, now_);
        }
    }

    int rejectionsOf100(const ArrivalClass &arrivals, double fill)
    {
        int rejections = 0;
        for (int i = 0; i < 100; ++i) {
            rejections += entry_.rejectionOf(arrivals, fill, timeOfCaller, now_, random_) ? 1 : 0;
        }
        return rejections;
    }

    ArrivalAdmission entry_;
    TimePoint now_ = start;
    RandomSource random_{17};
    const ArrivalClass usual_{.priority = 1, .team = 3};
    const ArrivalAdmission::Places full_{.bound = 100, .inFlight = 100};
};

// Guards against rejections while places are free, whatever the measured rates say.
TEST_F(ShortEntryTest, RejectsNothingWhilePlacesAreFree)
{
    arrive(usual_, 300);
    entry_.update(full_, {}, now_);
    ASSERT_TRUE(entry_.shares().isShort());
    EXPECT_EQ(rejectionsOf100(usual_, 0.8), 0);
    EXPECT_GT(rejectionsOf100(usual_, 1.0), 50);
    EXPECT_EQ(rejectionsOf100(usual_, std::numeric_limits<double>::quiet_NaN()), 0);
}

// Guards against rejections by an entry that has just started and does not know how long places are taken.
TEST_F(ShortEntryTest, RejectsNothingBeforeItKnowsTheCapacity)
{
    entry_ = ArrivalAdmission();
    arrive(usual_, 300);
    entry_.update(full_, {}, now_);
    EXPECT_EQ(rejectionsOf100(usual_, 1.0), 0);
}

// Guards against an entry that hears nobody and takes its own arrivals for those of all.
TEST_F(ShortEntryTest, CountsItselfForTheOthersWithoutPeers)
{
    arrive(usual_, 30);
    entry_.update(full_, {.arrivals = {}, .heard = 0, .entryCount = 10}, now_);
    EXPECT_NEAR(entry_.shares().demandPerSecond(), 300, 60);
    entry_.update(full_, {.arrivals = {}, .heard = 0, .entryCount = 1}, now_);
    EXPECT_FALSE(entry_.shares().isShort());
}

// Guards against entries of an earlier release, whose requests nobody tells.
TEST_F(ShortEntryTest, CountsPeersThatTellNothing)
{
    arrive(usual_, 30);
    const std::vector<ArrivalRate> told{{.arrivals = usual_, .perSecond = 30}};
    entry_.update(full_, {.arrivals = {&told}, .heard = 3, .entryCount = 4}, now_);
    EXPECT_NEAR(entry_.shares().demandPerSecond(), 120, 20);
}

// Guards against a peer with a wrong figure that makes all entries reject nearly everything.
TEST_F(ShortEntryTest, WrongFigureOfAPeerLeavesTheFloors)
{
    arrive(usual_, 120);
    const std::vector<ArrivalRate> sound{{.arrivals = usual_, .perSecond = 100}};
    const std::vector<ArrivalRate> wrong{{.arrivals = {.priority = 0, .team = 9}, .perSecond = 1e9},
                                         {.arrivals = usual_, .perSecond = 1e300}};
    entry_.update(full_, {.arrivals = {&sound, &wrong}, .heard = 2, .entryCount = 3}, now_);
    // The part that is admitted on average if all three entries are like this one.
    const double fair = 95.0 / 360;
    int admitted = 0;
    constexpr int tries = 10;
    for (int i = 0; i < tries; ++i) {
        admitted += 100 - rejectionsOf100(usual_, 1.0);
    }
    EXPECT_GE(admitted, tries * 100 * fair / 4);
    // Once the peer is silent its figures are gone.
    entry_.update(full_, {.arrivals = {&sound}, .heard = 1, .entryCount = 3}, now_);
    EXPECT_GE(entry_.shares().admittedPart(usual_), fair);
}

// Guards against callers that are told a time which they do not wait, or all the same time.
TEST_F(ShortEntryTest, CallersComeBackSpreadOutWithinAThirdOfTheirTime)
{
    arrive(usual_, 300);
    entry_.update(full_, {}, now_);
    std::vector<Duration> times;
    while (times.size() < 200) {
        if (const auto time = entry_.rejectionOf(usual_, 1.0, timeOfCaller, now_, random_)) {
            times.push_back(*time);
        }
    }
    const auto [shortest, longest] = std::minmax_element(times.begin(), times.end());
    EXPECT_GE(*shortest, milliseconds(1900));
    EXPECT_LE(*longest, Duration(timeOfCaller) / 3);
    EXPECT_GE(*longest - *shortest, milliseconds(400));
    const auto hasty = entry_.rejectionOf(usual_, 1.0, milliseconds(150), now_, random_);
    EXPECT_LE(hasty.value_or(Duration::zero()), milliseconds(50));
}

// Guards against callers that are told to come back later than there is room for them.
TEST_F(ShortEntryTest, CallersComeBackAsRoomIsExpected)
{
    // 70 of 95 starts a second are used, 25 are left for 60 late requests.
    arrive(usual_, 70);
    const auto lateOne = ArrivalClass{.priority = 0, .isLate = true, .team = 3};
    const std::vector<ArrivalRate> told{{.arrivals = lateOne, .perSecond = 20}};
    entry_.update(full_, {.arrivals = {&told, &told, &told}, .heard = 3, .entryCount = 4}, now_);
    ASSERT_TRUE(entry_.shares().isShort());
    EXPECT_EQ(rejectionsOf100(usual_, 1.0), 0);
    const auto firstTurn = entry_.rejectionOf(lateOne, 1.0, timeOfCaller, now_, random_);
    EXPECT_LE(firstTurn.value_or(Duration::zero()), milliseconds(500));
    EXPECT_GT(rejectionsOf100(lateOne, 1.0), 30);
    std::optional<Duration> lastTurn;
    while (!lastTurn) {
        lastTurn = entry_.rejectionOf(lateOne, 1.0, timeOfCaller, now_, random_);
    }
    EXPECT_GE(*lastTurn, milliseconds(1900));
}

// Guards against a burst of teams that grows what an entry keeps or tells.
TEST(ArrivalMeterTest, BoundsWhatItTells)
{
    ArrivalMeter meter;
    for (TeamHash team = 1; team <= 5000; ++team) {
        meter.count({.priority = 70000 + team, .team = team}, start);
    }
    meter.count({.priority = 2, .team = 1}, start);
    EXPECT_LE(meter.rates(start).size(), 1026U);
    const auto told = meter.ratesToTell(start);
    EXPECT_LE(told.size(), 27U);
    double sum = 0;
    for (const auto &rate : told) {
        EXPECT_LE(rate.arrivals.priority, leastUrgentPriority);
        sum += rate.perSecond;
    }
    EXPECT_NEAR(sum, 5001, 1);
    EXPECT_TRUE(meter.ratesToTell(start + seconds(20)).empty());
}

// Load pattern "callers with little time among others": guards against a caller whose time is too short for a turn and
// who takes back the turns that were given to others, so that all of these come back at once.
TEST(ArrivalAdmissionTest, KeepsTheTurnsOfOthersWhenACallerHasLittleTime)
{
    constexpr double places = 40;
    RandomSource random(3);
    ArrivalAdmission admission;
    for (int i = 0; i < 20; ++i) {
        admission.onPlaceFreed(streamTime);
    }
    const ArrivalClass inTime{.priority = 0};
    const ArrivalClass late{.priority = 0, .isLate = true};
    auto now = start;
    for (int i = 0; i < 300; ++i) {
        now += milliseconds(10);
        // A half of the capacity is left for late ones, of which twice as many come.
        if (i % 8 == 0) {
            admission.onArrival(inTime, now);
        }
        if (i % 4 == 0) {
            admission.onArrival(late, now);
        }
        admission.update({.bound = places, .inFlight = places}, {.heard = 0, .entryCount = 1}, now);
    }
    ASSERT_TRUE(admission.shares().isShort());
    const auto draw = [&](milliseconds timeLeft) {
        std::optional<Duration> retryAfter;
        while (!retryAfter) {
            retryAfter = admission.rejectionOf(late, 1.0, timeLeft, now, random);
        }
        return *retryAfter;
    };
    Duration last{};
    for (int i = 0; i < 20; ++i) {
        last = draw(timeOfCaller);
    }
    draw(milliseconds(900));
    EXPECT_GT(draw(timeOfCaller), last / 2);
}

} // namespace
} // namespace hornbeamlane
