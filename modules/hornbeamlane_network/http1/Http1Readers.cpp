#include "hornbeamlane_network/http1/Http1Readers.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace hornbeamlane {

namespace {

namespace http = boost::beast::http;
using boost::asio::const_buffer;
using boost::system::error_code;

constexpr std::uint32_t maxResponseHeaderBytes = 64 * 1024;
/** Interim answers (1xx) before the final one. */
constexpr int maxInterimResponses = 16;
constexpr std::uint64_t maxResponseBodyBytes = 256ULL * 1024 * 1024;

/** Statuses of final responses. */
constexpr unsigned firstFinalStatus = 200;
constexpr unsigned lastFinalStatus = 599;
constexpr unsigned switchingProtocols = 101;

/** Bytes by which the memory of a body in chunks grows at least and at most beyond what has come. */
constexpr std::size_t smallestGrowth = 1024;
constexpr std::size_t largestGrowth = 128 * 1024;

/** Memory of a header line beside its text. */
constexpr std::size_t headerLineCost = 64;

template <class Fields>
HttpHeaders copyHeaders(const Fields &fields)
{
    HttpHeaders headers;
    for (const auto &field : fields) {
        headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    return headers;
}

/** Beast reads an unknown transfer coding as a body that lasts until the connection ends; this rejects it. */
template <class Message>
bool hasUnknownTransferCoding(const Message &message)
{
    for (auto it = message.find(http::field::transfer_encoding);
         it != message.end() && it->name() == http::field::transfer_encoding; ++it) {
        if (!isSameHeader(std::string_view(it->value().data(), it->value().size()), "chunked")) {
            return true;
        }
    }
    return false;
}

enum class FeedTo {
    EndOfHead, ///< A parser that is not eager stops there.
    EndOfMessage,
};

/** Feeds the parser until it needs more bytes or has read the part. */
template <class Parser>
Http1Progress feed(Parser &parser, std::string_view bytes, std::size_t &consumed, FeedTo end = FeedTo::EndOfMessage)
{
    consumed = 0;
    while (!parser.is_done() && consumed < bytes.size()) {
        error_code error;
        const auto used = parser.put(const_buffer(bytes.data() + consumed, bytes.size() - consumed), error);
        consumed += used;
        if (error == http::error::need_more) {
            return Http1Progress::NeedMore;
        }
        if (error == http::error::header_limit) {
            return Http1Progress::HeadTooLarge;
        }
        if (error == http::error::body_limit || error == http::error::buffer_overflow) {
            return Http1Progress::BodyTooLarge;
        }
        if (error) {
            return Http1Progress::Malformed;
        }
        if (parser.is_header_done() && hasUnknownTransferCoding(parser.get())) {
            return Http1Progress::Malformed;
        }
        if (used == 0 || (end == FeedTo::EndOfHead && parser.is_header_done())) {
            break;
        }
    }
    return parser.is_done() ? Http1Progress::Complete : Http1Progress::NeedMore;
}

} // namespace

struct Http1RequestReader::Implementation
{
    std::optional<http::request_parser<http::string_body>> parser;
    std::size_t maxHeaderBytes = 0;
    std::size_t headBytes = 0;
    /** The headers, taken out of the parser before it adds trailers to them. */
    HttpHeaders headers;
    bool isHeadTaken = false;
    bool isKeepAlive = true;
    bool expectsContinue = false;

    void takeHead()
    {
        auto &message = parser->get();
        isHeadTaken = true;
        isKeepAlive = message.keep_alive();
        const auto expect = message.find(http::field::expect);
        expectsContinue = expect != message.end()
            && isSameHeader(std::string_view(expect->value().data(), expect->value().size()), "100-continue");
        headers = copyHeaders(message);
        for (const auto &[name, value] : headers) {
            headBytes += name.size() + value.size() + headerLineCost;
        }
        message.clear();
    }

    /** Trailers that have been read, or a line behind the head that is still without end. */
    bool hasTooMuchBehindHead(std::size_t unreadBytes) const
    {
        std::size_t bytes = unreadBytes;
        for (const auto &trailer : parser->get()) {
            bytes += trailer.name_string().size() + trailer.value().size();
        }
        return bytes > maxHeaderBytes;
    }

    /** The text's own growth doubles its memory; this one stays near to what has come. */
    void makeRoom(std::size_t bytes)
    {
        auto &body = parser->get().body();
        if (!parser->is_header_done() || body.capacity() - body.size() >= bytes) {
            return;
        }
        std::string larger;
        larger.reserve(body.size() + std::max(bytes, std::clamp(body.size() / 4, smallestGrowth, largestGrowth)));
        larger.append(body);
        body = std::move(larger);
    }
};

Http1RequestReader::Http1RequestReader()
    : implementation_(std::make_unique<Implementation>())
{
}

Http1RequestReader::~Http1RequestReader() = default;

void Http1RequestReader::start(const Limits &limits)
{
    auto &parser = implementation_->parser.emplace();
    implementation_->maxHeaderBytes = limits.maxHeaderBytes;
    implementation_->headBytes = 0;
    implementation_->headers.clear();
    implementation_->isHeadTaken = false;
    implementation_->isKeepAlive = true;
    implementation_->expectsContinue = false;
    parser.header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
    parser.body_limit(limits.maxBodyBytes);
}

Http1Progress Http1RequestReader::consume(std::string_view bytes, std::size_t &consumed)
{
    auto &self = *implementation_;
    self.makeRoom(bytes.size());
    consumed = 0;
    if (!self.isHeadTaken) {
        const auto progress = feed(*self.parser, bytes, consumed, FeedTo::EndOfHead);
        const bool isValid = progress == Http1Progress::NeedMore || progress == Http1Progress::Complete;
        if (!isValid || !hasHead()) {
            return progress;
        }
        self.takeHead();
        self.parser->eager(true);
    }
    std::size_t used = 0;
    const auto progress = feed(*self.parser, bytes.substr(consumed), used);
    consumed += used;
    const auto unread = progress == Http1Progress::NeedMore ? bytes.size() - consumed : 0;
    return self.hasTooMuchBehindHead(unread) ? Http1Progress::HeadTooLarge : progress;
}

std::optional<std::uint64_t> Http1RequestReader::announcedBytes() const
{
    const auto length = implementation_->parser->content_length();
    return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

std::size_t Http1RequestReader::heldBytes() const
{
    return implementation_->headBytes + implementation_->parser->get().body().capacity();
}

bool Http1RequestReader::hasHead() const
{
    return implementation_->parser->is_header_done();
}

bool Http1RequestReader::expectsContinue() const
{
    return implementation_->expectsContinue;
}

Http1Request Http1RequestReader::take()
{
    auto message = implementation_->parser->release();
    return {.method = std::string(message.method_string()),
            .target = std::string(message.target()),
            .headers = std::move(implementation_->headers),
            .body = std::move(message.body()),
            .isHttp11 = message.version() >= 11,
            .isKeepAlive = implementation_->isKeepAlive};
}

struct Http1ResponseReader::Implementation
{
    std::optional<http::response_parser<http::string_body>> parser;
    std::optional<Http1ResponseHead> head;
    std::string body;
    BodyRule rule = BodyRule::AsStated;
    int interimResponses = 0;

    void restart()
    {
        parser.emplace();
        parser->header_limit(maxResponseHeaderBytes);
        parser->body_limit(maxResponseBodyBytes);
        parser->eager(true);
        parser->skip(rule == BodyRule::None);
        head.reset();
        body.clear();
    }

    bool isInterim() const
    {
        return parser->is_header_done() && parser->get().result_int() / 100 == 1
            && parser->get().result_int() != switchingProtocols;
    }

    bool hasInvalidStatus() const
    {
        const auto status = parser->get().result_int();
        return parser->is_header_done() && !isInterim() && (status < firstFinalStatus || status > lastFinalStatus);
    }

    void takeHead()
    {
        const auto &message = parser->get();
        head = Http1ResponseHead{.status = static_cast<int>(message.result_int()),
                                 .headers = copyHeaders(message),
                                 .isKeepAlive = parser->keep_alive()};
    }
};

Http1ResponseReader::Http1ResponseReader()
    : implementation_(std::make_unique<Implementation>())
{
    implementation_->restart();
}

Http1ResponseReader::~Http1ResponseReader() = default;

void Http1ResponseReader::start(BodyRule rule)
{
    implementation_->rule = rule;
    implementation_->interimResponses = 0;
    implementation_->restart();
}

Http1Progress Http1ResponseReader::consume(std::string_view bytes, std::size_t &consumed)
{
    auto &self = *implementation_;
    consumed = 0;
    while (true) {
        std::size_t used = 0;
        const auto progress = feed(*self.parser, bytes.substr(consumed), used);
        consumed += used;
        if (self.hasInvalidStatus()) {
            return Http1Progress::Malformed;
        }
        if (progress == Http1Progress::Complete && self.isInterim()) {
            self.restart();
            if (++self.interimResponses > maxInterimResponses) {
                return Http1Progress::Malformed;
            }
            if (consumed < bytes.size()) {
                continue;
            }
            return Http1Progress::NeedMore;
        }
        if (!self.head && self.parser->is_header_done() && !self.isInterim()) {
            self.takeHead();
        }
        // The parser appends to its own body; moving it out after each call keeps memory at what has just arrived.
        self.body += std::exchange(self.parser->get().body(), {});
        return progress;
    }
}

Http1Progress Http1ResponseReader::endOfInput()
{
    auto &self = *implementation_;
    if (!self.parser->is_header_done()) {
        return Http1Progress::Malformed;
    }
    error_code error;
    self.parser->put_eof(error);
    return !error && self.parser->is_done() ? Http1Progress::Complete : Http1Progress::Malformed;
}

bool Http1ResponseReader::hasHead() const
{
    return implementation_->head.has_value();
}

const Http1ResponseHead &Http1ResponseReader::head() const
{
    return *implementation_->head;
}

std::string Http1ResponseReader::takeBody()
{
    return std::exchange(implementation_->body, {});
}

bool Http1ResponseReader::endsWithConnection() const
{
    return implementation_->parser->is_header_done() && implementation_->parser->need_eof();
}

} // namespace hornbeamlane
