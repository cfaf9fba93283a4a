#include "fuzz/FuzzTarget.h"
#include "hornbeamlane_network/http1/Http1Readers.h"

namespace hornbeamlane::fuzz {

namespace {

struct Reading
{
    Http1Progress progress = Http1Progress::NeedMore;
    int status = 0;
    std::string body;
};

Reading read(std::string_view input, std::size_t pieceSize)
{
    Reading result;
    Http1ResponseReader reader;
    reader.start(Http1ResponseReader::BodyRule::AsStated);
    std::string pending;
    for (std::size_t at = 0; at < input.size() && result.progress == Http1Progress::NeedMore; at += pieceSize) {
        pending += input.substr(at, pieceSize);
        std::size_t consumed = 0;
        result.progress = reader.consume(pending, consumed);
        require(consumed <= pending.size());
        pending.erase(0, consumed);
        if (reader.hasHead()) {
            result.body += reader.takeBody();
        }
    }
    if (result.progress == Http1Progress::NeedMore) {
        result.progress = reader.endOfInput();
    }
    if (result.progress == Http1Progress::Complete) {
        result.status = reader.head().status;
        result.body += reader.takeBody();
    }
    return result;
}

} // namespace

std::vector<std::string> seedInputs()
{
    return {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Attempt-Id: a1\r\n\r\nok",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\nRetry-After: 1.5\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n0\r\n\r\n",
            "HTTP/1.1 000 None\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\nuntil the end"};
}

} // namespace hornbeamlane::fuzz

// A complete answer has a status that may be passed on, and is the same however its bytes arrive.
int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace hornbeamlane;
    const auto input = fuzz::toText(data, size);
    const auto whole = fuzz::read(input, input.size() + 1);
    const auto pieces = fuzz::read(input, 1 + size % 7);
    const bool isComplete = whole.progress == Http1Progress::Complete;
    fuzz::require(isComplete == (pieces.progress == Http1Progress::Complete));
    if (isComplete) {
        fuzz::require(whole.status >= 200 && whole.status < 600);
        fuzz::require(whole.status == pieces.status && whole.body == pieces.body);
    }
    return 0;
}
