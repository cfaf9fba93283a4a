#include "hornbeamlane_network/http1/Http1ClientConnection.h"
#include "network/RawCaller.h"
#include "standins/ScriptedServer.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace hornbeamlane {
namespace {

// Guards against a request without an answer: reading was paused for a slow caller when the answer before it ended.
TEST(Http1ClientConnectionTest, ReadsTheNextAnswerAfterAnEndWhilePaused)
{
    EventLoop loop;
    testing::ScriptedServer server(loop, [](testing::ScriptedServer::Connection &connection, const std::string &, int) {
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    });
    Http1ClientConnection connection(loop, {.address = server.address()});
    for (int call = 1; call <= 2; ++call) {
        std::optional<Http1CallEnd> result;
        connection.call({.method = "GET", .target = "/", .headers = {{"Host", "h"}}, .body = {}},
                        {.head = [](const auto &) { return true; },
                         .data = [&](auto) { connection.pauseReading(); },
                         .end = [&](Http1CallEnd end) { result = end; }});
        EXPECT_TRUE(runLoopUntil(loop, [&] { return result.has_value(); })) << "call " << call;
        ASSERT_EQ(result, Http1CallEnd::Complete) << "call " << call;
        ASSERT_TRUE(connection.isReusable());
    }
    EXPECT_EQ(server.connections(), 1);
}

// Guards against a kept connection that goes on counting as usable after its server has closed it.
TEST(Http1ClientConnectionTest, NoticesTheServersCloseAfterAnEndWhilePaused)
{
    EventLoop loop;
    testing::ScriptedServer::Connection *accepted = nullptr;
    testing::ScriptedServer server(loop,
                                   [&](testing::ScriptedServer::Connection &connection, const std::string &, int) {
                                       connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                                       accepted = &connection;
                                   });
    Http1ClientConnection connection(loop, {.address = server.address()});
    connection.call({.method = "GET", .target = "/", .headers = {{"Host", "h"}}, .body = {}},
                    {.head = [](const auto &) { return true; },
                     .data = [&](auto) { connection.pauseReading(); },
                     .end = [](Http1CallEnd) {}});
    ASSERT_TRUE(runLoopUntil(loop, [&] { return connection.isReusable(); }));
    accepted->close();
    EXPECT_TRUE(runLoopUntil(loop, [&] { return !connection.isReusable(); }));
}

// Guards against a HEAD request that waits for a body until its deadline because another answer came before its own.
TEST(Http1ClientConnectionTest, ReadsAnAnswerToHeadBehindASkippedOne)
{
    EventLoop loop;
    testing::ScriptedServer server(loop, [](testing::ScriptedServer::Connection &connection, const std::string &, int) {
        connection.send("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 7\r\n\r\n"
                        "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 7\r\n\r\n");
    });
    Http1ClientConnection connection(loop, {.address = server.address()});
    std::optional<Http1CallEnd> result;
    connection.call({.method = "HEAD", .target = "/", .headers = {{"Host", "h"}}, .body = {}},
                    {.head = [](const Http1ResponseHead &head) { return *head.header("Id") == "own"; },
                     .data = [](auto) {},
                     .end = [&](Http1CallEnd end) { result = end; }});
    EXPECT_TRUE(runLoopUntil(loop, [&] { return result.has_value(); }));
    EXPECT_EQ(result, Http1CallEnd::Complete);
}

} // namespace
} // namespace hornbeamlane
