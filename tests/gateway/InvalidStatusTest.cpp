#include "gateway/GatewayFixture.h"

#include <array>
#include <utility>

namespace hornbeamlane {
namespace {

/** Heads that no response has: a status outside 200 to 599, or interim responses without end. */
std::string invalidHead(const std::string &status, const std::string &head)
{
    std::string text;
    const int repeats = status.starts_with('1') ? 40 : 1;
    for (int i = 0; i < repeats; ++i) {
        text += "HTTP/1.1 " + status + " X\r\nX-Attempt-Id: " + headerOf(head, "X-Attempt-Id")
            + "\r\nX-Server-Signature: s\r\n" + (status.starts_with('1') ? "\r\n" : "Content-Length: 2\r\n\r\nno");
    }
    return text;
}

// A server in trouble sent a response with status 000, and the caller received it.
class InvalidStatusTest : public GatewayTest, public ::testing::WithParamInterface<const char *>
{
protected:
    /** Answers with the invalid status after so many valid answers. */
    ScriptedServer::Handler failingAfter(int valid)
    {
        return [valid](Connection &connection, const std::string &head, int number) {
            connection.send(number <= valid ? answer(head, 200, "found") : invalidHead(GetParam(), head));
        };
    }

    static ScriptedServer::Handler serving()
    {
        return [](Connection &connection, const std::string &head, int) {
            connection.send(head.starts_with("POST /chat/") ? streamHead(head) + chunk(event(1)) + "0\r\n\r\n"
                                                            : answer(head, 200, "found"));
        };
    }
};

TEST_P(InvalidStatusTest, CallerGets502OnANewConnection)
{
    ScriptedServer server(loop_, failingAfter(0));
    addServer(server, "s1");
    expectStatus(send("GET", "/look/"), 502);
    expectStatus(send("POST", "/chat/"), 502);
    expectStatus(send("POST", "/order/"), 502);
}

TEST_P(InvalidStatusTest, CallerGets502OnAKeptConnection)
{
    ScriptedServer server(loop_, failingAfter(1));
    addServer(server, "s1");
    expectStatus(send("GET", "/look/"), 200);
    expectStatus(send("POST", "/order/"), 502);
}

// Guards against an order that may have run being sent to another server.
TEST_P(InvalidStatusTest, OrderIsNotSentAgain)
{
    ScriptedServer failing(loop_, failingAfter(0));
    addServer(failing, "s1");
    expectStatus(send("POST", "/order/"), 502);
    EXPECT_EQ(failing.requests(), 1);
}

TEST_P(InvalidStatusTest, LookupsAndStreamsGoToAnotherServer)
{
    ScriptedServer failing(loop_, failingAfter(0));
    ScriptedServer sound(loop_, serving());
    addServer(failing, "s1");
    addServer(sound, "s2");
    for (int i = 0; i < 4; ++i) {
        expectStatus(send("GET", "/look/"), 200);
        const auto stream = send("POST", "/chat/");
        expectStatus(stream, 200);
        EXPECT_EQ(stream->body, event(1));
    }
    EXPECT_GT(failing.requests(), 0);
}

INSTANTIATE_TEST_SUITE_P(Statuses, InvalidStatusTest, ::testing::Values("000", "600", "999", "199", "100", "101"));

} // namespace
} // namespace hornbeamlane
