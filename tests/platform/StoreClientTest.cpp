#include "platform/StoreClient.h"
#include "platform/soak/SoakStore.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>

namespace hornbeamlane::platform {
namespace {

using std::chrono::milliseconds;

/** Runs the loop until the condition holds; false after five seconds. */
bool runUntil(EventLoop &loop, const std::function<bool()> &isDone)
{
    const auto end = loop.now() + milliseconds(5000);
    Timer check(loop, [&] {
        if (isDone() || loop.now() > end) {
            loop.stop();
        }
    });
    check.startRepeating(milliseconds(2));
    loop.run();
    return isDone();
}

// Guards against changes that are lost when a row is changed or removed after its page was read and before the last
// page is: changes are followed from the version of the read.
TEST(StoreClientTest, FollowsChangesBetweenThePagesOfARead)
{
    EventLoop loop;
    RandomSource random(5);
    SoakStore store(loop, random);
    ASSERT_TRUE(store.listen("127.0.0.1:0", "127.0.0.1:0"));
    std::map<std::string, std::string> expected;
    for (int i = 1000; i < 2200; ++i) {
        store.put("servers", std::to_string(i), "1");
        expected[std::to_string(i)] = "1";
    }
    StoreClient client(loop, StoreSettings{.address = "127.0.0.1:" + std::to_string(store.port())});
    std::map<std::string, std::string> rows;
    const auto take = [&rows](const std::vector<TableChange> &changes) {
        for (const auto &row : changes) {
            row.isRemoved ? (void)rows.erase(row.key) : (void)(rows[row.key] = row.value);
        }
    };
    TableFollower follower(
        loop, random, client.feed(), TableFollower::Options{.table = "servers"},
        TableFollower::Callbacks{
            .snapshot = take, .changes = take, .reachable = [](bool) {}, .peers = [] { return std::size_t(0); }});
    // The second page is answered long after the first.
    store.setFault(SoakStore::Fault::Slow);
    follower.start();
    ASSERT_TRUE(runUntil(loop, [&] { return store.pagesRead() == 1; }));
    store.put("servers", "1000", "2");
    store.drop("servers", "1001");
    store.put("servers", "2100", "2");
    expected["1000"] = "2";
    expected.erase("1001");
    expected["2100"] = "2";
    EXPECT_TRUE(runUntil(loop, [&] { return rows == expected; }));
    EXPECT_EQ(store.pagesRead(), 3U);
}

} // namespace
} // namespace hornbeamlane::platform
