#include "hornbeamlane_dispatch/hornbeamlane_dispatch.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace hornbeamlane {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t slots = 10;

/** A pool of servers behind many entries, each of which hears late what the others have sent. */
struct Crowd
{
    std::size_t entries = 32;
    std::size_t servers = 63;
    double requestsPerSecond = 195;
    /** Requests are at their servers for this time on average; some much longer. */
    std::chrono::duration<double> serviceTime{1.8};
    /** After this time entries have heard of each other's requests. */
    milliseconds delay{200};
    /** Whether entries allow for what they have not heard. */
    bool allowsForUnseen = true;
};

/** Share of the requests that come to a server all of whose slots are taken while others have free ones. */
double shareBehindOthers(const Crowd &crowd)
{
    constexpr milliseconds tick{5};
    constexpr milliseconds time{20000};
    RandomSource random(11);
    TimePoint now{std::chrono::hours(1)};
    const auto unseen = crowd.requestsPerSecond * std::chrono::duration<double>(crowd.delay).count();
    std::vector<BackendBook> books;
    for (std::size_t entry = 0; entry < crowd.entries; ++entry) {
        books.emplace_back(BackendBook::Options{
            .unseenRequests = [unseen, &crowd](const auto &) { return crowd.allowsForUnseen ? unseen : 0.0; }});
        for (std::size_t server = 0; server < crowd.servers; ++server) {
            books.back().update({.id = ServerId(std::to_string(server)), .service = ServiceId("pool"), .slots = slots},
                                now);
        }
    }
    struct Running
    {
        TimePoint endsAt;
        std::size_t entry;
        ServerId server;
    };
    std::vector<Running> running;
    std::deque<std::vector<std::vector<std::uint32_t>>> seen;
    const auto loads = [&] {
        std::vector<std::vector<std::uint32_t>> result(crowd.entries, std::vector<std::uint32_t>(crowd.servers));
        for (const auto &one : running) {
            ++result[one.entry][std::stoul(one.server.name())];
        }
        return result;
    };
    std::size_t sent = 0;
    std::size_t behind = 0;
    const auto end = now + time;
    while (now < end) {
        now += tick;
        std::erase_if(running, [&](const Running &one) {
            if (one.endsAt > now) {
                return false;
            }
            books[one.entry].onEnded(one.server, BackendOutcome::Served, now);
            return true;
        });
        seen.push_back(loads());
        if (seen.size() > static_cast<std::size_t>(crowd.delay / tick)) {
            seen.pop_front();
        }
        const double perTick = crowd.requestsPerSecond * std::chrono::duration<double>(tick).count();
        for (double left = perTick; random.unit() < left; left -= 1) {
            const auto entry = random.below(crowd.entries);
            for (std::size_t server = 0; server < crowd.servers; ++server) {
                std::uint32_t others = 0;
                for (std::size_t other = 0; other < crowd.entries; ++other) {
                    others += other == entry ? 0 : seen.front()[other][server];
                }
                books[entry].setPeersInFlight(ServerId(std::to_string(server)), others);
            }
            const auto server = books[entry].choose({.service = ServiceId("pool")}, now, random);
            if (!server) {
                continue;
            }
            ++sent;
            const auto taken = std::count_if(running.begin(), running.end(),
                                             [&server](const auto &one) { return one.server == *server; });
            behind += taken >= slots ? 1 : 0;
            books[entry].onSent(*server, now);
            const auto taking = crowd.serviceTime * -std::log(1 - random.unit());
            running.push_back({now + std::chrono::duration_cast<Duration>(taking), entry, *server});
        }
    }
    return static_cast<double>(behind) / static_cast<double>(sent);
}

// Load pattern "many entries before half-empty servers": all take the server that looks best to all of them, and
// callers wait there for a slot while most slots of the others are free.
TEST(CrowdOfEntriesTest, DoesNotPileUpAtTheServerThatLooksBest)
{
    const auto unaware = shareBehindOthers({.allowsForUnseen = false});
    const auto aware = shareBehindOthers({});
    EXPECT_GT(unaware, 0.1);
    EXPECT_LT(aware, 0.02);
}

// Guards against entries that stop looking at loads because they hear late: a pool that is four fifths full.
TEST(CrowdOfEntriesTest, StillBalancesAPoolThatIsNearlyFull)
{
    Crowd crowd{.requestsPerSecond = 280};
    crowd.allowsForUnseen = false;
    const auto unaware = shareBehindOthers(crowd);
    crowd.allowsForUnseen = true;
    EXPECT_LT(shareBehindOthers(crowd), unaware);
    crowd.delay = milliseconds(40);
    EXPECT_LT(shareBehindOthers(crowd), 0.06);
}

// Guards against a choice that is worse than the least loaded server where entries hear of each other at once.
TEST(CrowdOfEntriesTest, FillsServersEvenlyWhereLittleIsUnseen)
{
    const Crowd crowd{.entries = 8, .servers = 12, .requestsPerSecond = 45, .delay = milliseconds(40)};
    EXPECT_LT(shareBehindOthers(crowd), 0.01);
}

// Guards against a draw that prefers servers by their place in a list: those that look alike get alike.
TEST(CrowdOfEntriesTest, GivesServersThatLookAlikeTheSame)
{
    constexpr int servers = 3;
    constexpr int requests = 3000;
    RandomSource random(3);
    const TimePoint now{std::chrono::hours(1)};
    BackendBook book({.unseenRequests = [](const auto &) { return 5.0; }});
    for (int server = 0; server < servers; ++server) {
        book.update({.id = ServerId(std::to_string(server)), .service = ServiceId("pool"), .slots = slots}, now);
    }
    constexpr double fairShare = 1.0 * requests / servers;
    std::map<std::string, int> chosen;
    for (int request = 0; request < requests; ++request) {
        ++chosen[book.choose({.service = ServiceId("pool")}, now, random)->name()];
    }
    for (const auto &[name, count] : chosen) {
        EXPECT_NEAR(count, fairShare, fairShare * 0.15) << name;
    }
}

} // namespace
} // namespace hornbeamlane
