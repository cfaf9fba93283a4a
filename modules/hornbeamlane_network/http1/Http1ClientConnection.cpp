#include "hornbeamlane_network/http1/Http1ClientConnection.h"

#include "hornbeamlane_network/http1/Http1Readers.h"
#include "hornbeamlane_network/socket/SocketAddress.h"
#include "hornbeamlane_network/socket/SocketOptions.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <charconv>
#include <utility>

namespace hornbeamlane {

namespace {

/** Bytes that may wait for the end of a head, of the line before a chunk or of a trailer. */
constexpr std::size_t maxUnreadBytes = 128 * 1024;

/** Answers of other requests that are skipped before the own one, and the bytes of their bodies. */
constexpr int maxSkippedAnswers = 4;
constexpr std::size_t maxSkippedBytes = 1024 * 1024;

std::optional<std::chrono::seconds> keepAliveOf(const Http1ResponseHead &head)
{
    const auto *value = head.header("Keep-Alive");
    if (value == nullptr) {
        return std::nullopt;
    }
    static constexpr std::string_view key = "timeout=";
    const auto at = value->find(key);
    const auto *begin = value->data() + (at == std::string::npos ? 0 : at + key.size());
    unsigned seconds = 0;
    const auto [end, error] = std::from_chars(begin, value->data() + value->size(), seconds);
    if (error != std::errc() || end == begin) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

std::string serialiseHead(const Http1ClientConnection::Request &request)
{
    std::string text;
    text.reserve(512);
    text.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    for (const auto &[name, value] : request.headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT" || request.method == "PATCH") {
        text.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
    }
    text.append("\r\n");
    return text;
}

} // namespace

std::string_view toString(Http1CallEnd end)
{
    switch (end) {
    case Http1CallEnd::Complete:
        return "complete";
    case Http1CallEnd::NotSent:
        return "not_sent";
    case Http1CallEnd::BrokenOff:
        return "broken_off";
    case Http1CallEnd::BadResponse:
        return "bad_response";
    }
    return "unknown";
}

std::string serialiseRequest(const Http1ClientConnection::Request &request)
{
    return serialiseHead(request).append(request.body);
}

struct Http1ClientConnection::Implementation : std::enable_shared_from_this<Implementation>
{
    enum class State { Fresh, Busy, Idle, Closed };

    Implementation(EventLoop &eventLoop, Options connectionOptions)
        : loop(eventLoop)
        , options(std::move(connectionOptions))
    {
    }

    ~Implementation()
    {
        close();
    }

    void close()
    {
        state = State::Closed;
        if (stream != nullptr) {
            bufferevent_free(std::exchange(stream, nullptr));
        }
    }

    void cancel()
    {
        close();
        // One of the callbacks may be running, so they are destroyed on the next turn.
        loop.post([kept = std::exchange(callbacks, {})] {});
    }

    bool open()
    {
        const auto target = toSocketAddress(options.address);
        if (!target) {
            return false;
        }
        stream = bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(stream, &Implementation::onRead, nullptr, &Implementation::onEvent, this);
        const auto timeout = toTimeval(options.peerTimeout);
        bufferevent_set_timeouts(stream, nullptr, &timeout);
        bufferevent_enable(stream, EV_READ | EV_WRITE);
        if (!connectStream(stream, *target)) {
            return false;
        }
        setPeerTimeout(bufferevent_getfd(stream), options.peerTimeout);
        return true;
    }

    void call(const Request &request, Callbacks newCallbacks)
    {
        callbacks = std::move(newCallbacks);
        bodyRule =
            request.method == "HEAD" ? Http1ResponseReader::BodyRule::None : Http1ResponseReader::BodyRule::AsStated;
        reader.start(bodyRule);
        isHeadAccepted = false;
        isHeadRejected = false;
        skippedAnswers = 0;
        skippedBytes = 0;
        if (stream == nullptr && (state == State::Closed || !open())) {
            finishLater(Http1CallEnd::NotSent);
            return;
        }
        state = State::Busy;
        // The body is copied once only: it may be as large as all else that the entry holds.
        const auto head = serialiseHead(request);
        requestBytes = head.size() + request.body.size();
        auto *output = bufferevent_get_output(stream);
        evbuffer_add(output, head.data(), head.size());
        evbuffer_add(output, request.body.data(), request.body.size());
    }

    void finishLater(Http1CallEnd end)
    {
        state = State::Busy;
        loop.post([weak = weak_from_this(), end] {
            if (const auto self = weak.lock()) {
                self->finish(end);
            }
        });
    }

    void finish(Http1CallEnd end)
    {
        if (state != State::Busy) {
            return;
        }
        if (end == Http1CallEnd::Complete && canBeKept()) {
            state = State::Idle;
            // Reading may be paused for a slow caller of this call; without it neither the next answer nor the peer's
            // close is noticed.
            bufferevent_enable(stream, EV_READ);
        } else {
            close();
        }
        const auto handler = std::exchange(callbacks, {}).end;
        if (handler) {
            handler(end);
        }
    }

    /** An answer before the request has left entirely, or one with bytes behind it, leaves the stream out of step. */
    bool canBeKept() const
    {
        return stream != nullptr && reader.head().isKeepAlive && !reader.endsWithConnection()
            && evbuffer_get_length(bufferevent_get_output(stream)) == 0
            && evbuffer_get_length(bufferevent_get_input(stream)) == 0 && !isHeadRejected;
    }

    bool hasSentBytes() const
    {
        return stream == nullptr || evbuffer_get_length(bufferevent_get_output(stream)) < requestBytes;
    }

    /** Hands out what has been read; false once the call is over or the object is gone. */
    bool deliver(Http1Progress progress)
    {
        if (reader.hasHead() && !isHeadAccepted && !isHeadRejected) {
            keepAlive = keepAliveOf(reader.head());
            if (callbacks.head && !callbacks.head(reader.head())) {
                isHeadRejected = true;
            } else {
                isHeadAccepted = true;
            }
            if (state != State::Busy) {
                return false;
            }
        }
        const auto body = reader.takeBody();
        if (isHeadRejected) {
            skippedBytes += body.size();
        }
        if (skippedBytes > maxSkippedBytes || skippedAnswers > maxSkippedAnswers) {
            finish(Http1CallEnd::BadResponse);
            return false;
        }
        if (isHeadAccepted && !body.empty() && callbacks.data) {
            callbacks.data(body);
            if (state != State::Busy) {
                return false;
            }
        }
        if (progress == Http1Progress::NeedMore) {
            return true;
        }
        if (progress == Http1Progress::Complete && isHeadRejected) {
            reader.start(bodyRule);
            isHeadRejected = false;
            ++skippedAnswers;
            return true;
        }
        finish(progress == Http1Progress::Complete ? Http1CallEnd::Complete : Http1CallEnd::BadResponse);
        return false;
    }

    void readInput()
    {
        // Callbacks may drop the last outside reference.
        const auto self = shared_from_this();
        if (state == State::Idle) {
            close();
            return;
        }
        while (state == State::Busy && stream != nullptr) {
            auto *input = bufferevent_get_input(stream);
            const auto length = evbuffer_get_length(input);
            if (length == 0) {
                return;
            }
            const auto *bytes = reinterpret_cast<const char *>(evbuffer_pullup(input, -1));
            std::size_t consumed = 0;
            const auto progress = reader.consume({bytes, length}, consumed);
            evbuffer_drain(input, consumed);
            if (!deliver(progress)) {
                return;
            }
            if (progress == Http1Progress::NeedMore) {
                endIfUnreadable(length - consumed);
                return;
            }
        }
    }

    /** Ends the call if the peer has sent so much that the reader can do nothing with. */
    void endIfUnreadable(std::size_t unreadBytes)
    {
        if (unreadBytes > maxUnreadBytes) {
            finish(Http1CallEnd::BadResponse);
        }
    }

    void handleEvent(short events)
    {
        const auto self = shared_from_this();
        if ((events & BEV_EVENT_CONNECTED) != 0) {
            // From here on the socket's own time limit covers unacknowledged bytes; a slow reader is no failure.
            bufferevent_set_timeouts(stream, nullptr, nullptr);
            return;
        }
        if (state == State::Idle) {
            close();
            return;
        }
        if (state != State::Busy) {
            return;
        }
        if (!hasSentBytes()) {
            finish(Http1CallEnd::NotSent);
            return;
        }
        if ((events & BEV_EVENT_EOF) != 0 && reader.hasHead()) {
            const auto progress = reader.endOfInput();
            // An answer of another request is skipped, and behind it comes no other.
            if (progress == Http1Progress::Complete && !deliver(progress)) {
                return;
            }
        }
        finish(Http1CallEnd::BrokenOff);
    }

    static void onRead(bufferevent *, void *context)
    {
        static_cast<Implementation *>(context)->readInput();
    }

    static void onEvent(bufferevent *, short events, void *context)
    {
        static_cast<Implementation *>(context)->handleEvent(events);
    }

    EventLoop &loop;
    Options options;
    State state = State::Fresh;
    bufferevent *stream = nullptr;
    Http1ResponseReader reader;
    Http1ResponseReader::BodyRule bodyRule = Http1ResponseReader::BodyRule::AsStated;
    Callbacks callbacks;
    std::size_t requestBytes = 0;
    bool isHeadAccepted = false;
    bool isHeadRejected = false;
    int skippedAnswers = 0;
    std::size_t skippedBytes = 0;
    std::optional<std::chrono::seconds> keepAlive;
};

Http1ClientConnection::Http1ClientConnection(EventLoop &loop, Options options)
    : implementation_(std::make_shared<Implementation>(loop, std::move(options)))
{
}

Http1ClientConnection::~Http1ClientConnection()
{
    implementation_->cancel();
}

void Http1ClientConnection::call(const Request &request, Callbacks callbacks)
{
    implementation_->call(request, std::move(callbacks));
}

void Http1ClientConnection::cancel()
{
    implementation_->cancel();
}

bool Http1ClientConnection::isReusable() const
{
    return implementation_->state == Implementation::State::Idle;
}

std::optional<std::chrono::seconds> Http1ClientConnection::keepAliveTimeout() const
{
    return implementation_->keepAlive;
}

void Http1ClientConnection::pauseReading()
{
    if (implementation_->stream != nullptr) {
        bufferevent_disable(implementation_->stream, EV_READ);
    }
}

void Http1ClientConnection::resumeReading()
{
    if (implementation_->stream != nullptr) {
        bufferevent_enable(implementation_->stream, EV_READ);
    }
}

} // namespace hornbeamlane
