#include "gateway/GatewayFixture.h"

#include <set>

namespace hornbeamlane {
namespace {

// Guards against lost, doubled or joined events: the rest of a broken stream comes from another server.
TEST_F(GatewayTest, ResumesABrokenStreamAfterItsLastWholeEvent)
{
    std::string position = "none";
    const auto handler = [&](Connection &connection, const std::string &head, int) {
        const auto from = headerOf(head, "Last-Event-Id");
        if (from.empty()) {
            connection.send(streamHead(head) + chunk(event(1) + event(2) + "id: 3\nda"));
            connection.close();
            return;
        }
        position = from;
        connection.send(streamHead(head) + chunk(event(3) + event(4)) + "0\r\n\r\n");
    };
    ScriptedServer first(loop_, handler);
    ScriptedServer second(loop_, handler);
    addServer(first, "s1");
    addServer(second, "s2");
    const auto result = send("POST", "/chat/");
    expectStatus(result, 200);
    EXPECT_EQ(result->body, event(1) + event(2) + event(3) + event(4));
    EXPECT_EQ(position, "2");
}

// Guards against a stream that stops inside an event and is taken for a whole one, because its connection ends in an
// orderly way or its last chunk has come.
TEST_F(GatewayTest, ResumesAStreamThatEndsInsideAnEvent)
{
    int streams = 0;
    const auto handler = [&](Connection &connection, const std::string &head, int) {
        const auto from = headerOf(head, "Last-Event-Id");
        const std::string part = event(1) + event(2) + "id: 3\nda";
        if (!from.empty()) {
            EXPECT_EQ(from, "2");
            connection.send(openStreamHead(head) + event(3) + event(4));
        } else {
            connection.send(streams++ == 0 ? openStreamHead(head) + part
                                           : streamHead(head) + chunk(part) + "0\r\n\r\n");
        }
        connection.close();
    };
    ScriptedServer first(loop_, handler);
    ScriptedServer second(loop_, handler);
    addServer(first, "s1");
    addServer(second, "s2");
    for (int round = 0; round < 2; ++round) {
        const auto result = send("POST", "/chat/");
        expectStatus(result, 200);
        EXPECT_EQ(result->body, event(1) + event(2) + event(3) + event(4));
    }
}

// Guards against an answer that has neither a length nor chunks being lost, cut or kept open.
TEST_F(GatewayTest, PassesOnAnswersThatEndWithTheirConnection)
{
    ScriptedServer server(loop_, [](Connection &connection, const std::string &head, int) {
        if (head.starts_with("POST /chat/")) {
            connection.send(openStreamHead(head) + event(1) + event(2));
        } else {
            connection.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + headerOf(head, "X-Attempt-Id")
                            + "\r\nX-Server-Signature: s\r\n\r\nwhole body");
        }
        connection.close();
    });
    addServer(server, "s1");
    const auto stream = send("POST", "/chat/");
    expectStatus(stream, 200);
    EXPECT_EQ(stream->body, event(1) + event(2));
    const auto look = send("GET", "/look/");
    expectStatus(look, 200);
    EXPECT_EQ(look->body, "whole body");
}

// Guards against an answer without a length whose connection is reset: it is not whole.
TEST_F(GatewayTest, DoesNotTakeAResetForTheEndOfAnAnswer)
{
    ScriptedServer server(loop_, [this](Connection &connection, const std::string &head, int) {
        connection.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + headerOf(head, "X-Attempt-Id")
                        + "\r\nX-Server-Signature: s\r\n\r\nwhole bo");
        resetLater_ = std::make_unique<Timer>(loop_, [&connection] { connection.reset(); });
        resetLater_->startOnce(milliseconds(30));
    });
    addServer(server, "s1");
    expectStatus(send("POST", "/order/"), 502);
}

// Guards against an answer of another kind in the middle of a stream: its text, its head, or an end that looks
// complete.
TEST_F(GatewayTest, PassesOnNothingOfAnErrorAfterABrokenStream)
{
    const std::string eventLike = "id: 9\ndata: error\n\n";
    const std::vector<std::function<std::string(const std::string &head)>> errors = {
        [&](const std::string &head) { return answer(head, 500, "failed\n\n"); },
        [&](const std::string &head) { return answer(head, 500, eventLike, "Content-Type: text/event-stream\r\n"); },
        [&](const std::string &head) { return answer(head, 500, ""); },
        [&](const std::string &head) { return answer(head, 404, "no such thing\n\n"); },
        [&](const std::string &head) { return answer(head, 200, "failed\n\n", "Content-Type: text/plain\r\n"); },
        [&](const std::string &head) { return answer(head, 200, eventLike, "Content-Type: application/json\r\n"); },
        [&](const std::string &head) { return answer(head, 204, ""); },
        [&](const std::string &head) { return answer(head, 206, eventLike); },
        [&](const std::string &head) { return answer(head, 503, "busy\n\n", "X-Not-Run: 1\r\n"); },
        [&](const std::string &head) { return answer(head, 503, "busy\n\n"); },
        [&](const std::string &) {
            return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(eventLike.size()) + "\r\n\r\n" + eventLike;
        },
        [&](const std::string &) {
            return "HTTP/1.1 500 X\r\nConnection: close\r\n\r\nHTTP/1.1 200 OK\r\n\r\n" + eventLike;
        },
        [&](const std::string &) { return "no answer\r\n\r\n" + eventLike; },
    };
    for (std::size_t index = 0; index < errors.size(); ++index) {
        const auto handler = [&](Connection &connection, const std::string &head, int) {
            if (headerOf(head, "Last-Event-Id").empty()) {
                connection.send(streamHead(head) + chunk(event(1) + event(2) + "id: 3\nda"));
            } else {
                connection.send(errors[index](head));
            }
            connection.close();
        };
        ScriptedServer first(loop_, handler);
        ScriptedServer second(loop_, handler);
        gateway_->backends().retainOnly({}, std::nullopt);
        addServer(first, "first" + std::to_string(index));
        addServer(second, "second" + std::to_string(index));
        const auto result = send("POST", "/chat/");
        runUntil([&] { return result->end.has_value(); });
        EXPECT_EQ(result->end, Http1CallEnd::BrokenOff) << index;
        EXPECT_EQ(result->body, event(1) + event(2)) << index;
        EXPECT_EQ(first.requests() + second.requests(), 2) << index;
    }
}

// Guards against a broken stream that looks complete to its caller.
TEST_F(GatewayTest, CutsAStreamThatNobodyCanFinish)
{
    ScriptedServer server(loop_, [](Connection &connection, const std::string &head, int) {
        connection.send(streamHead(head) + chunk(event(1)));
        connection.close();
    });
    addServer(server, "s1");
    const auto result = send("POST", "/chat/");
    runUntil([&] { return result->end.has_value(); });
    EXPECT_EQ(result->end, Http1CallEnd::BrokenOff);
    EXPECT_EQ(result->body, event(1));
}

// Guards against servers that go on working for callers that have left.
TEST_F(GatewayTest, CancelsTheStreamOfACallerThatLeaves)
{
    ScriptedServer server(loop_, [](Connection &connection, const std::string &head, int) {
        connection.send(streamHead(head) + chunk(event(1)));
    });
    addServer(server, "s1");
    const auto result = send("POST", "/chat/");
    runUntil([&] { return !result->body.empty(); });
    callers_.clear();
    runUntil([&] { return server.closedByPeer() == 1; });
}

// Guards against memory that grows with a caller that does not read: the server is not read either.
TEST_F(GatewayTest, BoundsTheMemoryOfASlowCaller)
{
    constexpr std::size_t streamBytes = 32 * 1024 * 1024;
    constexpr std::size_t bound = 8 * 1024 * 1024;
    std::string piece;
    for (int i = 0; i < 64; ++i) {
        piece += "data: " + std::string(1000, 'x') + "\n\n";
    }
    Connection *backend = nullptr;
    ScriptedServer server(loop_, [&](Connection &connection, const std::string &head, int) {
        backend = &connection;
        connection.send(streamHead(head));
    });
    addServer(server, "s1");
    const auto result = send("POST", "/chat/");
    runUntil([&] { return backend != nullptr; });
    callers_.back()->pauseReading();
    for (std::size_t sent = 0; sent < streamBytes; sent += piece.size()) {
        backend->send(chunk(piece));
    }
    runFor(milliseconds(300));
    EXPECT_LT(gateway_->bufferedBytes(), bound);
}

// Guards against memory of failed answers that are kept while their requests run once more: each may have 8 MiB, and
// servers that fail do so for many requests at a time.
TEST_F(GatewayTest, BoundsFailedAnswersThatAreKept)
{
    constexpr std::size_t requests = 24;
    constexpr std::size_t failureBytes = 2 * 1024 * 1024;
    constexpr std::size_t mostBytesKept = 24 * 1024 * 1024;
    std::set<std::string> failed;
    std::vector<Connection *> repeats;
    const auto handler = [&](Connection &connection, const std::string &head, int) {
        if (failed.insert(headerOf(head, "X-Attempt-Id")).second) {
            connection.send(answer(head, 500, std::string(failureBytes, 'x')));
        } else {
            repeats.push_back(&connection);
        }
    };
    ScriptedServer first(loop_, handler);
    ScriptedServer second(loop_, handler);
    ScriptedServer third(loop_, handler);
    for (const auto &[server, id] : {std::pair(&first, "s1"), {&second, "s2"}, {&third, "s3"}}) {
        gateway_->backends().update({.id = ServerId(id),
                                     .service = ServiceId("desk"),
                                     .address = server->address(),
                                     .dataCentre = DataCentreId("here"),
                                     .slots = 64},
                                    loop_.now());
    }
    std::vector<std::shared_ptr<CallerAnswer>> results;
    while (results.size() < requests) {
        results.push_back(send("GET", "/look/"));
        runUntil([&] { return repeats.size() == results.size(); });
    }
    for (auto *connection : repeats) {
        connection->reset();
    }
    std::size_t kept = 0;
    for (const auto &result : results) {
        runUntil([&] { return result->end.has_value(); });
        kept += result->head.status == 500 ? result->body.size() : 0;
    }
    EXPECT_GT(kept, 0U);
    EXPECT_LE(kept, mostBytesKept);
}

} // namespace
} // namespace hornbeamlane
