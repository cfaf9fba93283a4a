#include "hornbeamlane_network/http1/Http1Readers.h"

#include "hornbeamlane_base/hornbeamlane_base.h"

#include <gtest/gtest.h>

namespace hornbeamlane {
namespace {

Http1Progress readRequest(std::string_view bytes, Http1RequestReader::Limits limits = {})
{
    Http1RequestReader reader;
    reader.start(limits);
    std::size_t consumed = 0;
    return reader.consume(bytes, consumed);
}

// Guards against request smuggling: a peer that frames the body differently sees another request inside it.
TEST(Http1RequestReaderTest, RejectsAmbiguousFraming)
{
    const std::string head = "POST /a/ HTTP/1.1\r\nHost: h\r\n";
    EXPECT_EQ(readRequest(head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"), Http1Progress::Malformed);
    EXPECT_EQ(readRequest(head + "Content-Length: +3\r\n\r\nabc"), Http1Progress::Malformed);
    EXPECT_EQ(readRequest(head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
              Http1Progress::Malformed);
    EXPECT_EQ(readRequest(head + "Transfer-Encoding: gzip\r\n\r\nabc"), Http1Progress::Malformed);
    EXPECT_EQ(readRequest(head + "Content-Length : 3\r\n\r\nabc"), Http1Progress::Malformed);
}

// Guards against a second request in the same bytes being taken for a part of the first one.
TEST(Http1RequestReaderTest, LeavesBytesOfTheNextRequest)
{
    Http1RequestReader reader;
    reader.start({});
    const std::string first = "POST /a/?q=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi";
    std::size_t consumed = 0;
    ASSERT_EQ(reader.consume(first + "GET /b/ HTTP/1.1\r\n", consumed), Http1Progress::Complete);
    EXPECT_EQ(consumed, first.size());
    const auto request = reader.take();
    EXPECT_EQ(request.target, "/a/?q=1");
    EXPECT_EQ(request.path(), "/a/");
    EXPECT_EQ(request.body, "hi");
}

// Guards against callers that send more than the catalogue allows.
TEST(Http1RequestReaderTest, NamesTheLimitThatIsExceeded)
{
    const Http1RequestReader::Limits limits{.maxHeaderBytes = 64, .maxBodyBytes = 4};
    EXPECT_EQ(readRequest("GET /" + std::string(100, 'a') + " HTTP/1.1\r\n\r\n", limits), Http1Progress::HeadTooLarge);
    EXPECT_EQ(readRequest("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\n12345", limits), Http1Progress::BodyTooLarge);
}

// Guards against requests that arrive byte by byte being lost between two reads.
TEST(Http1RequestReaderTest, ReadsRequestsInPieces)
{
    const std::string text = "POST /x/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    Http1RequestReader reader;
    reader.start({});
    std::string pending;
    Http1Progress progress = Http1Progress::NeedMore;
    for (const char byte : text) {
        pending += byte;
        std::size_t consumed = 0;
        progress = reader.consume(pending, consumed);
        pending.erase(0, consumed);
    }
    EXPECT_EQ(progress, Http1Progress::Complete);
    EXPECT_EQ(reader.take().body, "abc");
}

// Guards against an interim answer being taken for the final one.
TEST(Http1ResponseReaderTest, SkipsInterimResponses)
{
    Http1ResponseReader reader;
    reader.start(Http1ResponseReader::BodyRule::AsStated);
    std::size_t consumed = 0;
    const std::string text = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    ASSERT_EQ(reader.consume(text, consumed), Http1Progress::Complete);
    EXPECT_EQ(reader.head().status, 200);
    EXPECT_EQ(reader.takeBody(), "ok");
}

// Guards against a body without length being taken for complete before the connection has ended.
TEST(Http1ResponseReaderTest, EndsABodyWithoutLengthWithTheConnection)
{
    Http1ResponseReader reader;
    reader.start(Http1ResponseReader::BodyRule::AsStated);
    std::size_t consumed = 0;
    ASSERT_EQ(reader.consume("HTTP/1.1 200 OK\r\n\r\nabc", consumed), Http1Progress::NeedMore);
    EXPECT_TRUE(reader.endsWithConnection());
    EXPECT_EQ(reader.takeBody(), "abc");
    EXPECT_EQ(reader.endOfInput(), Http1Progress::Complete);
}

// Guards against a cut answer looking complete.
TEST(Http1ResponseReaderTest, DoesNotCompleteACutBody)
{
    Http1ResponseReader reader;
    reader.start(Http1ResponseReader::BodyRule::AsStated);
    std::size_t consumed = 0;
    ASSERT_EQ(reader.consume("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", consumed), Http1Progress::NeedMore);
    EXPECT_EQ(reader.endOfInput(), Http1Progress::Malformed);
}

// Guards against bytes that are no response being passed on: a caller received the status 000 of a server in trouble.
TEST(Http1ResponseReaderTest, RejectsStatusesThatNoResponseHas)
{
    for (const char *status : {"000", "099", "101", "600", "999"}) {
        Http1ResponseReader reader;
        reader.start(Http1ResponseReader::BodyRule::AsStated);
        std::size_t consumed = 0;
        const auto text = "HTTP/1.1 " + std::string(status) + " X\r\nContent-Length: 2\r\n\r\nno";
        EXPECT_EQ(reader.consume(text, consumed), Http1Progress::Malformed) << status;
        EXPECT_FALSE(reader.hasHead()) << status;
    }
    for (const char *status : {"200", "599"}) {
        Http1ResponseReader reader;
        reader.start(Http1ResponseReader::BodyRule::AsStated);
        std::size_t consumed = 0;
        const auto text = "HTTP/1.1 " + std::string(status) + " X\r\nContent-Length: 2\r\n\r\nok";
        EXPECT_EQ(reader.consume(text, consumed), Http1Progress::Complete) << status;
    }
}

// Guards against a body in small chunks that takes much more memory than its bytes: its text doubled with each growth.
TEST(Http1RequestReaderTest, HoldsLittleMoreThanTheBytesOfABodyInChunks)
{
    Http1RequestReader reader;
    reader.start({});
    std::size_t consumed = 0;
    reader.consume("POST /x/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", consumed);
    constexpr std::size_t bodyBytes = 2100 * 1000;
    std::string chunks;
    for (int i = 0; i < 1000; ++i) {
        chunks += "1\r\na\r\n";
    }
    std::string pending;
    for (std::size_t sent = 0; sent < bodyBytes; sent += 1000) {
        pending += chunks;
        ASSERT_EQ(reader.consume(pending, consumed), Http1Progress::NeedMore);
        pending.erase(0, consumed);
        // The end of the last chunk may be left for the next call.
        ASSERT_LT(pending.size(), 16);
    }
    EXPECT_GE(reader.heldBytes(), bodyBytes - 1);
    EXPECT_LE(reader.heldBytes(), bodyBytes + 256 * 1024);
}

// Guards against a credential, or any other header, that a caller adds behind its body, where nothing has checked it.
TEST(Http1RequestReaderTest, TakesNoTrailerForAHeader)
{
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
    Http1RequestReader reader;
    reader.start({});
    std::size_t consumed = 0;
    ASSERT_EQ(reader.consume(head + "2\r\nhi\r\n0\r\nCredential: key\r\nHost: other\r\n\r\n", consumed),
              Http1Progress::Complete);
    const auto request = reader.take();
    EXPECT_EQ(request.header("Credential"), nullptr);
    ASSERT_EQ(request.headers.size(), 3U);
    EXPECT_EQ(request.headers.front(), (HttpHeaders::value_type{"Host", "h"}));
    EXPECT_EQ(request.method, "POST");
    EXPECT_EQ(request.target, "/");
    EXPECT_EQ(request.body, "hi");
    EXPECT_FALSE(request.isKeepAlive);
}

// Guards against trailers that take the memory which the limit on a head denies, at once and without their end.
TEST(Http1RequestReaderTest, BoundsTrailersLikeAHead)
{
    const Http1RequestReader::Limits limits{.maxHeaderBytes = 256};
    const std::string head = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n";
    const std::string trailer = "Trailer: " + std::string(300, 'x') + "\r\n";
    EXPECT_EQ(readRequest(head + "Trailer: short\r\n\r\n", limits), Http1Progress::Complete);
    EXPECT_EQ(readRequest(head + trailer + "\r\n", limits), Http1Progress::HeadTooLarge);
    EXPECT_EQ(readRequest(head + trailer, limits), Http1Progress::HeadTooLarge);
}

// Guards against random bytes crashing a reader: each result is allowed, but it must be one.
TEST(Http1ReadersTest, SurviveRandomBytes)
{
    constexpr std::uint64_t seed = 20261204;
    constexpr int inputs = 20000;
    RandomSource random(seed);
    const std::vector<std::string> parts = {"GET / HTTP/1.1\r\n",
                                            "HTTP/1.1 200 OK\r\n",
                                            "Content-Length: ",
                                            "Transfer-Encoding: chunked",
                                            "\r\n",
                                            ":",
                                            "7fffffffffffffff",
                                            "\r\n\r\n",
                                            "0",
                                            "Connection: close\r\n",
                                            "\n",
                                            "5\r\nabcde\r\n"};
    for (int i = 0; i < inputs; ++i) {
        std::string text;
        for (std::uint64_t n = random.below(12); n > 0; --n) {
            text += random.below(4) == 0 ? std::string(1, static_cast<char>(random.below(256)))
                                         : parts[random.below(parts.size())];
        }
        readRequest(text);
        Http1ResponseReader reader;
        reader.start(Http1ResponseReader::BodyRule::AsStated);
        std::size_t consumed = 0;
        reader.consume(text, consumed);
        EXPECT_LE(consumed, text.size());
        reader.endOfInput();
    }
}

} // namespace
} // namespace hornbeamlane
