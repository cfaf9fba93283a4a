#include "hornbeamlane_entry/hornbeamlane_entry.h"
#include "hornbeamlane_network/http/HttpCall.h"
#include "hornbeamlane_network/loop/Timer.h"

#include <gtest/gtest.h>

#include <vector>

namespace hornbeamlane {
namespace {

using namespace std::chrono_literals;

/** A flow of one streamed chat; the test answers in the name of two servers. */
class DirectFlowTest : public ::testing::Test
{
protected:
    struct Received
    {
        std::optional<HttpCallEnd> end;
        std::string body;
    };

    void SetUp() override
    {
        ASSERT_TRUE(server_.listen("127.0.0.1", 0));
    }

    void startFlow(const std::shared_ptr<HttpExchange> &exchange)
    {
        CallerRequest request;
        request.dispatch.kind = WorkKind::Model;
        request.dispatch.body = "{}";
        request.dispatch.isStream = true;
        request.dispatch.isRepeatable = true;
        request.dispatch.remainingDeadline = 5s;
        RequestFlow::Hooks hooks;
        hooks.chooseTarget = [](const CallerRequest &, const std::vector<ServerId> &tried,
                                RequestFlow::NoTarget &) -> std::optional<RequestFlow::Target> {
            const auto number = tried.size() + 1;
            return RequestFlow::Target{.server = ServerId("s" + std::to_string(number)),
                                       .incarnation = Incarnation(number)};
        };
        hooks.nextAttempt = [this] { return AttemptId{.entry = Incarnation(9), .sequence = ++attempts_}; };
        hooks.send = [](const RequestFlow::Target &, const Message &) { return true; };
        hooks.dispatched = [](const auto &, const auto &, const auto &) {};
        hooks.ended = [](const auto &, const auto &, bool) {};
        hooks.engineLost = [](const auto &, std::uint64_t) {};
        hooks.takeRetry = [this](TimePoint) { return attempts_ < 2; };
        hooks.now = [this] { return loop_.now(); };
        flow_ = std::make_unique<DirectFlow>(
            std::move(request),
            CallerReply(exchange,
                        {.refused = [](const Refusal &) {}, .firstByte = [] {}, .tokens = [](std::size_t) {}}),
            std::move(hooks));
        flow_->start();
    }

    /** Gives the flow a message of the present attempt. */
    template <class T>
    void give(T message)
    {
        message.attempt = {.entry = Incarnation(9), .sequence = attempts_};
        flow_->onMessage(ServerId("s" + std::to_string(attempts_)), Incarnation(attempts_), message);
    }

    Received receive(const std::function<void()> &answer)
    {
        Received received;
        HttpCall call(loop_, {.address = "127.0.0.1:" + std::to_string(server_.port()), .method = "POST"},
                      {.head = [](const HttpResponse &) {},
                       .data = [&](std::string_view bytes) { received.body.append(bytes); },
                       .end =
                           [&](HttpCallEnd end) {
                               received.end = end;
                               loop_.stop();
                           }});
        Timer answers(loop_, [&] { answer(); });
        answers.startOnce(50ms);
        Timer bound(loop_, [&] { loop_.stop(); });
        bound.startOnce(3s);
        loop_.run();
        return received;
    }

    EventLoop loop_;
    HttpServer server_{loop_, {}, [this](const std::shared_ptr<HttpExchange> &exchange) { startFlow(exchange); }};
    std::unique_ptr<DirectFlow> flow_;
    std::uint64_t attempts_ = 0;
};

// Guards against an error's text in the middle of a stream, and against a stream that ends with an error as if it were
// complete: the stream breaks off, and the next server answers with an error.
TEST_F(DirectFlowTest, PassesOnNothingOfAnErrorAfterABrokenStream)
{
    const std::string part = "data: 1\n\n";
    for (const std::string error : {"the engine fails\n\n", "data: failed\n\n", "no end", ""}) {
        for (const auto &[status, type] :
             {std::pair(500, "text/plain"), {500, "text/event-stream"}, {200, "text/plain"}}) {
            attempts_ = 0;
            const auto received = receive([&, status = status, type = type] {
                give(ResponseHead{.status = 200, .contentType = "text/event-stream"});
                give(ResponseData{.sequence = 1, .bytes = part + "data: 2"});
                flow_->onLinkLost(ServerId("s1"), Incarnation(1));
                give(ResponseHead{.status = status, .contentType = type});
                give(ResponseData{.sequence = 1, .bytes = error});
                give(ResponseEnd{.sequence = error.empty() ? 1U : 2U});
            });
            EXPECT_EQ(received.end, HttpCallEnd::BrokenOff) << status << type << error;
            EXPECT_TRUE(part.starts_with(received.body) || received.body.starts_with(part)) << received.body;
            EXPECT_TRUE(error.empty() || received.body.find(error) == std::string::npos) << received.body;
        }
    }
}

// Guards against a stream that is not continued by the next server.
TEST_F(DirectFlowTest, GoesOnWithABrokenStream)
{
    const auto received = receive([&] {
        give(ResponseHead{.status = 200, .contentType = "text/event-stream"});
        give(ResponseData{.sequence = 1, .bytes = "data: 1\n\ndata: 2"});
        flow_->onLinkLost(ServerId("s1"), Incarnation(1));
        give(ResponseHead{.status = 200, .contentType = "text/event-stream"});
        give(ResponseData{.sequence = 1, .bytes = "data: 2\n\n"});
        give(ResponseEnd{.sequence = 2});
    });
    EXPECT_EQ(received.end, HttpCallEnd::Complete);
    EXPECT_EQ(received.body, "data: 1\n\ndata: 2\n\n");
}

} // namespace
} // namespace hornbeamlane
