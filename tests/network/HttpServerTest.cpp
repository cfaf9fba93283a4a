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

} // namespace
} // namespace hornbeamlane
