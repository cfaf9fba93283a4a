#include "hornbeamlane_gateway/crashes/CrashDetector.h"
#include "hornbeamlane_network/loop/Timer.h"
#include "standins/ScriptedServer.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace hornbeamlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class CrashDetectorTest : public ::testing::Test
{
protected:
    void list(const std::string &id, const std::string &address, std::uint64_t incarnation, bool isDraining = false)
    {
        book_.update({.id = ServerId(id),
                      .service = ServiceId("pool"),
                      .address = address,
                      .slots = 8,
                      .isDraining = isDraining,
                      .incarnation = incarnation},
                     loop_.now());
    }

    ServerStart startOf(const std::string &id) const
    {
        const auto &spec = book_.find(ServerId(id))->spec;
        return {.server = spec.id, .incarnation = spec.incarnation, .address = spec.address};
    }

    /** A connection to the server breaks; waits until it is known whether the server has crashed. */
    void breakOff(const std::string &id)
    {
        detector_.onBrokenOff(startOf(id), lost(), [this] { loop_.stop(); });
        loop_.run();
    }

    /** That long after now. */
    static std::uint64_t unixMilliseconds(milliseconds fromNow)
    {
        const auto time = std::chrono::system_clock::now() + fromNow;
        return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count());
    }

    LostRequest lost() const
    {
        return {.candidate = {.traits = {.whole = TraitHash(7)}, .hadHead = true},
                .sentAt = loop_.now(),
                .lostAt = loop_.now()};
    }

    EventLoop loop_;
    BackendBook book_;
    std::vector<std::string> crashed_;
    std::size_t candidates_ = 0;
    CrashDetector detector_{
        loop_,
        book_,
        {},
        {.unanswered = [](const ServerId &) { return std::vector<LostRequest>(); },
         .crashed =
             [this](const ServerStart &start, CrashSign sign, const std::vector<LostRequest> &requests) {
                 crashed_.push_back(start.server.name() + " " + std::string(toString(sign)));
                 candidates_ += requests.size();
             }}};
};

// Guards against a crash that goes unnoticed while the server is down.
TEST_F(CrashDetectorTest, TakesARefusedConnectionForACrash)
{
    testing::ScriptedServer server(loop_, [](auto &, const auto &, int) {});
    list("s1", server.address(), 1);
    server.crash();
    Timer crashed(loop_, [this] { loop_.stop(); });
    crashed.startOnce(milliseconds(10));
    loop_.run();
    breakOff("s1");
    EXPECT_EQ(crashed_, std::vector<std::string>{"s1 connection_refused"});
    EXPECT_EQ(candidates_, 1U);
}

// Guards against a server that is blamed for a single connection: it goes on.
TEST_F(CrashDetectorTest, DoesNotTakeABrokenConnectionForACrash)
{
    testing::ScriptedServer server(loop_, [](auto &, const auto &, int) {});
    list("s1", server.address(), 1);
    breakOff("s1");
    detector_.sweep(loop_.now());
    EXPECT_TRUE(crashed_.empty());
}

// Guards against a sound request that is blamed for a later end of its server because the server had closed the kept
// connection on which it was sent.
TEST_F(CrashDetectorTest, ForgetsWhatBrokeOffAtAServerThatLives)
{
    testing::ScriptedServer server(loop_, [](auto &, const auto &, int) {});
    list("s1", server.address(), unixMilliseconds(-seconds(60)));
    breakOff("s1");
    // The next one breaks in the pause after the probe, and is looked at when the pause is over.
    breakOff("s1");
    Timer sweep(loop_, [this] { detector_.sweep(loop_.now()); });
    sweep.startRepeating(milliseconds(50));
    Timer end(loop_, [this] { loop_.stop(); });
    end.startOnce(milliseconds(400));
    loop_.run();
    // One that was given up tells nothing: the server may have been silent since.
    detector_.onGivenUp(startOf("s1"), lost());
    list("s1", server.address(), unixMilliseconds(seconds(5)));
    detector_.sweep(loop_.now());
    EXPECT_EQ(crashed_, std::vector<std::string>{"s1 started_again"});
    EXPECT_EQ(candidates_, 1U);
}

// Guards against a request that is let off because its server is back before the probe: the entry of the next start
// tells that it had begun by then, under the id that it had or under another one.
TEST_F(CrashDetectorTest, KnowsACrashByAStartBeforeTheProbe)
{
    testing::ScriptedServer server(loop_, [](auto &, const auto &, int) {});
    testing::ScriptedServer other(loop_, [](auto &, const auto &, int) {});
    list("s1", server.address(), unixMilliseconds(-seconds(60)));
    list("s2", other.address(), unixMilliseconds(-seconds(60)));
    breakOff("s1");
    breakOff("s2");
    list("s1", server.address(), unixMilliseconds(-milliseconds(100)));
    book_.remove(ServerId("s2"), std::nullopt);
    list("s3", other.address(), unixMilliseconds(-milliseconds(100)));
    detector_.sweep(loop_.now());
    // Starts are looked at in the order of their hashes, which depend on the time.
    EXPECT_THAT(crashed_, ::testing::UnorderedElementsAre("s1 started_again", "s2 address_taken"));
    EXPECT_EQ(candidates_, 2U);
}

// Guards against a request that is let off by a probe which began before its connection broke: the server may have
// crashed since.
TEST_F(CrashDetectorTest, ProbesAgainForWhatBreaksOffDuringAProbe)
{
    testing::ScriptedServer server(loop_, [](auto &, const auto &, int) {});
    list("s1", server.address(), 1);
    std::vector<int> connectionsWhenChecked;
    const auto note = [&] {
        connectionsWhenChecked.push_back(server.connections());
        if (connectionsWhenChecked.size() == 3) {
            loop_.stop();
        }
    };
    for (int broken = 0; broken < 3; ++broken) {
        detector_.onBrokenOff(startOf("s1"), lost(), note);
    }
    loop_.run();
    // One probe for the first, and another one for the two that broke off after it had begun.
    ASSERT_EQ(connectionsWhenChecked.size(), 3U);
    EXPECT_LE(connectionsWhenChecked[0], 1);
    EXPECT_EQ(connectionsWhenChecked[1], connectionsWhenChecked[2]);
    Timer end(loop_, [this] { loop_.stop(); });
    end.startOnce(milliseconds(20));
    loop_.run();
    EXPECT_EQ(server.connections(), 2);
    EXPECT_TRUE(crashed_.empty());
}

// Guards against servers that are blamed for a cut between them and the table, which takes their entries away.
TEST_F(CrashDetectorTest, DoesNotTakeALostEntryForACrash)
{
    list("s1", "127.0.0.1:9", 1);
    detector_.onGivenUp(startOf("s1"), lost());
    book_.remove(ServerId("s1"), std::nullopt);
    detector_.sweep(loop_.now());
    book_.sweep(loop_.now());
    detector_.sweep(loop_.now());
    list("s1", "127.0.0.1:9", 1);
    detector_.sweep(loop_.now());
    EXPECT_TRUE(crashed_.empty());
}

// Guards against a crash that no connection shows, because the host was silent: the server is seen again as another
// start.
TEST_F(CrashDetectorTest, KnowsACrashByTheNextStart)
{
    list("s1", "127.0.0.1:9", 1);
    detector_.onGivenUp(startOf("s1"), lost());
    list("s1", "127.0.0.1:9", 2);
    detector_.sweep(loop_.now());
    list("s2", "127.0.0.1:10", 1);
    detector_.onGivenUp(startOf("s2"), lost());
    book_.remove(ServerId("s2"), std::nullopt);
    list("s3", "127.0.0.1:10", 1);
    detector_.sweep(loop_.now());
    detector_.sweep(loop_.now());
    EXPECT_EQ(crashed_, (std::vector<std::string>{"s1 started_again", "s2 address_taken"}));
}

// Guards against a planned end that is taken for a crash.
TEST_F(CrashDetectorTest, LeavesOutServersThatAreLeaving)
{
    list("s1", "127.0.0.1:9", 1, true);
    breakOff("s1");
    list("s1", "127.0.0.1:9", 2);
    detector_.sweep(loop_.now());
    EXPECT_TRUE(crashed_.empty());
}

// Guards against the same of a server that has announced it in its answers only.
TEST_F(CrashDetectorTest, LeavesOutServersThatSaidInAnAnswerThatTheyLeave)
{
    list("s1", "127.0.0.1:9", 1);
    book_.onLeaving(ServerId("s1"), 1, loop_.now());
    breakOff("s1");
    list("s1", "127.0.0.1:9", 2);
    detector_.sweep(loop_.now());
    EXPECT_TRUE(crashed_.empty());
    detector_.onBrokenOff(startOf("s1"), lost(), [this] { loop_.stop(); });
    loop_.run();
    EXPECT_EQ(crashed_.size(), 1U);
}

} // namespace
} // namespace hornbeamlane
