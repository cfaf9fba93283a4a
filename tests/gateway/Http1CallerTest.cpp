#include "hornbeamlane_network/http1/Http1Caller.h"
#include "hornbeamlane_network/loop/Timer.h"
#include "standins/ScriptedServer.h"

#include <gtest/gtest.h>

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

} // namespace
} // namespace hornbeamlane
