#include "hornbeamlane_network/http/HttpServer.h"
#include "network/RawCaller.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>

namespace hornbeamlane {
namespace {

using std::chrono::milliseconds;

constexpr const char *htmlPage = "<HTML><BODY>done</BODY></HTML>\n";

/** A server whose answers a test gives, with a refusal page of its own. */
class HttpServerTest : public ::testing::Test
{
protected:
    void start(HttpServer::Handler handler)
    {
        server_ = std::make_unique<HttpServer>(
            loop_,
            HttpServer::Options{
                .memory = &*account_,
                .refusalPage =
                    [](int) { return HttpResponse{.status = 503, .contentType = "text/plain", .body = "not run"}; }},
            std::move(handler));
        ASSERT_TRUE(server_->listen("127.0.0.1", 0));
    }

    EventLoop loop_;
    std::optional<MemoryAccount> account_{std::in_place};
    std::unique_ptr<HttpServer> server_;
};

// Guards against the answer of an engine being replaced by the statement that its request has not run.
TEST_F(HttpServerTest, LeavesAnswersThatLookLikePagesOfTheLibrary)
{
    start([](const std::shared_ptr<HttpExchange> &exchange) {
        const HttpResponse page{.status = 200, .contentType = "text/html", .body = htmlPage};
        if (exchange->request().path == "/reply") {
            exchange->reply(page);
            return;
        }
        exchange->startStream({.status = 200, .contentType = "text/html"});
        exchange->sendChunk(htmlPage);
        exchange->finishStream();
    });
    for (const char *line : {"GET /reply HTTP/1.1", "GET /reply HTTP/1.0", "GET /stream HTTP/1.0"}) {
        RawCaller caller(server_->port());
        caller.send(std::string(line) + "\r\nHost: h\r\nConnection: close\r\n\r\n");
        EXPECT_TRUE(runLoopUntil(loop_, [&] {
            caller.read();
            return caller.end() != RawCaller::End::Open;
        })) << line;
        EXPECT_TRUE(caller.received().ends_with(htmlPage)) << line << ": " << caller.received();
    }
    RawCaller malformed(server_->port());
    malformed.send("GET\r\n\r\n");
    EXPECT_TRUE(runLoopUntil(loop_,
                             [&] {
                                 malformed.read();
                                 return malformed.received().ends_with("not run");
                             }))
        << "pages of the library must still be replaced: " << malformed.received();
}

// Guards against the refusal of a request that has begun to come being written into the middle of the answer before it,
// which the caller has not taken yet.
TEST_F(HttpServerTest, WritesNoRefusalIntoAnAnswerThatIsNotTaken)
{
    constexpr std::size_t answerBytes = std::size_t{16} * 1024 * 1024;
    constexpr std::size_t limit = std::size_t{64} * 1024 * 1024;
    account_.emplace(MemoryAccount::Options{.limit = limit});
    const std::string body(answerBytes, 'x');
    start([&](const std::shared_ptr<HttpExchange> &exchange) {
        exchange->reply({.status = 200, .contentType = "text/plain", .body = body});
    });
    RawCaller caller(server_->port(), 16 * 1024);
    caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runLoopUntil(loop_, [&] { return account_->heldBytes() > answerBytes / 2; }));
    caller.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nbody");
    runLoopFor(loop_, milliseconds(50));
    // The caller makes room in the system's buffers in the same turn in which memory runs short.
    for (int i = 0; i < 100; ++i) {
        caller.read();
    }
    ASSERT_LT(caller.received().size(), answerBytes);
    MemoryHold large(*account_, [] {});
    MemoryHold small(*account_, [] {});
    large.enter(HoldPhase::Running, loop_.now());
    small.enter(HoldPhase::Running, loop_.now());
    large.resize(limit - account_->heldBytes(), loop_.now());
    small.resize(std::size_t{1024} * 1024, loop_.now());
    EXPECT_TRUE(runLoopUntil(loop_, [&] {
        caller.read();
        return caller.end() != RawCaller::End::Open;
    }));
    EXPECT_EQ(caller.received().find("HTTP/1.1 503"), std::string::npos);
    EXPECT_LT(caller.received().size(), answerBytes);
}

// Guards against memory that a caller takes by sending on while it leaves an answer unread.
TEST_F(HttpServerTest, ReadsLittleBehindAnAnswerThatIsNotTaken)
{
    constexpr std::size_t answerBytes = std::size_t{8} * 1024 * 1024;
    constexpr std::size_t mostReadAhead = std::size_t{256} * 1024;
    const std::string body(answerBytes, 'x');
    int requests = 0;
    start([&](const std::shared_ptr<HttpExchange> &exchange) {
        ++requests;
        exchange->reply({.status = 200, .contentType = "text/plain", .body = body});
    });
    RawCaller caller(server_->port(), 16 * 1024);
    caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runLoopUntil(loop_, [&] { return account_->heldBytes() > answerBytes / 2; }));
    runLoopFor(loop_, milliseconds(50));
    const auto heldBefore = account_->heldBytes();
    const std::string next(std::size_t{400} * 1024, 'y');
    caller.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(next.size()) + "\r\n\r\n" + next);
    runLoopFor(loop_, milliseconds(200));
    EXPECT_LE(account_->heldBytes(), heldBefore + mostReadAhead);
    EXPECT_EQ(requests, 1);
    // The request is read on once the answer has been taken.
    EXPECT_TRUE(runLoopUntil(loop_, [&] {
        caller.read();
        return requests == 2;
    }));
}

// Guards against a refused caller that is told nothing: the text is written where no answer waits.
TEST_F(HttpServerTest, RefusesARequestWhoseAnswerBeforeHasBeenTaken)
{
    constexpr std::size_t limit = std::size_t{1024} * 1024;
    account_.emplace(MemoryAccount::Options{.limit = limit});
    start([&](const std::shared_ptr<HttpExchange> &exchange) {
        exchange->reply({.status = 200, .contentType = "text/plain", .body = "first"});
    });
    RawCaller caller(server_->port());
    caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runLoopUntil(loop_, [&] {
        caller.read();
        return caller.received().ends_with("first");
    }));
    caller.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nbody");
    runLoopFor(loop_, milliseconds(50));
    MemoryHold large(*account_, [] {});
    large.enter(HoldPhase::Running, loop_.now());
    large.resize(limit, loop_.now());
    EXPECT_TRUE(runLoopUntil(loop_, [&] {
        caller.read();
        return caller.end() != RawCaller::End::Open;
    }));
    EXPECT_NE(caller.received().find("HTTP/1.1 503"), std::string::npos);
}

// Guards against a cut stream that looks complete: to a caller of HTTP/1.0 the end of the connection ends the body.
TEST_F(HttpServerTest, ResetsAStreamWithoutChunksThatIsCut)
{
    std::shared_ptr<HttpExchange> running;
    start([&](const std::shared_ptr<HttpExchange> &exchange) {
        running = exchange;
        exchange->startStream({.status = 200, .contentType = "text/plain"});
        exchange->sendChunk("part");
    });
    for (const bool isCutByCaller : {false, true}) {
        RawCaller caller(server_->port());
        caller.send("GET / HTTP/1.0\r\nHost: h\r\n\r\n");
        ASSERT_TRUE(runLoopUntil(loop_, [&] {
            caller.read();
            return caller.received().ends_with("part");
        }));
        isCutByCaller ? caller.finishSending() : running->abortStream();
        EXPECT_TRUE(runLoopUntil(loop_, [&] {
            caller.read();
            return caller.end() != RawCaller::End::Open;
        }));
        EXPECT_EQ(caller.end(), RawCaller::End::Reset) << isCutByCaller;
    }
}

// Guards against the same when the end of a stream that the caller has not taken is dropped for lack of memory.
TEST_F(HttpServerTest, ResetsAStreamWithoutChunksThatIsDropped)
{
    constexpr std::size_t answerBytes = std::size_t{16} * 1024 * 1024;
    constexpr std::size_t limit = std::size_t{64} * 1024 * 1024;
    account_.emplace(MemoryAccount::Options{.limit = limit});
    const std::string body(answerBytes, 'x');
    start([&](const std::shared_ptr<HttpExchange> &exchange) {
        exchange->startStream({.status = 200, .contentType = "text/plain"});
        exchange->sendChunk(body);
        exchange->finishStream();
    });
    RawCaller caller(server_->port(), 16 * 1024);
    caller.send("GET / HTTP/1.0\r\nHost: h\r\n\r\n");
    ASSERT_TRUE(runLoopUntil(loop_, [&] { return account_->heldBytes() > answerBytes / 2; }));
    runLoopFor(loop_, milliseconds(50));
    MemoryHold large(*account_, [] {});
    MemoryHold small(*account_, [] {});
    large.enter(HoldPhase::Running, loop_.now());
    small.enter(HoldPhase::Running, loop_.now());
    large.resize(limit - account_->heldBytes(), loop_.now());
    small.resize(std::size_t{1024} * 1024, loop_.now());
    EXPECT_TRUE(runLoopUntil(loop_, [&] {
        caller.read();
        return caller.end() != RawCaller::End::Open;
    }));
    EXPECT_EQ(caller.end(), RawCaller::End::Reset);
    EXPECT_LT(caller.received().size(), answerBytes);
    EXPECT_TRUE(runLoopUntil(loop_, [&] { return account_->heldBytes() == large.bytes() + small.bytes(); }))
        << "the library must free the connection";
}

} // namespace
} // namespace hornbeamlane
