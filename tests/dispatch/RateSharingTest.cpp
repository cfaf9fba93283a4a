#include "hornbeamlane_dispatch/hornbeamlane_dispatch.h"

#include <gtest/gtest.h>

#include <cmath>
#include <deque>
#include <ostream>

namespace hornbeamlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds step{5};
constexpr milliseconds patience{200};
/** Longest way of a message. */
constexpr milliseconds way{10};
constexpr seconds window{4};
constexpr seconds length{60};
const auto server = hashOfStart(ServerId("s"), 1);
const TimePoint start{seconds(100)};

/** Entries that share the limit of one server, and how requests for it come to them. */
struct Scene
{
    std::string name;
    std::uint32_t entries = 8;
    double limit = 2.3;
    /** Requests a second at the first entry, and at each other one. */
    double atFirst = 1;
    double atOthers = 1;
    double loss = 0.02;
    /** Entries, from the last one on, that are not heard and hear nobody from a third to two thirds of the time. */
    std::uint32_t cutOff = 0;
    /** Time after which each entry has told all others. */
    milliseconds tellingTime{40};
    /** Part of what is both wanted and allowed that has to be sent at least. */
    double least = 0.8;
};

void PrintTo(const Scene &scene, std::ostream *out)
{
    *out << scene.name;
}

/** Runs a scene in virtual time. */
class Simulation final
{
public:
    Simulation(const Scene &scene, std::uint64_t seed)
        : scene_(scene)
        , random_(seed)
        , entries_(scene.entries)
    {
        for (auto &entry : entries_) {
            entry.incarnation = random_.incarnation();
            entry.limits.onNamed(server, scene.limit, start);
            entry.tellsAt = start + milliseconds(random_.below(scene.tellingTime.count()));
        }
    }

    void run()
    {
        for (now_ = start; now_ < start + length; now_ += step) {
            deliver();
            for (std::uint32_t i = 0; i < scene_.entries; ++i) {
                arrive(i);
                serve(i);
                tell(i);
            }
        }
    }

    std::size_t wanted() const
    {
        return wanted_;
    }

    std::size_t sent() const
    {
        return sends_.size();
    }

    std::size_t busiestWindow() const
    {
        std::size_t most = 0;
        for (std::size_t first = 0, last = 0; first < sends_.size(); ++first) {
            while (last < sends_.size() && sends_[last] <= sends_[first] + window) {
                ++last;
            }
            most = std::max(most, last - first);
        }
        return most;
    }

private:
    struct Entry
    {
        Incarnation incarnation;
        ServerRateLimits limits;
        std::deque<TimePoint> waiting;
        TimePoint tellsAt;
        /** What each other entry has last told of the requests that it has to send. */
        std::vector<double> demands;
    };

    /** One message of an entry to those others that it reaches. */
    struct Message
    {
        TimePoint arrivesAt;
        std::uint32_t from = 0;
        std::vector<std::uint32_t> to;
        std::vector<RateLimitReport> reports;
        double demand = 0;
    };

    bool isCutOff(std::uint32_t entry) const
    {
        const bool isTime = now_ >= start + length / 3 && now_ < start + length * 2 / 3;
        return isTime && entry >= scene_.entries - scene_.cutOff;
    }

    bool mayHear(std::uint32_t one, std::uint32_t other) const
    {
        return !isCutOff(one) && !isCutOff(other);
    }

    double rateAt(std::uint32_t entry) const
    {
        return entry == 0 ? scene_.atFirst : scene_.atOthers;
    }

    double demandOf(std::uint32_t entry) const
    {
        return static_cast<double>(entries_[entry].waiting.size())
            + rateAt(entry) * std::chrono::duration<double>(scene_.tellingTime + way).count();
    }

    void arrive(std::uint32_t entry)
    {
        const auto expected = rateAt(entry) * std::chrono::duration<double>(step).count();
        const auto whole = std::floor(expected);
        auto count = static_cast<int>(whole) + (random_.unit() < expected - whole ? 1 : 0);
        for (; count > 0; --count) {
            entries_[entry].waiting.push_back(now_);
            ++wanted_;
        }
    }

    void serve(std::uint32_t index)
    {
        auto &entry = entries_[index];
        while (!entry.waiting.empty() && now_ - entry.waiting.front() > patience) {
            entry.waiting.pop_front();
        }
        while (!entry.waiting.empty()) {
            double others = 0;
            std::uint32_t heard = 1;
            for (std::uint32_t other = 0; other < scene_.entries; ++other) {
                if (other != index && mayHear(index, other)) {
                    ++heard;
                    others += entry.demands.empty() ? 0 : entry.demands[other];
                }
            }
            const auto own = std::max(1.0, demandOf(index));
            const SharedRate::Share share{.ofDemand = own / (own + others),
                                          .heard = static_cast<double>(heard) / scene_.entries,
                                          .delay = scene_.tellingTime + way};
            if (!entry.limits.maySend(server, share, now_, random_)) {
                return;
            }
            entry.limits.onSent(server, now_);
            entry.limits.onNamed(server, scene_.limit, now_);
            entry.waiting.pop_front();
            sends_.push_back(now_);
        }
    }

    void tell(std::uint32_t index)
    {
        auto &entry = entries_[index];
        if (now_ < entry.tellsAt) {
            return;
        }
        entry.tellsAt = now_ + scene_.tellingTime;
        auto &message = messages_.emplace_back(Message{
            .arrivesAt = now_ + step, .from = index, .reports = entry.limits.reports(), .demand = demandOf(index)});
        for (std::uint32_t other = 0; other < scene_.entries; ++other) {
            if (other != index && mayHear(index, other) && random_.unit() >= scene_.loss) {
                message.to.push_back(other);
            }
        }
    }

    void deliver()
    {
        while (!messages_.empty() && messages_.front().arrivesAt <= now_) {
            const auto &message = messages_.front();
            for (const auto to : message.to) {
                receive(entries_[to], message);
            }
            messages_.pop_front();
        }
    }

    void receive(Entry &entry, const Message &message) const
    {
        entry.demands.resize(scene_.entries);
        entry.demands[message.from] = message.demand;
        for (const auto &report : message.reports) {
            entry.limits.onReport(entries_[message.from].incarnation, report, now_);
        }
    }

    Scene scene_;
    RandomSource random_;
    std::vector<Entry> entries_;
    std::deque<Message> messages_;
    std::vector<TimePoint> sends_;
    std::size_t wanted_ = 0;
    TimePoint now_;
};

class RateSharingTest : public ::testing::TestWithParam<Scene>
{
};

// Guards against entries that each keep a server's limit for themselves, so that it gets many times that; against ones
// that all use what is left at the same moment; and against a limit that is kept because hardly anything is sent.
TEST_P(RateSharingTest, UsesALimitWithoutExceedingIt)
{
    constexpr std::uint64_t seeds = 5;
    constexpr double tolerance = 1.5;
    constexpr double slack = 5;
    const auto &scene = GetParam();
    const auto most = scene.limit * tolerance * std::chrono::duration<double>(window).count() + slack;
    const auto allowed = scene.limit * std::chrono::duration<double>(length).count();
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Simulation simulation(scene, seed);
        simulation.run();
        RecordProperty("sent_" + std::to_string(seed), static_cast<int>(simulation.sent()));
        RecordProperty("window_" + std::to_string(seed), static_cast<int>(simulation.busiestWindow()));
        EXPECT_LE(static_cast<double>(simulation.busiestWindow()), most) << "seed " << seed;
        EXPECT_GE(static_cast<double>(simulation.sent()),
                  scene.least * std::min(allowed, static_cast<double>(simulation.wanted())))
            << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(
    Scenes, RateSharingTest,
    ::testing::Values(
        Scene{.name = "EightEntriesWithMoreThanFits"},
        Scene{.name = "OneEntryHasAllRequests", .atFirst = 8, .atOthers = 0},
        Scene{.name = "OneEntryAlone", .entries = 1, .atFirst = 8},
        Scene{.name = "LessIsWantedThanAllowed", .limit = 20, .least = 0.9},
        Scene{.name = "FortyFourEntriesSeldomAsked", .entries = 44, .limit = 1.9, .atFirst = 0.1, .atOthers = 0.1},
        Scene{.name = "FortyFourEntriesWithLongQueues", .entries = 44, .limit = 1.9, .atFirst = 6, .atOthers = 6},
        Scene{.name = "HundredEntriesToldInTurn",
              .entries = 100,
              .limit = 4,
              .atFirst = 0.3,
              .atOthers = 0.3,
              .tellingTime = milliseconds(290)},
        Scene{.name = "HighLimit", .limit = 200, .atFirst = 60, .atOthers = 60},
        Scene{.name = "LowLimit", .limit = 0.5, .atFirst = 3, .atOthers = 3},
        Scene{.name = "HalfOfTheMessagesLost", .atFirst = 3, .atOthers = 3, .loss = 0.5},
        Scene{.name = "ThreeEntriesCutOff", .atFirst = 3, .atOthers = 3, .cutOff = 3}),
    [](const auto &scene) { return scene.param.name; });

} // namespace
} // namespace hornbeamlane
