#include "gateway/SlowCaller.h"
#include "hornbeamlane_network/http1/Http1Server.h"
#include "hornbeamlane_network/loop/Timer.h"

#include <gtest/gtest.h>

#include <string>

namespace hornbeamlane {
namespace {

using std::chrono::milliseconds;

// Guards against a body that keeps its memory for ever because each byte restarts the timer.
TEST(BodyTimeLimitTest, EndsABodyThatComesByteByByte)
{
    EventLoop loop;
    int refusals = 0;
    Http1Server server(
        loop,
        {.limits =
             [] { return Http1Server::Limits{.headerTimeout = milliseconds(10000), .bodyTimeout = milliseconds(200)}; },
         .onRefused =
             [&](int status, std::string_view cause) {
                 EXPECT_EQ(status, 408);
                 EXPECT_EQ(cause, "too_slow");
                 ++refusals;
             }},
        [](const auto &) { FAIL() << "the body never ends"; });
    ASSERT_TRUE(server.listen("127.0.0.1:0"));
    SlowCaller caller(loop, server.port());
    caller.send("POST /x/ HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n");
    Timer drip(loop, [&] { caller.send("a"); });
    drip.startRepeating(milliseconds(10));
    Timer check(loop, [&] {
        if (!caller.received().empty()) {
            loop.stop();
        }
    });
    check.startRepeating(milliseconds(10));
    Timer limit(loop, [&] { loop.stop(); });
    limit.startOnce(milliseconds(8000));
    loop.run();
    EXPECT_TRUE(caller.received().starts_with("HTTP/1.1 408 ")) << caller.received();
    EXPECT_EQ(refusals, 1);
}

// Guards against a crowd of announced bodies that are read at the cost of all others.
TEST(BodyAdmissionTest, AnnouncedBodyWithoutRoomIsRefusedBeforeItIsRead)
{
    EventLoop loop;
    MemoryAccount memory({.limit = std::size_t{1024} * 1024});
    Http1Server server(loop, {.limits = [] { return Http1Server::Limits{}; }, .memory = &memory},
                       [](const std::shared_ptr<Http1Exchange> &exchange) { exchange->reply(200, {}, "small"); });
    ASSERT_TRUE(server.listen("127.0.0.1:0"));
    SlowCaller large(loop, server.port());
    SlowCaller small(loop, server.port());
    large.send("POST /x/ HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\n");
    small.send("POST /x/ HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi");
    Timer check(loop, [&] {
        if (!large.received().empty() && !small.received().empty()) {
            loop.stop();
        }
    });
    check.startRepeating(milliseconds(10));
    Timer limit(loop, [&] { loop.stop(); });
    limit.startOnce(milliseconds(8000));
    loop.run();
    EXPECT_TRUE(large.received().starts_with("HTTP/1.1 503 ")) << large.received();
    EXPECT_NE(large.received().find("Retry-After: 1\r\n"), std::string::npos);
    EXPECT_TRUE(small.received().starts_with("HTTP/1.1 200 ")) << small.received();
}

} // namespace
} // namespace hornbeamlane
