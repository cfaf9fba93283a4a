#include "gateway/GatewayMessages.h"
#include "hornbeamlane_gateway/hornbeamlane_gateway.h"

#include <gtest/gtest.h>

#include <set>

namespace hornbeamlane {
namespace {

using std::chrono::milliseconds;
using testing::headerOf;
using testing::ScriptedServer;
using Connection = ScriptedServer::Connection;

constexpr milliseconds longestTest{5000};

class GatewayTest : public ::testing::Test
{
protected:
    void SetUp() override
    {
        GatewaySettings settings{.name = "entry", .dataCentre = DataCentreId("here")};
        settings.callerAddress = "127.0.0.1:0";
        settings.readyAddress = "127.0.0.1:0";
        settings.peerAddress = "127.0.0.1:0";
        settings.retryRatio = 1;
        settings.retryAllowance = 100;
        gateway_ = std::make_unique<Gateway>(loop_, random_, settings,
                                             GatewayHooks{.isMapHolder = [] { return false; },
                                                          .tableVersions = [] { return std::vector<std::uint64_t>(); },
                                                          .peerVersions = [](const auto &) {}});
        ASSERT_TRUE(gateway_->start());
        DispatchCatalogue catalogue{.version = CatalogueVersion(1)};
        catalogue.routes = {route("order", "/order/", RequestKind::NonIdempotent, "desk", 1),
                            route("look", "/look/", RequestKind::Idempotent, "desk", 2),
                            route("chat", "/chat/", RequestKind::Stream, "desk", 2)};
        catalogue.routes.back().isResumable = true;
        catalogue.services = {{.name = ServiceId("desk")}};
        catalogue.teams = {{TeamSpec{.name = TeamId("glue"), .keys = {"key"}}}};
        gateway_->applyCatalogue(std::move(catalogue));
    }

    static RouteSpec route(const std::string &name, const std::string &prefix, RequestKind kind,
                           const std::string &service, std::uint32_t attempts)
    {
        return {.name = RouteId(name),
                .host = "h",
                .prefix = prefix,
                .kind = kind,
                .services = {{.service = ServiceId(service)}},
                .timeout = milliseconds(1500),
                .maxAttempts = attempts};
    }

    void addServer(const ScriptedServer &server, const std::string &id, std::optional<GroupPlace> group = std::nullopt)
    {
        gateway_->backends().update({.id = ServerId(id),
                                     .service = ServiceId("desk"),
                                     .address = server.address(),
                                     .dataCentre = DataCentreId("here"),
                                     .slots = 8,
                                     .group = std::move(group)},
                                    loop_.now());
    }

    std::shared_ptr<CallerAnswer> send(const std::string &method, const std::string &target,
                                       const std::string &key = "key", const std::string &timeLeft = "2000")
    {
        auto result = std::make_shared<CallerAnswer>();
        auto &connection = callers_.emplace_back(std::make_unique<Http1ClientConnection>(
            loop_, Http1ClientConnection::Options{.address = "127.0.0.1:" + std::to_string(gateway_->callerPort())}));
        HttpHeaders headers = {{"Host", "h"},
                               {"X-Attempt-Id", "a" + std::to_string(++attempts_)},
                               {"X-Time-Left-Ms", timeLeft},
                               {"X-Hornbeamlane-Team", "forged"}};
        if (!key.empty()) {
            headers.emplace_back("X-Api-Key", key);
        }
        connection->call({.method = method, .target = target, .headers = std::move(headers), .body = ""},
                         {.head =
                              [result](const Http1ResponseHead &head) {
                                  result->head = head;
                                  return true;
                              },
                          .data = [result](std::string_view bytes) { result->body.append(bytes); },
                          .end = [result](Http1CallEnd end) { result->end = end; }});
        return result;
    }

    void runUntil(const std::function<bool()> &isDone)
    {
        const auto end = loop_.now() + longestTest;
        Timer check(loop_, [&] {
            if (isDone() || loop_.now() > end) {
                loop_.stop();
            }
        });
        check.startRepeating(milliseconds(2));
        loop_.run();
        EXPECT_TRUE(isDone()) << "timed out";
    }

    void runFor(milliseconds time)
    {
        const auto end = loop_.now() + time;
        runUntil([&] { return loop_.now() >= end; });
    }

    void expectStatus(const std::shared_ptr<CallerAnswer> &result, int status)
    {
        runUntil([&] { return result->end.has_value(); });
        EXPECT_EQ(result->end, Http1CallEnd::Complete);
        EXPECT_EQ(result->head.status, status);
    }

    EventLoop loop_;
    RandomSource random_{3};
    std::unique_ptr<Gateway> gateway_;
    std::vector<std::unique_ptr<Http1ClientConnection>> callers_;
    std::unique_ptr<Timer> resetLater_;
    int attempts_ = 0;
};

// Guards against a key that leaks to a server, a team that a caller makes up, and a deadline that is not passed on.
TEST_F(GatewayTest, PassesRequestsOnWithTheTeamOfTheirKey)
{
    std::string seen;
    ScriptedServer server(loop_, [&](Connection &connection, const std::string &head, int) {
        seen = head;
        connection.send(answer(head, 200, "done"));
    });
    addServer(server, "s1");
    const auto result = send("POST", "/order/1?x=%20y");
    expectStatus(result, 200);
    EXPECT_EQ(result->body, "done");
    EXPECT_TRUE(seen.starts_with("POST /order/1?x=%20y HTTP/1.1\r\n")) << seen;
    EXPECT_EQ(headerOf(seen, "X-Hornbeamlane-Team"), "glue");
    EXPECT_EQ(headerOf(seen, "X-Expected-Server"), "s1");
    EXPECT_EQ(headerOf(seen, "X-Api-Key"), "");
    EXPECT_LE(std::stoi(headerOf(seen, "X-Time-Left-Ms")), 1500);
    EXPECT_EQ(seen.find("forged"), std::string::npos);
}

// Guards against wrong refusals: each of them names its reason by its status.
TEST_F(GatewayTest, RefusesWhatTheCatalogueDoesNotAllow)
{
    expectStatus(send("GET", "/unknown/"), 404);
    expectStatus(send("GET", "/look/", "wrong"), 401);
    expectStatus(send("GET", "/look/", ""), 401);
    const auto noServer = send("GET", "/look/");
    expectStatus(noServer, 503);
    EXPECT_NE(noServer->head.header("Retry-After"), nullptr);
}

// Guards against an order that runs twice: after a broken connection it may have run.
TEST_F(GatewayTest, SendsAnOrderOnceWhenTheConnectionBreaks)
{
    ScriptedServer server(loop_, [](Connection &connection, const std::string &, int) { connection.reset(); });
    addServer(server, "s1");
    ScriptedServer other(loop_, [](Connection &connection, const std::string &, int) { connection.reset(); });
    addServer(other, "s2");
    expectStatus(send("POST", "/order/"), 502);
    EXPECT_EQ(server.requests() + other.requests(), 1);
}

// Guards against a refusal with 503, which promises that the order has not run, after a server failed with 503.
TEST_F(GatewayTest, DoesNotPromiseThatAFailedOrderHasNotRun)
{
    ScriptedServer server(
        loop_, [](Connection &connection, const std::string &head, int) { connection.send(answer(head, 503, "")); });
    addServer(server, "s1");
    expectStatus(send("POST", "/order/"), 502);
}

// Guards against giving up an order that the server has provably not run.
TEST_F(GatewayTest, SendsARejectedOrderToAnotherServer)
{
    int rejected = 0;
    const auto handler = [&](Connection &connection, const std::string &head, int) {
        connection.send(rejected++ == 0 ? answer(head, 503, "", "X-Not-Run: 1\r\n") : answer(head, 200, "done"));
    };
    ScriptedServer first(loop_, handler);
    ScriptedServer second(loop_, handler);
    addServer(first, "s1");
    addServer(second, "s2");
    expectStatus(send("POST", "/order/"), 200);
    EXPECT_EQ(first.requests(), 1);
    EXPECT_EQ(second.requests(), 1);
}

// Load pattern "a rank is lost under full load": once a rank has named the lost one, callers are told at once when to
// come back, instead of stalling at one rank after the other and using up the retries that all entries share.
TEST_F(GatewayTest, StopsSendingToAGroupThatHasLostARank)
{
    std::string faulty = "127.0.0.1:9";
    ScriptedServer server(loop_, [&](Connection &connection, const std::string &head, int) {
        connection.send(answer(head, 503, "", "X-Not-Run: 1\r\nX-Faulty-Server: " + faulty + "\r\n"));
    });
    GroupPlace place{.group = GroupId("g"), .epoch = 1, .rank = 0, .size = 2, .isOpen = true};
    addServer(server, "s1", place);
    // A rank that is itself too busy says nothing about the group.
    faulty = server.address();
    expectStatus(send("GET", "/look/"), 503);
    EXPECT_EQ(server.requests(), 1);
    faulty = "127.0.0.1:9";
    expectStatus(send("GET", "/look/"), 503);
    EXPECT_EQ(server.requests(), 2);
    const auto refused = send("GET", "/look/");
    expectStatus(refused, 503);
    EXPECT_EQ(server.requests(), 2);
    EXPECT_EQ(refused->body, "group_broken\n");
    // The group has formed again.
    place.epoch = 2;
    addServer(server, "s1", place);
    expectStatus(send("GET", "/look/"), 503);
    EXPECT_EQ(server.requests(), 3);
}

// Load pattern "all callers come back": requests wait for a group that is about to open, and are served as it opens.
TEST_F(GatewayTest, WaitsForAGroupThatIsForming)
{
    ScriptedServer server(loop_, [](Connection &connection, const std::string &head, int) {
        connection.send(answer(head, 200, "done"));
    });
    GroupPlace place{.group = GroupId("g"), .epoch = 1, .rank = 0, .size = 1, .isOpen = false};
    addServer(server, "s1", place);
    const auto waiting = send("GET", "/look/");
    runFor(milliseconds(30));
    EXPECT_FALSE(waiting->end);
    place.epoch = 2;
    place.isOpen = true;
    addServer(server, "s1", place);
    gateway_->serversChanged();
    expectStatus(waiting, 200);
}

// Guards against requests that wait for a place at a group which has lost a rank meanwhile.
TEST_F(GatewayTest, RefusesWaitingRequestsWhenTheGroupBreaks)
{
    ScriptedServer server(loop_, [](Connection &, const std::string &, int) {});
    GroupPlace place{.group = GroupId("g"), .epoch = 1, .rank = 0, .size = 2, .isOpen = true};
    addServer(server, "s1", place);
    // The server takes eight and queues two more.
    for (int i = 0; i < 10; ++i) {
        send("GET", "/look/");
    }
    runUntil([&] { return server.requests() == 10; });
    const auto waiting = send("GET", "/look/");
    runFor(milliseconds(20));
    EXPECT_FALSE(waiting->end);
    place.isOpen = false;
    addServer(server, "s1", place);
    gateway_->serversChanged();
    expectStatus(waiting, 503);
    EXPECT_EQ(waiting->body, "group_broken\n");
}

// Guards against another caller's answer: one that arrives late on a kept connection belongs to an earlier request.
TEST_F(GatewayTest, SkipsTheAnswerOfAnotherRequest)
{
    ScriptedServer server(loop_, [](Connection &connection, const std::string &head, int) {
        connection.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Server-Signature: s\r\nContent-Length: 5\r\n\r\n"
                        "wrong");
        connection.send(answer(head, 200, "right"));
    });
    addServer(server, "s1");
    const auto result = send("POST", "/order/");
    expectStatus(result, 200);
    EXPECT_EQ(result->body, "right");
}

// Guards against bytes of a second answer being read as the answer to the next request.
TEST_F(GatewayTest, DoesNotReuseAConnectionWithExtraBytes)
{
    ScriptedServer server(loop_, [](Connection &connection, const std::string &head, int) {
        connection.send(answer(head, 200, "one") + answer(head, 200, "two"));
    });
    addServer(server, "s1");
    expectStatus(send("POST", "/order/"), 200);
    expectStatus(send("POST", "/order/"), 200);
    EXPECT_EQ(server.connections(), 2);
}

// Guards against new connections for each request: they cost the server a slot for a while.
TEST_F(GatewayTest, ReusesKeptConnections)
{
    ScriptedServer server(loop_, [](Connection &connection, const std::string &head, int) {
        connection.send(answer(head, 200, "ok", "Keep-Alive: timeout=5\r\n"));
    });
    addServer(server, "s1");
    for (int i = 0; i < 5; ++i) {
        expectStatus(send("GET", "/look/"), 200);
    }
    EXPECT_EQ(server.connections(), 1);
}

// Guards against a cut or unsigned success that reaches the caller as the server's answer.
TEST_F(GatewayTest, RejectsAnswersThatAreNotTheServers)
{
    ScriptedServer server(loop_, [](Connection &connection, const std::string &head, int number) {
        if (number == 1) {
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        } else if (number == 2) {
            const auto whole = answer(head, 200, "whole body");
            connection.send(whole.substr(0, whole.size() - 3));
            connection.close();
        } else {
            connection.send("rubbish\r\n\r\n");
        }
    });
    addServer(server, "s1");
    expectStatus(send("POST", "/order/"), 502);
    expectStatus(send("POST", "/order/"), 502);
    expectStatus(send("POST", "/order/"), 502);
}

// Guards against a caller that waits beyond its route's timeout, and against a false promise when it ends.
TEST_F(GatewayTest, AnswersWhenTheTimeRunsOut)
{
    ScriptedServer server(loop_, [](Connection &, const std::string &, int) {});
    addServer(server, "s1");
    const auto start = loop_.now();
    expectStatus(send("POST", "/order/", "key", "200"), 504);
    EXPECT_LT(loop_.now() - start, milliseconds(450));
}

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

// Guards against work that a planned stop cuts off, and against answers that invite another request.
TEST_F(GatewayTest, FinishesRunningWorkWhenItStops)
{
    Connection *backend = nullptr;
    std::string request;
    ScriptedServer server(loop_, [&](Connection &connection, const std::string &head, int) {
        backend = &connection;
        request = head;
    });
    addServer(server, "s1");
    const auto result = send("POST", "/order/");
    runUntil([&] { return backend != nullptr; });
    EXPECT_TRUE(gateway_->isReady());
    bool isDown = false;
    gateway_->shutDown([&] { isDown = true; });
    EXPECT_FALSE(gateway_->isReady());
    runFor(milliseconds(100));
    EXPECT_FALSE(isDown);
    backend->send(answer(request, 200, "done"));
    expectStatus(result, 200);
    ASSERT_NE(result->head.header("Connection"), nullptr);
    runUntil([&] { return isDown; });
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
