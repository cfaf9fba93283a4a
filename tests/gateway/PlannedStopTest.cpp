#include "gateway/GatewayFixture.h"
#include "gateway/SlowCaller.h"

namespace hornbeamlane {
namespace {

/** A gateway whose planned stop lasts 3 s: it takes connections for half of that and cuts off 0.4 s before its end. */
class PlannedStopTest : public GatewayTest
{
protected:
    static constexpr milliseconds bound{3000};

    PlannedStopTest()
    {
        shutdownBound_ = bound;
        routeTimeout_ = milliseconds(8000);
    }

    void stop()
    {
        gateway_->shutDown([this] { isDown_ = true; });
    }

    void expectAnswered(const std::shared_ptr<CallerAnswer> &result, int status)
    {
        runUntil([&] { return result->end.has_value(); });
        EXPECT_EQ(result->end, Http1CallEnd::Complete);
        EXPECT_EQ(result->head.status, status);
    }

    bool isDown_ = false;
};

// Guards against an order that is taken late in the grace of a planned stop, passed on, and cut without an answer.
TEST_F(PlannedStopTest, RefusesAtOnceAnOrderThatCannotEndInTime)
{
    ScriptedServer server(loop_, [](Connection &, const std::string &, int) {});
    addServer(server, "s1");
    stop();
    runFor(milliseconds(1200));
    const auto order = send("POST", "/order/", "key", "8000");
    expectAnswered(order, 503);
    EXPECT_EQ(order->body, "stopping\n");
    ASSERT_NE(order->head.header("Retry-After"), nullptr);
    EXPECT_LE(std::stod(*order->head.header("Retry-After")), 0.5);
    EXPECT_EQ(server.requests(), 0);
}

// Guards against refusals of work that ends well within the grace.
TEST_F(PlannedStopTest, StillServesWhatEndsInTime)
{
    ScriptedServer server(loop_, [](Connection &connection, const std::string &head, int) {
        connection.send(answer(head, 200, event(1)));
    });
    addServer(server, "s1");
    stop();
    runFor(milliseconds(1200));
    expectAnswered(send("POST", "/order/", "key", "1000"), 200);
    expectAnswered(send("GET", "/chat/", "key", "2000"), 200);
}

// Guards against a server that is told to work on for longer than the entry waits for it, and against an order that is
// still at its server at the end of the grace and ends with a closed connection.
TEST_F(PlannedStopTest, AnswersAnOrderThatIsStillAtItsServerAtTheEnd)
{
    std::string seen;
    ScriptedServer server(loop_, [&](Connection &, const std::string &head, int) { seen = head; });
    addServer(server, "s1");
    const auto before = send("POST", "/order/", "key", "8000");
    runUntil([&] { return !seen.empty(); });
    stop();
    const auto lookup = send("GET", "/chat/", "key", "4000");
    runUntil([&] { return server.requests() == 2; });
    EXPECT_LE(std::stoi(headerOf(seen, "X-Time-Left-Ms")), 2600);
    expectAnswered(before, 504);
    expectAnswered(lookup, 504);
    runUntil([&] { return isDown_; });
}

// Guards against a stream that is cut at the end of the grace in a way that makes it look whole.
TEST_F(PlannedStopTest, CutsAStreamSoThatItsCallerCanTell)
{
    ScriptedServer server(loop_, [](Connection &connection, const std::string &head, int) {
        connection.send(streamHead(head) + chunk(event(1)));
    });
    addServer(server, "s1");
    const auto stream = send("GET", "/chat/", "key", "8000");
    runUntil([&] { return !stream->body.empty(); });
    stop();
    runUntil([&] { return stream->end.has_value(); });
    EXPECT_EQ(stream->end, Http1CallEnd::BrokenOff);
    runUntil([&] { return isDown_; });
}

// Guards against requests that wait for a place when the stop begins, and are sent on so late that they are cut.
TEST_F(PlannedStopTest, RefusesWaitingRequestsThatGetTheirPlaceTooLate)
{
    std::vector<std::pair<Connection *, std::string>> running;
    ScriptedServer server(
        loop_, [&](Connection &connection, const std::string &head, int) { running.emplace_back(&connection, head); });
    GroupPlace place{.group = GroupId("g"), .epoch = 1, .rank = 0, .size = 2, .isOpen = true};
    addServer(server, "s1", place);
    for (int i = 0; i < 10; ++i) {
        send("GET", "/chat/", "key", "8000");
    }
    runUntil([&] { return running.size() == 10; });
    const auto waiting = send("GET", "/chat/", "key", "8000");
    runFor(milliseconds(20));
    stop();
    runFor(milliseconds(100));
    running.front().first->send(answer(running.front().second, 200, "done"));
    expectAnswered(waiting, 503);
    EXPECT_EQ(server.requests(), 10);
}

// Guards against a caller that sends its body slowly through the grace and gets its request passed on at the end of it.
TEST_F(PlannedStopTest, RefusesARequestWhoseBodyEndsLate)
{
    ScriptedServer server(loop_, [](Connection &, const std::string &, int) {});
    addServer(server, "s1");
    SlowCaller caller(loop_, gateway_->callerPort());
    caller.send("POST /order/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: slow\r\nX-Api-Key: key\r\nX-Time-Left-Ms: 2000\r\n"
                "Content-Length: 4\r\n\r\nab");
    runFor(milliseconds(50));
    stop();
    runFor(milliseconds(1700));
    caller.send("cd");
    runUntil([&] { return caller.received().find("\r\n\r\n") != std::string::npos; });
    EXPECT_TRUE(caller.received().starts_with("HTTP/1.1 503 ")) << caller.received();
    EXPECT_EQ(server.requests(), 0);
}

// Guards against a request that has not been read whole at the end of the grace and ends without a word.
TEST_F(PlannedStopTest, RefusesARequestThatIsNotReadWhole)
{
    SlowCaller caller(loop_, gateway_->callerPort());
    runFor(milliseconds(20));
    stop();
    const auto begun = loop_.now();
    Timer trickle(loop_, [&] { caller.send("a"); });
    caller.send("POST /order/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: slow\r\nContent-Length: 400\r\n\r\n");
    trickle.startRepeating(milliseconds(200));
    runUntil([&] { return isDown_; });
    EXPECT_LE(loop_.now() - begun, bound);
    EXPECT_TRUE(caller.received().starts_with("HTTP/1.1 503 ")) << caller.received();
}

/** The same with a shorter time within which callers know of the stop. */
class LateStreamTest : public PlannedStopTest
{
protected:
    LateStreamTest()
    {
        stopNoticeTime_ = milliseconds(800);
    }
};

// Guards against a stream that is read whole late in the grace, passed on, and cut off with half of its time left.
TEST_F(LateStreamTest, RefusesAStreamWhoseBodyEndsLate)
{
    ScriptedServer server(loop_, [](Connection &connection, const std::string &head, int) {
        connection.send(streamHead(head) + chunk(event(1)));
    });
    addServer(server, "s1");
    SlowCaller caller(loop_, gateway_->callerPort());
    caller.send("POST /chat/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: slow\r\nX-Api-Key: key\r\nX-Time-Left-Ms: 2000\r\n"
                "Content-Length: 4\r\n\r\nab");
    runFor(milliseconds(50));
    stop();
    // The cut-off comes 1.4 s later: enough for half of the caller's time, not for all of it.
    runFor(milliseconds(1200));
    caller.send("cd");
    runUntil([&] { return caller.received().find("\r\n\r\n") != std::string::npos; });
    EXPECT_TRUE(caller.received().starts_with("HTTP/1.1 503 ")) << caller.received();
    EXPECT_EQ(server.requests(), 0);
}

// Guards against refusals of streams that come early in the grace: most end well before their callers' time is over.
TEST_F(LateStreamTest, StillSendsAStreamThatComesEarly)
{
    ScriptedServer server(loop_, [](Connection &connection, const std::string &head, int) {
        connection.send(streamHead(head) + chunk(event(1)) + "0\r\n\r\n");
    });
    addServer(server, "s1");
    stop();
    runFor(milliseconds(200));
    expectAnswered(send("GET", "/chat/", "key", "4000"), 200);
}

} // namespace
} // namespace hornbeamlane
