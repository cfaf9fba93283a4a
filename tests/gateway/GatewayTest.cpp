#include "gateway/GatewayFixture.h"

namespace hornbeamlane {
namespace {

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

} // namespace
} // namespace hornbeamlane
