#include "hornbeamlane_network/http1/Http1Server.h"
#include "hornbeamlane_network/http1/Http1ClientConnection.h"
#include "hornbeamlane_network/loop/Timer.h"
#include "network/RawCaller.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>

namespace hornbeamlane {
namespace {

// Guards against ended connections that outlive their server and release memory of an account that is gone.
TEST(Http1ServerTest, DestroysEndedConnectionsWithTheServer)
{
    EventLoop loop;
    auto account = std::make_unique<MemoryAccount>();
    auto server = std::make_unique<Http1Server>(
        loop, Http1Server::Options{.limits = [] { return Http1Server::Limits(); }, .memory = account.get()},
        [&](const auto &exchange) {
            exchange->abort();
            // The connection has ended, and the task that destroys it has not run.
            loop.stop();
        });
    ASSERT_TRUE(server->listen("127.0.0.1:0"));
    Http1ClientConnection caller(loop, {.address = "127.0.0.1:" + std::to_string(server->port())});
    caller.call({.method = "GET", .target = "/", .headers = {{"Host", "h"}}, .body = {}},
                {.head = [](const auto &) { return true; }, .data = [](auto) {}, .end = [](auto) {}});
    Timer limit(loop, [&] { loop.stop(); });
    limit.startOnce(std::chrono::seconds(5));
    loop.run();

    EXPECT_EQ(server->connectionCount(), 0U);
    EXPECT_GT(account->heldBytes(), 0U) << "the connection must still wait for its destruction";
    server.reset();
    EXPECT_EQ(account->heldBytes(), 0U);
    account.reset();
}

// Guards against bytes behind an answer to HEAD, which the caller takes for the start of the next answer.
TEST(Http1ServerTest, SendsNoBodyInAStreamedAnswerToHead)
{
    EventLoop loop;
    Http1Server server(loop, {.limits = [] { return Http1Server::Limits(); }}, [](const auto &exchange) {
        exchange->startStream(200, {});
        exchange->sendPiece("piece");
        exchange->finishStream();
    });
    ASSERT_TRUE(server.listen("127.0.0.1:0"));
    RawCaller caller(server.port());
    caller.send("HEAD / HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_TRUE(runLoopUntil(loop, [&] {
        caller.read();
        return caller.received().find("\r\n\r\n") != std::string::npos;
    }));
    runLoopFor(loop, std::chrono::milliseconds(50));
    caller.read();
    EXPECT_TRUE(caller.received().ends_with("chunked\r\n\r\n")) << caller.received();
    EXPECT_EQ(caller.end(), RawCaller::End::Open);
}

// Guards against a cut stream that looks complete: to a caller of HTTP/1.0 the end of the connection ends the body.
TEST(Http1ServerTest, ResetsAStreamWithoutChunksThatIsCut)
{
    enum class Cut { ByServer, ByCaller, ByEndOfServer };
    for (const auto cut : {Cut::ByServer, Cut::ByCaller, Cut::ByEndOfServer}) {
        EventLoop loop;
        std::shared_ptr<Http1Exchange> running;
        auto server = std::make_unique<Http1Server>(
            loop, Http1Server::Options{.limits = [] { return Http1Server::Limits(); }}, [&](const auto &exchange) {
                running = exchange;
                exchange->startStream(200, {});
                exchange->sendPiece("part");
            });
        ASSERT_TRUE(server->listen("127.0.0.1:0"));
        RawCaller caller(server->port());
        caller.send("GET / HTTP/1.0\r\nHost: h\r\n\r\n");
        ASSERT_TRUE(runLoopUntil(loop, [&] {
            caller.read();
            return caller.received().ends_with("part");
        }));
        switch (cut) {
        case Cut::ByServer:
            running->abort();
            break;
        case Cut::ByCaller:
            caller.finishSending();
            break;
        case Cut::ByEndOfServer:
            server.reset();
            break;
        }
        EXPECT_TRUE(runLoopUntil(loop, [&] {
            caller.read();
            return caller.end() != RawCaller::End::Open;
        }));
        EXPECT_EQ(caller.end(), RawCaller::End::Reset) << static_cast<int>(cut);
    }
}

// Guards against a caller of HTTP/1.0 that waits for the end of a stream: it asks to keep the connection, whose end
// alone ends a body without chunks.
TEST(Http1ServerTest, EndsAStreamWithoutChunksWithTheConnection)
{
    EventLoop loop;
    Http1Server server(loop, {.limits = [] { return Http1Server::Limits(); }}, [](const auto &exchange) {
        exchange->startStream(200, {});
        exchange->sendPiece("whole");
        exchange->finishStream();
    });
    ASSERT_TRUE(server.listen("127.0.0.1:0"));
    RawCaller caller(server.port());
    caller.send("GET / HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n");
    EXPECT_TRUE(runLoopUntil(loop, [&] {
        caller.read();
        return caller.end() != RawCaller::End::Open;
    }));
    EXPECT_EQ(caller.end(), RawCaller::End::Orderly);
    EXPECT_TRUE(caller.received().ends_with("\r\n\r\nwhole")) << caller.received();
}

// Guards against a slow head that takes the time of the body after it, so that the request is refused as too slow.
TEST(Http1ServerTest, GivesABodyItsOwnTimeAfterASlowHead)
{
    using std::chrono::milliseconds;
    EventLoop loop;
    Http1Server server(loop, {.limits = [] { return Http1Server::Limits{.headerTimeout = milliseconds(600)}; }},
                       [](const auto &exchange) { exchange->reply(200, {}, exchange->request().body); });
    ASSERT_TRUE(server.listen("127.0.0.1:0"));
    RawCaller caller(server.port());
    caller.send("POST / HTTP/1.1\r\nHost: h\r\n");
    runLoopFor(loop, milliseconds(400));
    caller.send("Content-Length: 4\r\n\r\n");
    runLoopFor(loop, milliseconds(400));
    caller.send("body");
    EXPECT_TRUE(runLoopUntil(loop, [&] {
        caller.read();
        return !caller.received().empty();
    }));
    EXPECT_TRUE(caller.received().starts_with("HTTP/1.1 200")) << caller.received();
}

} // namespace
} // namespace hornbeamlane
