#include "hornbeamlane_network/http1/Http1Caller.h"
#include "hornbeamlane_network/loop/Timer.h"
#include "standins/ScriptedServer.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <vector>

namespace hornbeamlane {
namespace {

using std::chrono::milliseconds;

// Guards against memory that a control interface takes by a reply without end, within the long time of a waiting call.
TEST(Http1CallerTest, GivesUpAReplyWithoutEnd)
{
    constexpr std::size_t mostBytesSent = 16 * 1024 * 1024;
    EventLoop loop;
    testing::ScriptedServer::Connection *flooding = nullptr;
    testing::ScriptedServer server(loop,
                                   [&](testing::ScriptedServer::Connection &connection, const std::string &, int) {
                                       connection.send("HTTP/1.1 200 OK\r\n\r\n");
                                       flooding = &connection;
                                   });
    std::size_t sent = 0;
    Timer pump(loop, [&] {
        if (flooding != nullptr && flooding->unsentBytes() == 0) {
            const std::string piece(64 * 1024, 'x');
            flooding->send(piece);
            sent += std::min(flooding->unsentBytes(), piece.size());
        }
    });
    pump.startRepeating(milliseconds(1));
    Http1Caller caller(loop);
    std::optional<Http1Caller::Reply> reply;
    caller.call({.address = server.address(), .target = "/", .timeout = milliseconds(30000)},
                [&](const Http1Caller::Reply &answer) {
                    reply = answer;
                    loop.stop();
                });
    Timer limit(loop, [&] { loop.stop(); });
    limit.startOnce(milliseconds(5000));
    loop.run();
    ASSERT_TRUE(reply);
    EXPECT_FALSE(reply->status);
    EXPECT_LE(sent, mostBytesSent);
}

// Guards against memory that many faulty servers take together, each by a reply that is not too long by itself, as when
// the reports of a whole group are read at once; sound servers beside them go on being heard.
TEST(Http1CallerTest, GivesUpTheLongestOfManyRepliesWithoutEnd)
{
    constexpr std::size_t servers = 20;
    constexpr std::size_t mostBytesHeld = 32 * 1024 * 1024;
    constexpr std::size_t bytesOfEach = 7 * 1024 * 1024;
    EventLoop loop;
    Http1Caller caller(loop);
    const std::string flood(bytesOfEach, 'x');
    std::vector<std::unique_ptr<testing::ScriptedServer>> flooding;
    std::size_t givenUp = 0;
    for (std::size_t i = 0; i < servers; ++i) {
        flooding.push_back(std::make_unique<testing::ScriptedServer>(
            loop, [&](testing::ScriptedServer::Connection &connection, const std::string &, int) {
                connection.send("HTTP/1.1 200 OK\r\n\r\n" + flood);
            }));
        caller.call({.address = flooding.back()->address(), .target = "/", .timeout = milliseconds(4000)},
                    [&](const Http1Caller::Reply &reply) { givenUp += reply.status ? 0 : 1; });
    }
    testing::ScriptedServer sound(loop, [](testing::ScriptedServer::Connection &connection, const std::string &, int) {
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    });
    std::size_t mostHeld = 0;
    int heard = 0;
    Timer look(loop, [&] {
        mostHeld = std::max(mostHeld, caller.heldBytes());
        caller.call({.address = sound.address(), .target = "/"},
                    [&](const Http1Caller::Reply &reply) { heard += reply.body == "ok" ? 1 : 0; });
    });
    look.startRepeating(milliseconds(20));
    Timer end(loop, [&] { loop.stop(); });
    end.startOnce(milliseconds(2000));
    loop.run();
    EXPECT_LE(mostHeld, mostBytesHeld);
    EXPECT_GE(givenUp, servers / 2);
    EXPECT_GE(heard, 10);
}

// Guards against memory that grows with each address that was ever called: servers come and go with new addresses.
TEST(Http1CallerTest, ForgetsAddressesWithoutConnections)
{
    EventLoop loop;
    Http1Caller caller(loop);
    std::vector<std::unique_ptr<testing::ScriptedServer>> servers;
    std::size_t ended = 0;
    const auto call = [&](const std::string &reply) {
        servers.push_back(std::make_unique<testing::ScriptedServer>(
            loop, [reply](testing::ScriptedServer::Connection &connection, const std::string &, int) {
                connection.send(reply);
            }));
        caller.call({.address = servers.back()->address(), .target = "/"}, [&](const Http1Caller::Reply &answer) {
            EXPECT_EQ(answer.body, "ok");
            ++ended;
            loop.stop();
        });
        loop.run();
    };
    call("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok");
    EXPECT_EQ(ended, 1U);
    EXPECT_EQ(caller.keptAddresses(), 0U);
    call("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    EXPECT_EQ(ended, 2U);
    EXPECT_EQ(caller.keptAddresses(), 1U);
    // The server leaves, and another one comes at a new address.
    servers.clear();
    Timer pause(loop, [&] { loop.stop(); });
    pause.startOnce(milliseconds(50));
    loop.run();
    call("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    EXPECT_EQ(ended, 3U);
    EXPECT_EQ(caller.keptAddresses(), 1U);
}

} // namespace
} // namespace hornbeamlane
