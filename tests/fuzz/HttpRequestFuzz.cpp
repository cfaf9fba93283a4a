#include "fuzz/FuzzTarget.h"
#include "hornbeamlane_network/http1/Http1Readers.h"

namespace hornbeamlane::fuzz {

namespace {

constexpr Http1RequestReader::Limits limits{.maxHeaderBytes = 512, .maxBodyBytes = 256};

/** Memory that one byte of input may take in chunks of one byte, and what a reader takes for itself. */
constexpr std::size_t mostBytesForOne = 64;
constexpr std::size_t mostOwnBytes = 8 * 1024;

struct Reading
{
    Http1Progress progress = Http1Progress::NeedMore;
    std::size_t consumed = 0;
    Http1Request request;
};

Reading read(std::string_view input, std::size_t pieceSize)
{
    Reading result;
    Http1RequestReader reader;
    reader.start(limits);
    std::string pending;
    for (std::size_t at = 0; at < input.size() && result.progress == Http1Progress::NeedMore; at += pieceSize) {
        pending += input.substr(at, pieceSize);
        std::size_t consumed = 0;
        result.progress = reader.consume(pending, consumed);
        require(consumed <= pending.size());
        pending.erase(0, consumed);
        result.consumed += consumed;
        require(reader.heldBytes() <= mostOwnBytes + mostBytesForOne * input.size());
    }
    if (result.progress == Http1Progress::Complete) {
        result.request = reader.take();
        require(result.request.body.size() <= limits.maxBodyBytes);
    }
    return result;
}

} // namespace

std::vector<std::string> seedInputs()
{
    return {
        "GET /a/?q=1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\n\r\n",
        "POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\nhello",
        "POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n1;x=y\r\nd\r\n0\r\nT: v\r\n\r\n",
        "HEAD / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"};
}

} // namespace hornbeamlane::fuzz

// A request that is whole in one reading has to be the same one however its bytes arrive: a difference is what request
// smuggling needs.
int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace hornbeamlane;
    const auto input = fuzz::toText(data, size);
    const auto whole = fuzz::read(input, input.size() + 1);
    const auto pieces = fuzz::read(input, 1 + size % 7);
    const bool isComplete = whole.progress == Http1Progress::Complete;
    fuzz::require(isComplete == (pieces.progress == Http1Progress::Complete));
    if (isComplete) {
        fuzz::require(whole.request.target == pieces.request.target && whole.request.body == pieces.request.body);
        fuzz::require(whole.consumed == pieces.consumed);
    }
    return 0;
}
