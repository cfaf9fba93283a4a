#include "gateway/GatewayMessages.h"
#include "hornbeamlane_gateway/hornbeamlane_gateway.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace hornbeamlane {
namespace {

using std::chrono::milliseconds;

/** How a server floods a connection in place of an answer. */
struct Flood
{
    std::string name;
    std::string path;
    /** Sent once, before `endless`; "%" stands for the head of a good answer without its last line. */
    std::string start;
    /** Sent again and again until the connection is closed. */
    std::string endless;
};

/** Bytes that a server may get rid of before its connection is closed: the longest answer that is collected, and what
   is on the way in buffers. */
constexpr std::size_t mostBytes = 12 * 1024 * 1024;

/** Bytes of all answers that may wait in an entry or on the way to it at the same moment: a quarter of the memory of
   the smallest entry host. */
constexpr std::size_t mostBytesAtOnce = 40 * 1024 * 1024;

/** Enough for a connection until the next look at it. */
std::string pieceOf(const Flood &flood)
{
    constexpr std::size_t size = 16 * 1024;
    std::string piece;
    while (piece.size() < size) {
        piece += flood.endless;
    }
    return piece;
}

/** A connection that is being flooded. */
struct FloodedConnection
{
    ScriptedServer::Connection *connection;
    std::size_t written = 0;

    void refill(const std::string &piece)
    {
        if (connection->unsentBytes() < piece.size()) {
            connection->send(piece);
            written += piece.size();
        }
    }

    /** Bytes that have left the server; until the connection is closed they count as held by the entry. */
    std::size_t sent() const
    {
        return written - connection->unsentBytes();
    }
};

class EndlessAnswerTest : public ::testing::TestWithParam<Flood>
{
protected:
    EndlessAnswerTest()
        : server_(
            loop_,
            [this](ScriptedServer::Connection &connection, const std::string &head, int) { start(connection, head); })
        , pump_(loop_, [this] { pump(); })
        , gateway_(loop_, random_, settings(),
                   GatewayHooks{.isMapHolder = [] { return false; },
                                .tableVersions = [] { return std::vector<TableVersion>(); },
                                .peerVersions = [](const auto &) {}})
    {
        gateway_.start();
        DispatchCatalogue catalogue{.version = CatalogueVersion(1)};
        catalogue.routes = {route("/look/", RequestKind::NonIdempotent), route("/chat/", RequestKind::Stream)};
        catalogue.services = {{.name = ServiceId("desk")}};
        gateway_.applyCatalogue(std::move(catalogue));
        gateway_.backends().update({.id = ServerId("s1"),
                                    .service = ServiceId("desk"),
                                    .address = server_.address(),
                                    .dataCentre = DataCentreId("here"),
                                    .slots = 64},
                                   loop_.now());
        pump_.startRepeating(milliseconds(1));
    }

    static GatewaySettings settings()
    {
        GatewaySettings result{.name = "entry", .dataCentre = DataCentreId("here")};
        result.callerAddress = result.readyAddress = result.peerAddress = "127.0.0.1:0";
        return result;
    }

    static RouteSpec route(const std::string &prefix, RequestKind kind)
    {
        return {.name = RouteId(prefix),
                .host = "h",
                .prefix = prefix,
                .kind = kind,
                .services = {{.service = ServiceId("desk")}},
                .timeout = milliseconds(2500)};
    }

    void start(ScriptedServer::Connection &connection, const std::string &head)
    {
        auto text = GetParam().start;
        if (const auto at = text.find('%'); at != std::string::npos) {
            text.replace(at, 1,
                         "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + headerOf(head, "X-Attempt-Id")
                             + "\r\nX-Server-Signature: s\r\n");
        }
        connection.send(text);
        flooding_.push_back({.connection = &connection, .written = text.size()});
    }

    void pump()
    {
        std::size_t atOnce = 0;
        for (auto &flood : flooding_) {
            if (flood.connection->isOpen()) {
                flood.refill(piece_);
                atOnce += flood.sent();
            }
        }
        mostAtOnce_ = std::max(mostAtOnce_, atOnce);
    }

    std::shared_ptr<CallerAnswer> send()
    {
        auto result = std::make_shared<CallerAnswer>();
        auto &caller = callers_.emplace_back(std::make_unique<Http1ClientConnection>(
            loop_, Http1ClientConnection::Options{.address = "127.0.0.1:" + std::to_string(gateway_.callerPort())}));
        caller->call({.method = "POST",
                      .target = GetParam().path,
                      .headers = {{"Host", "h"}, {"X-Attempt-Id", "a" + std::to_string(callers_.size())}},
                      .body = ""},
                     {.head =
                          [result](const Http1ResponseHead &head) {
                              result->head = head;
                              return true;
                          },
                      .data = [](std::string_view) {},
                      .end = [result](Http1CallEnd end) { result->end = end; }});
        return result;
    }

    void runUntil(const std::function<bool()> &isDone)
    {
        const auto end = loop_.now() + std::chrono::seconds(10);
        Timer check(loop_, [&] {
            if (isDone() || loop_.now() > end) {
                loop_.stop();
            }
        });
        check.startRepeating(milliseconds(5));
        loop_.run();
        EXPECT_TRUE(isDone()) << "timed out";
    }

    EventLoop loop_;
    RandomSource random_{3};
    const std::string piece_ = pieceOf(GetParam());
    std::vector<FloodedConnection> flooding_;
    /** Most bytes that had left the server on all connections that were open at the same moment. */
    std::size_t mostAtOnce_ = 0;
    ScriptedServer server_;
    Timer pump_;
    std::vector<std::unique_ptr<Http1ClientConnection>> callers_;
    Gateway gateway_;
};

// Guards against memory and time that a server in trouble takes by bytes that never end: its connection is closed, and
// the caller is told that the server failed.
TEST_P(EndlessAnswerTest, ClosesTheConnection)
{
    const auto started = loop_.now();
    const auto result = send();
    runUntil([&] { return result->end.has_value() && server_.closedByPeer() == 1; });
    EXPECT_FALSE(result->end == Http1CallEnd::Complete && result->head.status == 200);
    EXPECT_LE(mostAtOnce_, mostBytes);
    EXPECT_LT(loop_.now() - started, milliseconds(2000));
}

// Guards against the same from many servers at a time: what is bounded for each of them must also be bounded in sum.
TEST_P(EndlessAnswerTest, BoundsTheSumOfManyAnswers)
{
    constexpr int requests = 24;
    std::vector<std::shared_ptr<CallerAnswer>> results;
    results.reserve(requests);
    for (int i = 0; i < requests; ++i) {
        results.push_back(send());
    }
    runUntil([&] {
        return server_.closedByPeer() == requests
            && std::all_of(results.begin(), results.end(), [](const auto &one) { return one->end.has_value(); });
    });
    EXPECT_LE(mostAtOnce_, mostBytesAtOnce);
}

INSTANTIATE_TEST_SUITE_P(
    Floods, EndlessAnswerTest,
    ::testing::Values(Flood{"StatusLine", "/look/", "", "HTTP/1.1 200 "}, Flood{"OneHeader", "/look/", "%X: ", "x"},
                      Flood{"ManyHeaders", "/look/", "%", "X: x\r\n"},
                      Flood{"InterimAnswers", "/look/", "", "HTTP/1.1 100 Continue\r\n\r\n"},
                      Flood{"OtherAnswers", "/look/", "",
                            "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 2\r\n\r\nno"},
                      Flood{"OtherAnswerWithoutEnd", "/look/", "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n\r\n", "no"},
                      Flood{"Body", "/look/", "%\r\n", "body"},
                      Flood{"ChunkSize", "/look/", "%Transfer-Encoding: chunked\r\n\r\n", "0"},
                      Flood{"ChunkExtension", "/look/", "%Transfer-Encoding: chunked\r\n\r\n1;", "x"},
                      Flood{"Trailer", "/look/", "%Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: x\r\n"},
                      Flood{"Event", "/chat/", "%\r\n", "data: x\n"}, Flood{"Line", "/chat/", "%\r\ndata: ", "x"},
                      Flood{"StreamChunkSize", "/chat/", "%Transfer-Encoding: chunked\r\n\r\n", "0"}),
    [](const auto &param) { return param.param.name; });

} // namespace
} // namespace hornbeamlane
