#include "hornbeamlane_dispatch/hornbeamlane_dispatch.h"

#include <gtest/gtest.h>

#include <cmath>
#include <deque>
#include <limits>
#include <string>
#include <vector>

namespace hornbeamlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId pool{"pool"};
const TimePoint start{seconds(100)};

/** A server that works on up to `well` requests at once at its speed; more share that. */
struct Model
{
    double speed = 1;
    double well = 10;
    std::uint32_t slots = 10;
};

struct Load
{
    std::vector<Model> servers;
    std::size_t entries = 1;
    double requestsPerSecond = 100;
    milliseconds work{60};
    seconds time{20};
    bool learns = true;
    /** Whether entries tell each other latencies. */
    bool tells = true;
    /** Changes the servers after that time. */
    seconds changesAfter{1000};
    std::vector<Model> serversAfter;
};

struct Result
{
    /** Of the second half of the time. */
    std::vector<int> served;
    double meanLatency = 0;
    int leftOver = 0;
    /** What the first entry has learned; the limits as means over that time, as each is tried lower now and then. */
    std::vector<double> takesWell;
    std::vector<Duration> extra;
};

class Pool final
{
public:
    explicit Pool(Load load)
        : load_(std::move(load))
        , limits_(load_.entries)
    {
        std::vector<ServerLimits::KnownServer> known;
        for (std::size_t i = 0; i < load_.servers.size(); ++i) {
            known.push_back({.start = hashOfStart(id(i), 0), .id = id(i), .service = pool, .slots = slots(i)});
        }
        for (std::size_t entry = 0; entry < load_.entries; ++entry) {
            limits_[entry].retainOnly(known);
            books_.emplace_back(
                BackendBook::Options{.unseenRequests = [this](const auto &) { return unseen(); },
                                     .findingOf = [this, entry](const Backend &backend) -> const ServerFinding * {
                                         return load_.learns ? limits_[entry].find(backend.start) : nullptr;
                                     }});
            for (std::size_t i = 0; i < load_.servers.size(); ++i) {
                books_.back().update({.id = id(i), .service = pool, .slots = slots(i)}, start);
            }
        }
    }

    Result run()
    {
        const auto servers = load_.servers.size();
        Result result{.served = std::vector<int>(servers), .takesWell = std::vector<double>(servers), .extra = {}};
        int answers = 0;
        int ticks = 0;
        const auto end = start + load_.time;
        for (now_ = start; now_ < end; now_ += tick) {
            if (now_ == start + load_.changesAfter) {
                load_.servers = load_.serversAfter;
            }
            const bool counts = now_ > start + load_.time / 2;
            for (const auto &[server, latency] : work()) {
                result.served[server] += counts ? 1 : 0;
                answers += counts ? 1 : 0;
                result.meanLatency += counts ? std::chrono::duration<double>(latency).count() : 0;
            }
            ticks += counts ? 1 : 0;
            for (std::size_t i = 0; counts && i < servers; ++i) {
                const auto *finding = limits_.front().find(hashOfStart(id(i), 0));
                result.takesWell[i] += finding == nullptr ? slots(i) : finding->takesWell;
            }
            tell();
            const double perTick = load_.requestsPerSecond * std::chrono::duration<double>(tick).count();
            for (double left = perTick; random_.unit() < left; left -= 1) {
                const auto entry = random_.below(load_.entries);
                if (!send(entry)) {
                    result.leftOver += counts ? 1 : 0;
                }
            }
        }
        result.meanLatency /= std::max(answers, 1);
        for (std::size_t i = 0; i < servers; ++i) {
            const auto *finding = limits_.front().find(hashOfStart(id(i), 0));
            result.takesWell[i] /= ticks;
            result.extra.push_back(finding == nullptr ? Duration::zero() : finding->extraLatency);
        }
        return result;
    }

private:
    struct Running
    {
        std::size_t entry;
        std::size_t server;
        TimePoint sentAt;
        /** Seconds at full speed. */
        double left;
        std::uint32_t inFlightThen;
    };

    static ServerId id(std::size_t server)
    {
        return ServerId(std::to_string(server));
    }

    std::uint32_t slots(std::size_t server) const
    {
        return load_.servers[server].slots;
    }

    std::vector<std::pair<std::size_t, Duration>> work()
    {
        std::vector<std::uint32_t> active(load_.servers.size());
        for (const auto &one : running_) {
            ++active[one.server];
        }
        std::vector<std::uint32_t> taken(load_.servers.size());
        std::vector<std::pair<std::size_t, Duration>> done;
        for (auto &one : running_) {
            const auto &model = load_.servers[one.server];
            if (++taken[one.server] <= model.slots) {
                const double together = std::min(active[one.server], model.slots);
                one.left -=
                    std::chrono::duration<double>(tick).count() * model.speed * std::min(1.0, model.well / together);
            }
        }
        std::erase_if(running_, [&](const Running &one) {
            if (one.left > 0) {
                return false;
            }
            auto &book = books_[one.entry];
            const double inFlight = (one.inFlightThen + book.find(id(one.server))->inFlight()) / 2.0;
            limits_[one.entry].onAnswered(hashOfStart(id(one.server), 0), now_ - one.sentAt, inFlight, now_);
            book.onEnded(id(one.server), BackendOutcome::Served, now_);
            done.emplace_back(one.server, now_ - one.sentAt);
            return true;
        });
        return done;
    }

    /** Requests of all entries between two times at which they hear of each other. */
    double unseen() const
    {
        return load_.entries == 1 ? 0 : load_.requestsPerSecond * std::chrono::duration<double>(hearing).count();
    }

    /** Each entry hears of the others' requests and tells its latencies every 40 ms, one after the other. */
    void tell()
    {
        const auto turns = static_cast<std::size_t>(hearing / tick);
        for (std::size_t entry = (now_ - start) / tick % turns; entry < load_.entries; entry += turns) {
            const auto reports = limits_[entry].takeReports(32);
            for (std::size_t server = 0; server < load_.servers.size(); ++server) {
                std::uint32_t others = 0;
                for (const auto &one : running_) {
                    others += one.server == server && one.entry != entry ? 1 : 0;
                }
                books_[entry].setPeersInFlight(id(server), others);
            }
            for (std::size_t other = 0; load_.tells && other < load_.entries; ++other) {
                if (other != entry) {
                    limits_[other].onPeerReports(reports, now_);
                }
            }
        }
    }

    bool send(std::size_t entry)
    {
        auto &book = books_[entry];
        const auto server = book.choose({.service = pool, .latencyTarget = milliseconds(300)}, now_, random_);
        if (!server) {
            return false;
        }
        book.onSent(*server, now_);
        const double varied = std::chrono::duration<double>(load_.work).count() * (0.6 + 0.8 * random_.unit());
        running_.push_back({.entry = entry,
                            .server = std::stoul(server->name()),
                            .sentAt = now_,
                            .left = varied,
                            .inFlightThen = book.find(*server)->inFlight()});
        return true;
    }

    static constexpr milliseconds tick{5};
    static constexpr milliseconds hearing{40};
    Load load_;
    std::vector<ServerLimits> limits_;
    std::vector<BackendBook> books_;
    std::vector<Running> running_;
    RandomSource random_{5};
    TimePoint now_;
};

Result play(const Load &load)
{
    return Pool(load).run();
}

// Load pattern "all alike": guards against a limit or a preference that noise alone brings about.
TEST(ServerLimitsTest, AllAlike)
{
    constexpr double fairShare = 500.0 * 10 / 6;
    const auto result = play({.servers = std::vector<Model>(6), .requestsPerSecond = 500});
    for (std::size_t i = 0; i < result.served.size(); ++i) {
        EXPECT_GE(result.takesWell[i], 9.9) << i;
        EXPECT_EQ(result.extra[i], Duration::zero()) << i;
        EXPECT_NEAR(result.served[i], fairShare, fairShare * 0.15) << i;
    }
    EXPECT_EQ(result.leftOver, 0);
}

// Load pattern "one server twice as slow": guards against work for it that the others would do in half the time, and
// against leaving it out while the others are full.
TEST(ServerLimitsTest, OneServerTwiceAsSlow)
{
    Load load{.servers = std::vector<Model>(4), .requestsPerSecond = 300};
    load.servers[0].speed = 0.5;
    const auto learned = play(load);
    load.learns = false;
    const auto stated = play(load);
    EXPECT_LT(learned.meanLatency, stated.meanLatency * 0.98);
    EXPECT_LT(learned.served[0], stated.served[0]);
    EXPECT_GE(learned.takesWell[0], 7.0);
    // Four servers at 10 requests of 60 ms each and one at half of that: 583 a second.
    load.learns = true;
    load.requestsPerSecond = 560;
    const auto full = play(load);
    EXPECT_GT(full.served[0], full.served[1] * 0.4);
    EXPECT_LT(full.served[0], full.served[1] * 0.65);
}

// Load pattern "slows down at half of its slots": guards against filling it as if it took them all.
TEST(ServerLimitsTest, OneServerSlowsDownAtHalfOfItsSlots)
{
    Load load{.servers = std::vector<Model>(4), .requestsPerSecond = 540};
    load.servers[0].well = 5;
    const auto learned = play(load);
    load.learns = false;
    const auto stated = play(load);
    EXPECT_GE(learned.takesWell[0], 3.0);
    EXPECT_LE(learned.takesWell[0], 8.0);
    EXPECT_LT(learned.meanLatency, stated.meanLatency * 0.95);
    EXPECT_LE(learned.leftOver, stated.leftOver + 540 * 10 / 100);
    for (std::size_t i = 1; i < 4; ++i) {
        EXPECT_GE(learned.takesWell[i], 9.0) << i;
    }
}

// Load pattern "one that recovers": guards against a limit that outlives its cause.
TEST(ServerLimitsTest, OneServerThatRecovers)
{
    Load load{.servers = std::vector<Model>(4), .requestsPerSecond = 540, .time = seconds(40)};
    load.servers[0].well = 3;
    load.changesAfter = seconds(20);
    load.serversAfter = std::vector<Model>(4);
    const auto result = play(load);
    EXPECT_GE(result.takesWell[0], 9.0);
    EXPECT_GT(result.served[0], result.served[1] * 0.8);
}

// Guards against limits that fall to one, and the service's capacity with them, when requests become longer.
TEST(ServerLimitsTest, AllAlikeAndSuddenlySlower)
{
    Load load{.servers = std::vector<Model>(4), .requestsPerSecond = 300, .time = seconds(30)};
    load.changesAfter = seconds(10);
    load.serversAfter = std::vector<Model>(4, Model{.speed = 0.5});
    const auto learned = play(load);
    load.learns = false;
    const auto stated = play(load);
    EXPECT_LE(learned.leftOver, stated.leftOver + 300 * 15 / 100);
}

// Load pattern "few samples": guards against a decision that a handful of answers cannot carry.
TEST(ServerLimitsTest, FewSamples)
{
    ServerLimits limits;
    limits.retainOnly({{.start = 1, .id = ServerId("a"), .service = pool, .slots = 6},
                       {.start = 2, .id = ServerId("b"), .service = pool, .slots = 6}});
    for (int i = 0; i < 3; ++i) {
        limits.onAnswered(1, milliseconds(60), 1, start + milliseconds(i * 60));
        limits.onAnswered(2, milliseconds(600), 5, start + milliseconds(i * 60));
    }
    limits.advance(start + seconds(1));
    EXPECT_EQ(limits.findingCount(), 0U);
}

// Load pattern "44 entries": each sees too few answers alone, all together see enough.
TEST(ServerLimitsTest, FortyFourEntriesTellEachOther)
{
    Load load{.servers = std::vector<Model>(6, Model{.well = 6, .slots = 6}), .entries = 44};
    load.requestsPerSecond = 420;
    load.servers[0].well = 2;
    const auto together = play(load);
    load.tells = false;
    const auto alone = play(load);
    EXPECT_LE(together.takesWell[0], 4.5);
    EXPECT_LT(together.meanLatency, alone.meanLatency);
    EXPECT_LE(together.leftOver, alone.leftOver + 420 * 10 / 100);
}

// Guards against a server that has been given up: what is known of it fades, and it is tried again.
TEST(ServerLimitsTest, ForgetsASlowServerThatGetsNothing)
{
    ServerLimits limits;
    limits.retainOnly({{.start = 1, .id = ServerId("a"), .service = pool, .slots = 6},
                       {.start = 2, .id = ServerId("b"), .service = pool, .slots = 6}});
    TimePoint now = start;
    for (int i = 0; i < 50; ++i, now += milliseconds(60)) {
        limits.onAnswered(1, milliseconds(60), 1, now);
        limits.onAnswered(2, milliseconds(600), 1, now);
    }
    ASSERT_NE(limits.find(2), nullptr);
    EXPECT_GT(limits.find(2)->extraLatency, milliseconds(400));
    EXPECT_EQ(limits.find(1), nullptr);
    limits.advance(now + seconds(60));
    EXPECT_EQ(limits.find(2), nullptr);
}

// Guards against a server that stalls and looks as fast as its few answers, and against one that is blamed for a
// request that came late to it.
TEST(ServerLimitsTest, CountsATimeoutOnlyIfItWasLongForTheServer)
{
    ServerLimits limits;
    limits.retainOnly({{.start = 1, .id = ServerId("a"), .service = pool, .slots = 6}});
    limits.onTimedOut(1, seconds(3), 1, start);
    EXPECT_TRUE(limits.takeReports(8).empty());
    for (int i = 0; i < 20; ++i) {
        limits.onAnswered(1, milliseconds(60), 1, start + milliseconds(i));
    }
    limits.takeReports(8);
    limits.onTimedOut(1, milliseconds(20), 1, start + milliseconds(30));
    EXPECT_TRUE(limits.takeReports(8).empty());
    limits.onTimedOut(1, seconds(3), 1, start + milliseconds(40));
    ASSERT_EQ(limits.takeReports(8).size(), 1U);
}

// Guards against figures of a server or a peer that cannot be: nothing is learned from them and nothing ends.
TEST(ServerLimitsTest, IgnoresFiguresThatCannotBe)
{
    ServerLimits limits;
    limits.retainOnly({{.start = 1, .id = ServerId("a"), .service = pool, .slots = 0},
                       {.start = 2, .id = ServerId("b"), .service = pool, .slots = 4294967295U}});
    const auto nan = std::numeric_limits<double>::quiet_NaN();
    const auto huge = std::numeric_limits<double>::max();
    TimePoint now = start;
    for (int i = 0; i < 100; ++i, now += milliseconds(20)) {
        for (const ServerStartHash server : {1U, 2U, 3U}) {
            limits.onAnswered(server, Duration::zero(), 1, now);
            limits.onAnswered(server, Duration::min(), 1, now);
            limits.onAnswered(server, Duration::max(), 1, now);
            limits.onAnswered(server, milliseconds(60), nan, now);
            limits.onAnswered(server, milliseconds(60), -huge, now);
            limits.onAnswered(server, milliseconds(60), huge, now);
            limits.onPeerReports({{.server = server, .sample = {.latency = milliseconds(60), .answers = 0}},
                                  {.server = server, .sample = {.latency = seconds(-1), .answers = 4294967295U}}},
                                 now);
        }
    }
    const auto *finding = limits.find(1);
    EXPECT_TRUE(finding == nullptr || finding->takesWell >= 1);
    EXPECT_EQ(limits.find(3), nullptr);
}

// Guards against a start of a server that inherits what was learned of the last one, and against memory that grows.
TEST(ServerLimitsTest, ForgetsAStartThatHasGone)
{
    ServerLimits limits;
    limits.retainOnly({{.start = 1, .id = ServerId("a"), .service = pool, .slots = 6},
                       {.start = 2, .id = ServerId("b"), .service = pool, .slots = 6}});
    for (int i = 0; i < 50; ++i) {
        limits.onAnswered(1, milliseconds(60), 1, start + milliseconds(i * 60));
        limits.onAnswered(2, milliseconds(600), 1, start + milliseconds(i * 60));
    }
    ASSERT_NE(limits.find(2), nullptr);
    limits.retainOnly({{.start = 1, .id = ServerId("a"), .service = pool, .slots = 6},
                       {.start = 4, .id = ServerId("b"), .service = pool, .slots = 6}});
    EXPECT_EQ(limits.find(2), nullptr);
    EXPECT_EQ(limits.find(4), nullptr);
}

// Guards against work in spite of a learned limit, also where a service has nothing else, and against a limit below
// one request.
TEST(ServerLimitsTest, TheChoiceKeepsToTheLimit)
{
    ServerFinding finding{.takesWell = 2};
    BackendBook book({.findingOf = [&finding](const Backend &) { return &finding; }});
    RandomSource random(1);
    book.update({.id = ServerId("a"), .service = pool, .slots = 6}, start);
    int sent = 0;
    while (sent < 20 && book.choose({.service = pool}, start, random)) {
        book.onSent(ServerId("a"), start);
        ++sent;
    }
    EXPECT_EQ(sent, 3);
    EXPECT_EQ(book.lastFailure(), BackendBook::NoChoice::AllFull);
    EXPECT_TRUE(book.choose({.service = pool, .isStream = true}, start, random));
    for (const double wrong : {0.0, -1.0, std::numeric_limits<double>::quiet_NaN()}) {
        finding.takesWell = wrong;
        EXPECT_FALSE(book.choose({.service = pool}, start, random)) << wrong;
    }
}

} // namespace
} // namespace hornbeamlane
