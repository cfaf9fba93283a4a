#include "gateway/GatewayFixture.h"

namespace hornbeamlane {
namespace {

/** How a server ends the connection after a part of its answer's head. */
enum class Ending { Close, Reset };

/** A request, the whole answer to it, and how the answer's end is told. */
struct CutAnswer
{
    std::string name;
    std::string method;
    std::string target;
    std::function<std::string(const std::string &head)> whole;
    Ending ending = Ending::Close;
};

std::string withoutLength(const std::string &head)
{
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + headerOf(head, "X-Attempt-Id")
        + "\r\nX-Server-Signature: s\r\nConnection: close\r\n\r\nwhole body";
}

std::vector<CutAnswer> cutAnswers()
{
    const auto body = [](const std::string &head) { return answer(head, 200, "whole body"); };
    const auto chunked = [](const std::string &head) { return streamHead(head) + chunk(event(1)) + "0\r\n\r\n"; };
    const auto open = [](const std::string &head) { return openStreamHead(head) + event(1); };
    return {{.name = "OrderWithLength", .method = "POST", .target = "/order/", .whole = body},
            {.name = "OrderWithoutLength", .method = "POST", .target = "/order/", .whole = withoutLength},
            {.name = "OrderReset", .method = "POST", .target = "/order/", .whole = body, .ending = Ending::Reset},
            {.name = "LookupWithLength", .method = "GET", .target = "/look/", .whole = body},
            {.name = "LookupWithoutLength", .method = "GET", .target = "/look/", .whole = withoutLength},
            {.name = "StreamInChunks", .method = "POST", .target = "/chat/", .whole = chunked},
            {.name = "StreamWithoutLength", .method = "POST", .target = "/chat/", .whole = open},
            {.name = "StreamReset", .method = "POST", .target = "/chat/", .whole = open, .ending = Ending::Reset}};
}

class CutHeadTest : public GatewayTest, public ::testing::WithParamInterface<CutAnswer>
{
protected:
    /** What the caller gets if the server's answers end after this many bytes; how many the head has. */
    std::shared_ptr<CallerAnswer> sendWithCutAt(std::size_t cut, std::size_t &headBytes)
    {
        gateway_ = nullptr;
        SetUp();
        std::vector<Connection *> reset;
        ScriptedServer server(loop_, [&](Connection &connection, const std::string &head, int) {
            const auto whole = GetParam().whole(head);
            headBytes = whole.find("\r\n\r\n") + 4;
            connection.send(whole.substr(0, cut));
            if (GetParam().ending == Ending::Close) {
                connection.close();
            } else {
                reset.push_back(&connection);
            }
        });
        // A reset at once would take back what the peer has not read.
        Timer resetLater(loop_, [&] {
            for (auto *connection : std::exchange(reset, {})) {
                connection->reset();
            }
        });
        resetLater.startRepeating(milliseconds(10));
        addServer(server, "s1");
        auto result = send(GetParam().method, GetParam().target);
        runUntil([&] { return result->end.has_value(); });
        EXPECT_GE(server.requests(), 1);
        return result;
    }
};

// Guards against a success with an empty or short body, framed as whole: a server stops in the middle of its answer's
// head and closes.
TEST_P(CutHeadTest, IsNoSuccess)
{
    std::size_t headBytes = 1;
    for (std::size_t cut = 0; cut < headBytes; ++cut) {
        const auto result = sendWithCutAt(cut, headBytes);
        const bool isWholeSuccess = result->end == Http1CallEnd::Complete && result->head.status < 300;
        EXPECT_FALSE(isWholeSuccess) << "cut after " << cut << " of " << headBytes << ": " << result->head.status;
        EXPECT_EQ(result->body.find("whole"), std::string::npos);
    }
}

INSTANTIATE_TEST_SUITE_P(Answers, CutHeadTest, ::testing::ValuesIn(cutAnswers()),
                         [](const auto &param) { return param.param.name; });

// The same behind an interim answer, and behind an answer of another request that is skipped.
TEST_F(GatewayTest, TakesNoHeadThatIsCutBehindAnotherOne)
{
    const std::vector<std::string> before = {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 X\r\nLink: a\r\n\r\n",
                                             "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Server-Signature: s\r\n"
                                             "Content-Length: 5\r\n\r\nother"};
    for (const auto &first : before) {
        for (const std::string target : {"/order/", "/look/", "/chat/"}) {
            gateway_ = nullptr;
            SetUp();
            ScriptedServer server(loop_, [&](Connection &connection, const std::string &head, int) {
                const auto whole = answer(head, 200, "whole body");
                connection.send(first + whole.substr(0, whole.find("Content-Length") + 10));
                connection.close();
            });
            addServer(server, "s1");
            const auto result = send(target == "/look/" ? "GET" : "POST", target);
            const auto started = loop_.now();
            runUntil([&] { return result->end.has_value(); });
            EXPECT_FALSE(result->end == Http1CallEnd::Complete && result->head.status < 300) << target << " " << first;
            EXPECT_LT(loop_.now() - started, milliseconds(1000)) << target << " " << first;
        }
    }
}

// Guards against a request that waits until its time is over after its server has closed: the only answer that came was
// one of another request, without a length, so that its end was that of the connection.
TEST_F(GatewayTest, EndsARequestWhoseConnectionEndsWithAnotherAnswer)
{
    ScriptedServer server(loop_, [](Connection &connection, const std::string &, int) {
        connection.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Server-Signature: s\r\n\r\nother");
        connection.close();
    });
    addServer(server, "s1");
    const auto started = loop_.now();
    expectStatus(send("POST", "/order/"), 502);
    EXPECT_LT(loop_.now() - started, milliseconds(1000));
}

} // namespace
} // namespace hornbeamlane
