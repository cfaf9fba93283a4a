#include "hornbeamlane_network/hornbeamlane_network.h"
#include "standins/ScriptedServer.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace hornbeamlane {
namespace {

using std::chrono::milliseconds;

/** How a server floods a connection in place of an answer. */
struct EndlessReply
{
    std::string name;
    std::string start;
    std::string endless;
};

class HttpCallTest : public ::testing::TestWithParam<EndlessReply>
{
};

// Guards against memory and time that a call takes by a reply that never ends.
TEST_P(HttpCallTest, EndsAReplyWithoutEnd)
{
    constexpr std::size_t mostBytes = 16 * 1024 * 1024;
    EventLoop loop;
    testing::ScriptedServer::Connection *flooding = nullptr;
    testing::ScriptedServer server(loop,
                                   [&](testing::ScriptedServer::Connection &connection, const std::string &, int) {
                                       connection.send(GetParam().start);
                                       flooding = &connection;
                                   });
    std::size_t sent = 0;
    std::string piece;
    while (piece.size() < std::size_t{32} * 1024) {
        piece += GetParam().endless;
    }
    Timer pump(loop, [&] {
        if (flooding != nullptr && flooding->unsentBytes() == 0) {
            flooding->send(piece);
            sent += std::min(flooding->unsentBytes(), piece.size());
        }
    });
    pump.startRepeating(milliseconds(1));
    std::optional<HttpCallEnd> result;
    sendHttpRequest(loop,
                    {.address = server.address(),
                     .timeout = std::chrono::seconds(2),
                     .totalTime = milliseconds(1500),
                     .maxResponseBytes = std::size_t{4} * 1024 * 1024},
                    [&](HttpCallEnd end, const HttpResponse &) {
                        result = end;
                        loop.stop();
                    });
    Timer limit(loop, [&] { loop.stop(); });
    limit.startOnce(milliseconds(4000));
    const auto started = loop.now();
    loop.run();
    ASSERT_TRUE(result);
    EXPECT_NE(*result, HttpCallEnd::Complete);
    EXPECT_LE(sent, mostBytes);
    EXPECT_LT(loop.now() - started, milliseconds(2500));
}

INSTANTIATE_TEST_SUITE_P(
    Floods, HttpCallTest,
    ::testing::Values(EndlessReply{"StatusLine", "", "HTTP/1.1 200 "},
                      EndlessReply{"OneHeader", "HTTP/1.1 200 OK\r\nX: ", "x"},
                      EndlessReply{"ManyHeaders", "HTTP/1.1 200 OK\r\n", "X: x\r\n"},
                      EndlessReply{"InterimAnswers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
                      EndlessReply{"Body", "HTTP/1.1 200 OK\r\n\r\n", "body"},
                      EndlessReply{"ChunkSize", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
                      EndlessReply{"Trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                                   "X: x\r\n"}),
    [](const auto &param) { return param.param.name; });

// Guards against bytes that are no response being passed on: a caller received the status 000 of a server in trouble.
TEST(HttpCallStatusTest, EndsBrokenOffForStatusesThatNoResponseHas)
{
    for (const char *status : {"000", "099", "101", "199", "600", "999"}) {
        EventLoop loop;
        testing::ScriptedServer server(
            loop, [&](testing::ScriptedServer::Connection &connection, const std::string &, int) {
                connection.send("HTTP/1.1 " + std::string(status) + " X\r\nContent-Length: 2\r\n\r\nno");
            });
        std::optional<HttpCallEnd> result;
        HttpResponse received;
        sendHttpRequest(loop, {.address = server.address(), .totalTime = milliseconds(1500)},
                        [&](HttpCallEnd end, const HttpResponse &response) {
                            result = end;
                            received = response;
                            loop.stop();
                        });
        loop.run();
        EXPECT_EQ(result, HttpCallEnd::BrokenOff) << status;
        EXPECT_EQ(received.status, 0) << status;
        EXPECT_EQ(received.body, "") << status;
    }
}

// Guards against a success with an empty or short body: the server stops anywhere in its answer's head, or in a body
// with a length or chunks, and closes.
TEST(HttpCallCutTest, TakesNoPartOfAnAnswerForTheWhole)
{
    const std::vector<std::string> answers = {
        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"};
    for (const auto &whole : answers) {
        for (std::size_t cut = 0; cut < whole.size(); ++cut) {
            EventLoop loop;
            testing::ScriptedServer server(
                loop, [&](testing::ScriptedServer::Connection &connection, const std::string &, int) {
                    connection.send(whole.substr(0, cut));
                    connection.close();
                });
            std::optional<HttpCallEnd> result;
            sendHttpRequest(loop, {.address = server.address(), .totalTime = milliseconds(1500)},
                            [&](HttpCallEnd end, const HttpResponse &) {
                                result = end;
                                loop.stop();
                            });
            loop.run();
            ASSERT_TRUE(result);
            EXPECT_NE(*result, HttpCallEnd::Complete) << "cut after " << cut << " of " << whole.size();
        }
    }
}

} // namespace
} // namespace hornbeamlane
