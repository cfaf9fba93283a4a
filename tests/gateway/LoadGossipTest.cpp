#include "hornbeamlane_gateway/hornbeamlane_gateway.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace hornbeamlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint firstMoment{std::chrono::hours(1)};
constexpr std::size_t roundsPerSample = 20;

/** Time for which an entry without load collects messages before it reads them. */
constexpr milliseconds idleQuietTime{60};
constexpr ServerHash watched = 77;

/** Many entries that tell each other their loads, without a network; messages that come close together are read as one.
 */
class Entries final
{
public:
    struct Totals
    {
        std::size_t wakeUps = 0;
        std::size_t messages = 0;
        std::size_t rounds = 0;
        std::size_t sampledMessages = 0;
        std::size_t sampledBytes = 0;
        std::size_t largest = 0;
    };

    Entries(std::size_t count, double lossShare = 0)
        : lossShare_(lossShare)
    {
        for (std::size_t i = 0; i < count; ++i) {
            entries_.push_back(std::make_unique<Entry>(nameOf(i), i + 1));
        }
        for (std::size_t i = 0; i < count; ++i) {
            for (std::size_t other = 0; other < count; ++other) {
                entries_[i]->gossip.addPeer(nameOf(other), now_);
            }
        }
    }

    void setLoad(std::size_t entry, std::uint32_t load)
    {
        entries_[entry]->load = load;
        entries_[entry]->gossip.markChanged();
    }

    void kill(std::size_t entry)
    {
        entries_[entry]->isAlive = false;
    }

    void runFor(Duration time)
    {
        const auto end = now_ + time;
        while (now_ < end) {
            now_ += milliseconds(1);
            for (auto &entry : entries_) {
                step(*entry);
            }
        }
    }

    /** Entries that live and know of so much load at the watched server. */
    std::size_t knowing(std::uint32_t load) const
    {
        return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(), [load](const auto &entry) {
            return entry->isAlive && entry->gossip.loads().sumFor(watched) + entry->load == load;
        }));
    }

    Totals takeTotals()
    {
        return std::exchange(totals_, {});
    }

    const LoadGossip &gossip(std::size_t entry) const
    {
        return entries_[entry]->gossip;
    }

    TimePoint now() const
    {
        return now_;
    }

private:
    struct Entry
    {
        Entry(const std::string &entryName, std::uint64_t seed)
            : name(entryName)
            , gossip({.name = entryName, .address = entryName, .seed = seed})
        {
        }

        std::string name;
        LoadGossip gossip;
        bool isAlive = true;
        std::uint32_t load = 0;
        std::uint64_t sequence = 0;
        LoadMessage told;
        /** Messages on the way, and when the next ones may be read. */
        std::vector<std::shared_ptr<const LoadMessage>> inbox;
        TimePoint quietUntil;
    };

    static std::string nameOf(std::size_t entry)
    {
        return "entry-" + std::to_string(entry);
    }

    void step(Entry &entry)
    {
        if (!entry.isAlive) {
            return;
        }
        bool isAwake = false;
        if (!entry.inbox.empty() && now_ >= entry.quietUntil) {
            isAwake = true;
            for (const auto &message : std::exchange(entry.inbox, {})) {
                entry.gossip.onMessage(*message, message->sender, now_);
            }
            entry.quietUntil = now_ + (entry.load == 0 ? idleQuietTime : milliseconds(15));
        }
        if (now_ >= entry.gossip.nextRoundAt()) {
            isAwake = true;
            entry.gossip.expire(now_);
            send(entry);
        }
        totals_.wakeUps += isAwake ? 1 : 0;
    }

    void send(Entry &entry)
    {
        auto round = entry.gossip.poll(now_);
        if (!round) {
            return;
        }
        if (round->isOwnDue) {
            entry.told = {.sender = entry.name, .sequence = ++entry.sequence, .incarnation = Incarnation(1)};
            if (entry.load > 0) {
                entry.told.inFlight = {{watched, entry.load}};
            }
        }
        entry.told.relayed = std::move(round->relayed);
        const auto message = std::make_shared<const LoadMessage>(entry.told);
        // Encoding each message would take most of the time of the test.
        if (totals_.rounds++ % roundsPerSample == 0) {
            const auto size = encodeLoadMessage(*message, now_).size();
            totals_.sampledBytes += size * round->targets.size();
            totals_.sampledMessages += round->targets.size();
            totals_.largest = std::max(totals_.largest, size);
        }
        for (const auto &target : round->targets) {
            ++totals_.messages;
            if (random_.unit() >= lossShare_) {
                entries_[std::stoul(target.substr(6))]->inbox.push_back(message);
            }
        }
    }

    double lossShare_;
    RandomSource random_{5};
    TimePoint now_ = firstMoment;
    std::vector<std::unique_ptr<Entry>> entries_;
    Totals totals_;
};

/** Entries that have found each other are awake seldom, and tell little, however many they are. */
void expectSeldomAwake(std::size_t count)
{
    Entries entries(count);
    entries.runFor(seconds(4));
    entries.takeTotals();
    entries.runFor(seconds(2));
    const auto totals = entries.takeTotals();
    const auto perSecond = [&](std::size_t total) { return static_cast<double>(total) / count / 2; };
    const auto messages = perSecond(totals.messages);
    const auto bytes = messages * totals.sampledBytes / std::max<std::size_t>(totals.sampledMessages, 1);
    // Beside these an idle entry wakes four times a second to sweep and seven times to look after the lease.
    EXPECT_LE(perSecond(totals.wakeUps), 14) << "wake-ups a second of one entry";
    EXPECT_LE(messages, 60);
    EXPECT_LE(bytes, 400 * 1024);
    EXPECT_LE(totals.largest, 48U * 1024);
    ::testing::Test::RecordProperty("wake_ups", std::to_string(perSecond(totals.wakeUps)));
    ::testing::Test::RecordProperty("messages", std::to_string(messages));
    ::testing::Test::RecordProperty("bytes", std::to_string(bytes));
}

class ManyEntriesTest : public ::testing::TestWithParam<std::size_t>
{
};

// Load pattern "hundreds of idle entries": what an entry does while nothing happens must not grow with their number.
TEST_P(ManyEntriesTest, WakeSeldomWhileNothingHappens)
{
    expectSeldomAwake(GetParam());
}

TEST(LoadGossipTest, WakesSeldomAmongTheLargestNumberOfEntries)
{
    expectSeldomAwake(570);
}

// Load pattern "hundreds of entries": a change has to be known everywhere before many more requests have been sent.
TEST_P(ManyEntriesTest, HearOfAChangeWithinTheTellingTime)
{
    const auto count = GetParam();
    Entries entries(count);
    entries.runFor(seconds(4));
    EXPECT_LE(entries.gossip(0).tellingTime(), seconds(1));
    for (std::size_t change = 1; change <= 3; ++change) {
        entries.setLoad(change, static_cast<std::uint32_t>(5));
        entries.runFor(entries.gossip(0).tellingTime() + idleQuietTime);
        EXPECT_GE(entries.knowing(static_cast<std::uint32_t>(change * 5)), count * 9 / 10) << change;
    }
    entries.runFor(seconds(2));
    EXPECT_EQ(entries.knowing(15), count);
}

// Guards against the load of a dead entry that its last words, passed on again and again, keep alive.
TEST_P(ManyEntriesTest, ForgetTheLoadOfADeadEntry)
{
    const auto count = GetParam();
    Entries entries(count);
    entries.setLoad(3, 9);
    entries.runFor(seconds(4));
    EXPECT_EQ(entries.knowing(9), count);
    entries.kill(3);
    entries.runFor(seconds(6));
    EXPECT_EQ(entries.knowing(0), count - 1);
    EXPECT_EQ(entries.gossip(0).entryCount(entries.now()), count);
}

// Guards against entries that lose sight of each other because a share of the datagrams is lost.
TEST_P(ManyEntriesTest, KeepEachOtherInSightThroughLosses)
{
    const auto count = GetParam();
    Entries entries(count, 0.2);
    entries.setLoad(1, 4);
    entries.runFor(seconds(6));
    EXPECT_EQ(entries.knowing(4), count);
    for (std::size_t entry = 0; entry < count; entry += 7) {
        EXPECT_GE(entries.gossip(entry).loads().activePeers(), (count - 1) * 98 / 100);
    }
}

INSTANTIATE_TEST_SUITE_P(Sizes, ManyEntriesTest, ::testing::Values(30, 150));

// Guards against a small group of entries that hears of loads later than before.
TEST(LoadGossipTest, FewEntriesTellEachOtherDirectly)
{
    Entries entries(8);
    entries.runFor(seconds(2));
    entries.setLoad(2, 6);
    entries.runFor(milliseconds(60));
    EXPECT_EQ(entries.knowing(6), 8U);
}

// Load pattern "capacity short at hundreds of entries": each tells the arrivals of 24 classes of two services. Guards
// against a message that is larger than a datagram, so that nothing of what was heard is passed on.
TEST(LoadGossipTest, PassesOnWhatFitsIntoADatagramAndTheRestNext)
{
    constexpr std::size_t peers = 200;
    constexpr std::size_t mostBytesOfDatagram = 65507;
    LoadGossip gossip({.name = "self", .address = "10.0.0.1:1"});
    auto now = firstMoment;
    for (std::size_t i = 0; i < peers; ++i) {
        LoadMessage message{.sender = "entry-" + std::to_string(i), .sequence = 1, .incarnation = Incarnation(i + 1)};
        std::vector<ServiceArrivals> arrivals(2);
        for (std::uint32_t service = 0; service < 2; ++service) {
            arrivals[service].service = 4000000000U + service;
            for (std::uint32_t team = 0; team < 24; ++team) {
                arrivals[service].rates.push_back(
                    {.arrivals = {.priority = 1, .team = 4000000000U + team}, .perSecond = 9});
            }
        }
        message.arrivals = arrivals;
        message.inFlight.emplace_back(4000000000U, 9U);
        gossip.onMessage(message, "10.0.1." + std::to_string(i) + ":1", now);
    }
    std::size_t passedOn = 0;
    for (int round = 0; round < 10; ++round) {
        now += seconds(1);
        if (auto due = gossip.poll(now)) {
            passedOn += due->relayed.size();
            LoadMessage own{.sender = "self"};
            own.relayed = std::move(due->relayed);
            EXPECT_LE(encodeLoadMessage(own, now).size(), mostBytesOfDatagram);
        }
    }
    EXPECT_EQ(passedOn, peers);
}

} // namespace
} // namespace hornbeamlane
