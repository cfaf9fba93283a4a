#include "gateway/GatewayWorld.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace hornbeamlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds window{4};

/** Requests that a server with a limit may get in one window. */
double mostInWindow(double perSecond)
{
    constexpr double tolerance = 1.5;
    constexpr double slack = 5;
    return perSecond * tolerance * std::chrono::duration<double>(window).count() + slack;
}

/** Most requests that reached a server within one window that began at that time or later. */
std::size_t busiestWindow(const std::vector<TimePoint> &arrivals, TimePoint from)
{
    std::size_t most = 0;
    for (auto first = std::lower_bound(arrivals.begin(), arrivals.end(), from); first != arrivals.end(); ++first) {
        const auto last = std::upper_bound(first, arrivals.end(), *first + window);
        most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
}

std::size_t arrivedSince(const std::vector<TimePoint> &arrivals, TimePoint from)
{
    return static_cast<std::size_t>(arrivals.end() - std::lower_bound(arrivals.begin(), arrivals.end(), from));
}

/** Callers that come to all entries in turn. */
class Callers final
{
public:
    Callers(GatewayWorld &world, std::size_t entries)
        : world_(world)
        , entries_(entries)
    {
    }

    void run(milliseconds time, milliseconds pause = milliseconds(15))
    {
        for (const auto end = world_.loop().now() + time; world_.loop().now() < end;) {
            answers_.push_back(
                world_.send(answers_.size() % entries_, "a:40,f" + std::to_string(answers_.size()) + ":9"));
            world_.runFor(pause);
        }
    }

    double sent() const
    {
        return static_cast<double>(answers_.size());
    }

    double served() const
    {
        return static_cast<double>(std::count_if(answers_.begin(), answers_.end(), [](const auto &answer) {
            return answer->end == Http1CallEnd::Complete && answer->head.status == 200;
        }));
    }

private:
    GatewayWorld &world_;
    std::size_t entries_;
    std::vector<std::shared_ptr<CallerAnswer>> answers_;
};

// Guards against a server that names how many requests a second it takes from all entries together, and gets more: the
// other servers can take what is beyond that. It gets its full share again once it names no limit any more.
TEST(ServerLimitTest, KeepsALimitThatAServerNames)
{
    constexpr double limit = 4;
    GatewayWorld world({.entries = 3, .servers = 3});
    world.runFor(milliseconds(200));
    Callers callers(world, 3);
    world.setLimit(0, limit);
    callers.run(milliseconds(600));
    const auto learned = world.loop().now();
    callers.run(milliseconds(4500));
    EXPECT_LE(busiestWindow(world.arrivals(0), learned), mostInWindow(limit));
    EXPECT_GE(arrivedSince(world.arrivals(0), learned), limit * 3);
    world.setLimit(0, std::nullopt);
    callers.run(milliseconds(1000));
    const auto lifted = world.loop().now();
    callers.run(milliseconds(1000));
    EXPECT_GE(arrivedSince(world.arrivals(0), lifted), arrivedSince(world.arrivals(1), lifted) / 2);
    world.runFor(milliseconds(300));
    EXPECT_GE(callers.served(), callers.sent() * 0.98);
}

// Guards against limits of all servers that are kept by refusing what they would have taken.
TEST(ServerLimitTest, UsesTheLimitsOfAllServers)
{
    constexpr double limit = 5;
    constexpr std::size_t servers = 3;
    constexpr seconds length{5};
    GatewayWorld world({.entries = 3, .servers = servers});
    world.runFor(milliseconds(200));
    Callers callers(world, 3);
    for (std::size_t server = 0; server < servers; ++server) {
        world.setLimit(server, limit);
    }
    callers.run(milliseconds(600));
    const auto learned = world.loop().now();
    callers.run(length);
    std::size_t taken = 0;
    for (std::size_t server = 0; server < servers; ++server) {
        EXPECT_LE(busiestWindow(world.arrivals(server), learned), mostInWindow(limit));
        taken += arrivedSince(world.arrivals(server), learned);
    }
    EXPECT_GE(static_cast<double>(taken), 0.8 * limit * servers * std::chrono::duration<double>(length).count());
}

// Guards against a limit that only the entry knows to which the server has answered: an entry that never got an answer
// of the server, and one that has forgotten it by a restart, send it no more than the others leave.
TEST(ServerLimitTest, TellsOtherEntriesOfALimit)
{
    GatewayWorld world({.entries = 2, .servers = 2});
    world.runFor(milliseconds(200));
    Callers callers(world, 2);
    world.setLimit(0, 0);
    while (world.arrivals(0).empty()) {
        callers.run(milliseconds(1));
    }
    world.runFor(milliseconds(200));
    const auto told = world.loop().now();
    callers.run(milliseconds(500));
    EXPECT_LE(arrivedSince(world.arrivals(0), told), 1U);
    for (const std::size_t entry : {0, 1}) {
        world.restartEntry(entry);
        world.runFor(milliseconds(400));
    }
    const auto restarted = world.loop().now();
    callers.run(milliseconds(500));
    EXPECT_LE(arrivedSince(world.arrivals(0), restarted), 1U);
}

} // namespace
} // namespace hornbeamlane
