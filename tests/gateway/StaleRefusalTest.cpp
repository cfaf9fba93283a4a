#include "gateway/GatewayFixture.h"

#include <algorithm>

namespace hornbeamlane {
namespace {

/** A refusal with the id of the request that it belongs to, or with none. */
std::string refusal(int status, const std::string &attemptId)
{
    const auto id = attemptId.empty() ? std::string() : "X-Attempt-Id: " + attemptId + "\r\n";
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + id + "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
}

/** Faulty servers that write an earlier refusal once more on a kept connection. */
class StaleRefusalTest : public GatewayTest
{
protected:
    void SetUp() override
    {
        GatewayTest::SetUp();
        addServer(first_, "s1");
    }

    /** Refuses the first request of a connection; before its answer to a later one it writes that refusal again. */
    void handle(Connection &connection, const std::string &head)
    {
        const auto id = headerOf(head, "X-Attempt-Id");
        if (connection.requests() == 1) {
            refusedId_ = id;
            // A server whose address another one has answers nothing any more.
            connection.send(status_ == 421 ? answer(head, 200, "first") : refusal(status_, id));
            return;
        }
        ++runs_;
        later(milliseconds(10),
              [this, &connection] { connection.send(refusal(status_, isIdRepeated_ ? refusedId_ : "")); });
        later(milliseconds(30), [&connection, head] { connection.send(answer(head, 200, "done")); });
    }

    void later(milliseconds time, std::function<void()> action)
    {
        timers_.push_back(std::make_unique<Timer>(loop_, std::move(action)));
        timers_.back()->startOnce(time);
    }

    int status_ = 503;
    bool isIdRepeated_ = true;
    int runs_ = 0;
    std::string refusedId_;
    std::vector<std::unique_ptr<Timer>> timers_;
    ScriptedServer first_{loop_,
                          [this](Connection &connection, const std::string &head, int) { handle(connection, head); }};
};

// Guards against a refusal of an earlier request that is passed on for one that the server runs.
TEST_F(StaleRefusalTest, SkipsARefusalWithAnotherId)
{
    expectStatus(send("POST", "/order/"), 503);
    const auto result = send("POST", "/order/");
    expectStatus(result, 200);
    EXPECT_EQ(result->body, "done");
    EXPECT_EQ(first_.connections(), 1);
    EXPECT_EQ(runs_, 1);
}

// Guards against the same refusal without an id: the request may have run, so nothing is promised, and an order goes to
// no other server.
TEST_F(StaleRefusalTest, DoesNotTrustARefusalWithoutAnIdOnAKeptConnection)
{
    isIdRepeated_ = false;
    for (const int status : {503, 429, 421}) {
        status_ = status;
        int others = 0;
        ScriptedServer second(loop_, [&others](Connection &connection, const std::string &head, int) {
            ++others;
            connection.send(answer(head, 200, "second"));
        });
        auto first = std::make_unique<ScriptedServer>(
            loop_, [this](Connection &connection, const std::string &head, int) { handle(connection, head); });
        const auto name = std::to_string(status);
        gateway_->backends().retainOnly({}, std::nullopt);
        addServer(*first, "first" + name);
        send("POST", "/order/");
        runUntil([&] { return first->requests() == 1; });
        runFor(milliseconds(20));
        const auto result = send("POST", "/order/");
        runUntil([&] { return first->requests() == 2; });
        addServer(second, "second" + name);
        expectStatus(result, 502);
        runFor(milliseconds(40));
        EXPECT_EQ(others, 0) << status;
        EXPECT_EQ(first->connections(), 1) << status;
        EXPECT_EQ(result->head.header("Retry-After"), nullptr) << status;
    }
}

// Guards against an answer that is lost with the refusal before it: a look-up is asked for once more.
TEST_F(StaleRefusalTest, RepeatsALookUpThatMayHaveRun)
{
    isIdRepeated_ = false;
    send("GET", "/look/");
    runUntil([&] { return first_.requests() == 1; });
    ScriptedServer second(loop_, [](Connection &connection, const std::string &head, int) {
        connection.send(answer(head, 200, "second"));
    });
    runFor(milliseconds(20));
    const auto result = send("GET", "/look/");
    runUntil([&] { return first_.requests() == 2; });
    addServer(second, "s2");
    expectStatus(result, 200);
    EXPECT_EQ(result->body, "second");
}

// Guards against bytes that wait on an idle connection and are taken for the answer to the next request on it.
TEST_F(StaleRefusalTest, DropsAConnectionOnWhichARefusalComesUnasked)
{
    ScriptedServer server(loop_, [](Connection &connection, const std::string &head, int) {
        const auto id = headerOf(head, "X-Attempt-Id");
        if (id == "a1") {
            connection.send(refusal(503, id) + refusal(503, id));
            return;
        }
        connection.send(answer(head, 200, "done"));
    });
    gateway_->backends().retainOnly({}, std::nullopt);
    addServer(server, "s2");
    expectStatus(send("POST", "/order/"), 503);
    runFor(milliseconds(30));
    expectStatus(send("POST", "/order/"), 200);
    EXPECT_EQ(server.connections(), 2);
}

} // namespace
} // namespace hornbeamlane
