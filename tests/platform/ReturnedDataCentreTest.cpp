#include "hornbeamlane_network/http1/Http1ClientConnection.h"
#include "platform/JsonFields.h"
#include "platform/NodeSettings.h"
#include "platform/PlatformNode.h"
#include "platform/soak/SoakStore.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <list>
#include <memory>
#include <vector>

namespace hornbeamlane::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds warmup{3000};
constexpr double warmupPerSecond = 5;
constexpr double warmupOvershoot = 1.5;
constexpr double warmupSlack = 5;
constexpr double mostInOneSecond = warmupPerSecond * warmupOvershoot + warmupSlack;
constexpr milliseconds requestInterval{4};

/** A backend server that answers all requests at once, and counts them. */
struct CountedServer
{
    std::string id;
    std::string dataCentre;
    std::unique_ptr<Http1Server> http;
    std::vector<TimePoint> arrivals;
};

/** An entry whose servers of one data centre have been evacuated and become cold around their return. */
class ReturnedDataCentreTest : public ::testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_TRUE(store_.listen("127.0.0.1:0", "127.0.0.1:0"));
        for (const auto *dataCentre : {"a", "b", "b"}) {
            addServer(dataCentre);
        }
        store_.put("op", "config", catalogue().dump());
        auto settings = settingsOfEntry(store_);
        settings.gateway.headers = {.attemptId = "Attempt-Id",
                                    .timeLeft = "Deadline-Ms",
                                    .expectedServer = "Expect-Instance",
                                    .signature = "Server-Seal",
                                    .notRun = "Not-Executed",
                                    .warmup = "Warmup-Ms"};
        node_ = std::make_unique<PlatformNode>(loop_, random_, settings);
    }

    static Json catalogue()
    {
        return {{"Version", 3},
                {"Routes",
                 {{{"Name", "look"},
                   {"Hostname", "h"},
                   {"Prefix", "/look/"},
                   {"Type", "idempotent"},
                   {"TimeoutMs", 1500},
                   {"TargetLatencyMs", 150},
                   {"Service", "desk"},
                   {"MaxAttempts", 2}}}},
                {"Services",
                 {{{"Name", "desk"},
                   {"MaxConnections", 400},
                   {"WarmupS", warmup.count() / 1000.0},
                   {"WarmupPerS", warmupPerSecond}}}}};
    }

    void addServer(const std::string &dataCentre)
    {
        auto &server = servers_.emplace_back();
        server.id = "i-" + dataCentre + std::to_string(servers_.size());
        server.dataCentre = dataCentre;
        server.http = std::make_unique<Http1Server>(
            loop_, Http1Server::Options{.limits = [] { return Http1Server::Limits{}; }},
            [this, &server](const std::shared_ptr<Http1Exchange> &exchange) {
                server.arrivals.push_back(loop_.now());
                const auto *id = exchange->request().header("Attempt-Id");
                exchange->reply(200, {{"Attempt-Id", id == nullptr ? "" : *id}, {"Server-Seal", "s"}}, "found");
            });
        ASSERT_TRUE(server.http->listen("127.0.0.1:0"));
        writeRow(server, milliseconds(0));
    }

    void writeRow(const CountedServer &server, milliseconds warmupLeft)
    {
        const Json row = {{"Service", "desk"},
                          {"Address", "127.0.0.1:" + std::to_string(server.http->port())},
                          {"Zone", server.dataCentre},
                          {"Version", "v1"},
                          {"Slots", 100},
                          {"Phase", "ready"},
                          {"WarmupLeftMs", warmupLeft.count()},
                          {"Sequence", ++sequence_},
                          {"born", 1700000000000}};
        store_.put("servers", server.id, row.dump());
    }

    void evacuate()
    {
        store_.put("op", "evacuate/b", "{}");
    }

    void takeBack()
    {
        store_.drop("op", "evacuate/b");
    }

    /** The servers of the data centre become cold, and their rows say so. */
    void turnCold()
    {
        coldSince_ = loop_.now();
        for (const auto &server : servers_) {
            if (server.dataCentre == "b") {
                writeRow(server, warmup);
            }
        }
    }

    void sendOne()
    {
        std::erase_if(callers_, [](const auto &caller) { return caller->isOver; });
        auto &caller = *callers_.emplace_back(std::make_unique<Caller>());
        caller.connection = std::make_unique<Http1ClientConnection>(
            loop_, Http1ClientConnection::Options{.address = "127.0.0.1:" + std::to_string(node_->callerPort())});
        caller.connection->call(
            {.method = "GET",
             .target = "/look/x",
             .headers = {{"Host", "h"}, {"Attempt-Id", "a" + std::to_string(++sent_)}, {"Deadline-Ms", "1500"}}},
            {.head =
                 [this](const Http1ResponseHead &head) {
                     served_ += head.status == 200 ? 1 : 0;
                     return true;
                 },
             .data = [](std::string_view) {},
             .end = [&caller](Http1CallEnd) { caller.isOver = true; }});
    }

    void runFor(milliseconds time)
    {
        Timer end(loop_, [this] { loop_.stop(); });
        end.startOnce(time);
        loop_.run();
    }

    void startWithTraffic()
    {
        ASSERT_TRUE(node_->start());
        runFor(milliseconds(300));
        traffic_.startRepeating(requestInterval);
        runFor(milliseconds(700));
    }

    /** Requests in the busiest second of a cold server of the data centre. */
    std::size_t busiestSecond() const
    {
        std::size_t most = 0;
        for (const auto &server : servers_) {
            for (const auto first : server.arrivals) {
                if (server.dataCentre == "b" && first >= coldSince_ && first < coldSince_ + warmup) {
                    const auto count =
                        std::count_if(server.arrivals.begin(), server.arrivals.end(), [first](TimePoint arrival) {
                            return arrival >= first && arrival <= first + seconds(1);
                        });
                    most = std::max(most, static_cast<std::size_t>(count));
                }
            }
        }
        return most;
    }

    std::size_t arrivalsInDataCentre() const
    {
        std::size_t arrivals = 0;
        for (const auto &server : servers_) {
            arrivals += server.dataCentre == "b" ? server.arrivals.size() : 0;
        }
        return arrivals;
    }

    struct Caller
    {
        std::unique_ptr<Http1ClientConnection> connection;
        bool isOver = false;
    };

    EventLoop loop_;
    RandomSource random_{5};
    SoakStore store_{loop_, random_};
    std::list<CountedServer> servers_;
    std::list<std::unique_ptr<Caller>> callers_;
    std::unique_ptr<PlatformNode> node_;
    Timer traffic_{loop_, [this] { sendOne(); }};
    TimePoint coldSince_;
    int sequence_ = 0;
    int sent_ = 0;
    int served_ = 0;
};

// Guards against cold servers that are served as warm ones because the end of an evacuation, in one table, is read
// before the rows of the servers, in another one: of rows that are written together all but the first come after a
// pause (review/9).
TEST_F(ReturnedDataCentreTest, ServesServersAsColdWhichBecameSoJustBeforeTheReturn)
{
    evacuate();
    startWithTraffic();
    EXPECT_EQ(arrivalsInDataCentre(), 0U);
    turnCold();
    runFor(milliseconds(20));
    takeBack();
    runFor(milliseconds(1500));
    EXPECT_LE(static_cast<double>(busiestSecond()), mostInOneSecond);
    EXPECT_GT(arrivalsInDataCentre(), 0U);
}

// The same while the pause after another change of the servers' rows runs.
TEST_F(ReturnedDataCentreTest, ServesServersAsColdWhoseRowsCameInAPause)
{
    evacuate();
    startWithTraffic();
    writeRow(servers_.front(), milliseconds(1));
    runFor(milliseconds(20));
    turnCold();
    takeBack();
    runFor(milliseconds(1500));
    EXPECT_LE(static_cast<double>(busiestSecond()), mostInOneSecond);
}

// The same when all of it happens while the store does not answer: the tables are read again one after the other.
TEST_F(ReturnedDataCentreTest, ServesServersAsColdWhichBecameSoWhileTheStoreWasAway)
{
    evacuate();
    startWithTraffic();
    store_.setFault(SoakStore::Fault::Silent);
    runFor(milliseconds(1000));
    turnCold();
    takeBack();
    runFor(milliseconds(100));
    store_.setFault(SoakStore::Fault::None);
    runFor(milliseconds(2500));
    EXPECT_LE(static_cast<double>(busiestSecond()), mostInOneSecond);
}

// The same when the store has dropped its history, so that both tables are read anew.
TEST_F(ReturnedDataCentreTest, ServesServersAsColdWhenTheTablesAreReadAnew)
{
    evacuate();
    startWithTraffic();
    writeRow(servers_.front(), milliseconds(1));
    runFor(milliseconds(20));
    turnCold();
    takeBack();
    store_.forgetHistory();
    runFor(milliseconds(1500));
    EXPECT_LE(static_cast<double>(busiestSecond()), mostInOneSecond);
}

// Guards against warm servers that are held back for long after their data centre's return.
TEST_F(ReturnedDataCentreTest, ServesWarmServersInFullAtOnce)
{
    evacuate();
    startWithTraffic();
    writeRow(servers_.front(), milliseconds(1));
    runFor(milliseconds(20));
    takeBack();
    runFor(milliseconds(400));
    // Two of three servers, with 250 requests a second for all of them.
    EXPECT_GT(arrivalsInDataCentre(), 40U);
}

// Guards against servers in service that become cold together and of which all but the first are served as warm ones
// for the pause after a change.
TEST_F(ReturnedDataCentreTest, LearnsAtOnceThatServersBecomeColdTogether)
{
    startWithTraffic();
    turnCold();
    runFor(milliseconds(1500));
    EXPECT_LE(static_cast<double>(busiestSecond()), mostInOneSecond);
    EXPECT_EQ(served_, sent_);
}

} // namespace
} // namespace hornbeamlane::platform
