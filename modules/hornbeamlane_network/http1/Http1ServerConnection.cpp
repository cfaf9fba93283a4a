#include "hornbeamlane_network/http1/Http1ServerConnection.h"

#include "hornbeamlane_network/socket/SocketOptions.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <algorithm>
#include <utility>

#include <sys/socket.h>

namespace hornbeamlane {

namespace {

/** Unacknowledged bytes or unanswered keep-alive probes end a connection to a caller after this time. */
constexpr std::chrono::milliseconds callerTimeout{5000};

/** Time for which bytes of a caller are still discarded after the last answer, so that it is not lost to a reset. */
constexpr std::chrono::milliseconds lingerTime{1000};

/** Bytes that are read at once, and those of a following request that are read ahead while one is being answered. */
constexpr std::size_t maxInputBytes = 64 * 1024;
constexpr std::size_t maxReadAheadBytes = 8 * 1024;

/** No further request is read while so many bytes of answers wait for the caller. */
constexpr std::size_t maxUnreadAnswerBytes = 256 * 1024;

/** Time after which an answer is given up of which the caller takes nothing. Callers abandon after 2 s. */
constexpr std::chrono::milliseconds unreadTimeout{10000};

/** Memory of an open connection that holds nothing: the stream with its buffers, the reader and the events. */
constexpr std::size_t connectionBytes = 4 * 1024;

/** Seconds after which a refused caller may find room: slow requests have given way by then. */
constexpr const char *retryAfterRefusal = "1";

/** A request is held twice while it is forwarded: once for a repetition and once for the server. */
constexpr std::size_t copiesOfRequest = 2;

} // namespace

Http1ServerConnection::Http1ServerConnection(Http1Server::Implementation &server, evutil_socket_t socket)
    : server_(server)
    , timer_(server.loop, [this] { handleTimeout(); })
    , hold_(server.memory(), [this] { giveWay(); })
{
    stream_ = bufferevent_socket_new(server.loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    setPeerTimeout(socket, callerTimeout);
    bufferevent_setcb(
        stream_, [](bufferevent *, void *context) { static_cast<Http1ServerConnection *>(context)->readInput(); },
        [](bufferevent *, void *context) { static_cast<Http1ServerConnection *>(context)->handleWritten(); },
        [](bufferevent *, short, void *context) { static_cast<Http1ServerConnection *>(context)->handleEnd(); }, this);
    evbuffer_add_cb(
        bufferevent_get_output(stream_),
        [](evbuffer *, const evbuffer_cb_info *change, void *context) {
            static_cast<Http1ServerConnection *>(context)->handleOutput(change->n_deleted);
        },
        this);
    bufferevent_enable(stream_, EV_READ | EV_WRITE);
    awaitRequest();
}

TimePoint Http1ServerConnection::now() const
{
    return server_.loop.now();
}

bool Http1ServerConnection::updateHold()
{
    return hold_.resize(connectionBytes + requestBytes_ + collectedBytes_ + bufferedBytes()
                            + evbuffer_get_length(bufferevent_get_input(stream_)),
                        now());
}

void Http1ServerConnection::setCollectedBytes(std::size_t bytes)
{
    collectedBytes_ = bytes;
    updateHold();
}

bool Http1ServerConnection::isMemoryShort() const
{
    return server_.memory().isShort();
}

void Http1ServerConnection::handleOutput(std::size_t takenBytes)
{
    if (takenBytes > 0) {
        takenAt_ = now();
        hold_.noteProgress(takenBytes);
        if (hold_.phase() == HoldPhase::Unread && bufferedBytes() == 0) {
            hold_.enter(HoldPhase::Idle, now());
        }
    }
    updateHold();
}

void Http1ServerConnection::giveWay()
{
    if (state_ == State::Reading) {
        refuse(503, "memory_or_descriptors");
        return;
    }
    if (!server_.connections.contains(this)) {
        return;
    }
    // Called from the account, possibly while this connection writes, so it ends on the next turn.
    isGivingWay_ = true;
    if (bufferedBytes() > 0) {
        resetOnClose(bufferevent_getfd(stream_));
    }
    callLater(&Http1ServerConnection::remove);
}

void Http1ServerConnection::callLater(void (Http1ServerConnection::*function)())
{
    server_.loop.post([weak = weak_from_this(), function] {
        const auto connection = weak.lock();
        if (connection != nullptr && connection->server_.connections.contains(connection.get())) {
            (*connection.*function)();
        }
    });
}

void Http1ServerConnection::remove()
{
    server_.remove(this);
}

Http1ServerConnection::~Http1ServerConnection()
{
    cutExchange();
    bufferevent_free(stream_);
}

void Http1ServerConnection::closeIdle()
{
    if (state_ == State::Idle) {
        closeAfterOutput();
    }
}

void Http1ServerConnection::refuseUnread()
{
    if (state_ == State::Reading) {
        refuse(503, "stopping");
    }
}

std::size_t Http1ServerConnection::bufferedBytes() const
{
    return evbuffer_get_length(bufferevent_get_output(stream_));
}

void Http1ServerConnection::write(std::string_view bytes)
{
    evbuffer_add(bufferevent_get_output(stream_), bytes.data(), bytes.size());
}

void Http1ServerConnection::writeHead(int status, const HttpHeaders &headers, std::string_view framing)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
    text.append(reasonPhrase(status)).append("\r\n");
    for (const auto &[name, value] : headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    text.append(framing);
    if (mustClose()) {
        text.append("Connection: close\r\n");
    }
    text.append("\r\n");
    write(text);
}

void Http1ServerConnection::finishAnswer()
{
    const bool close = mustClose();
    dropExchange();
    requestBytes_ = 0;
    collectedBytes_ = 0;
    takenAt_ = now();
    if (close) {
        closeAfterOutput();
        return;
    }
    awaitRequest();
    // Bytes of the next request may already be there; a task of its own keeps the stack flat.
    if (evbuffer_get_length(bufferevent_get_input(stream_)) > 0) {
        callLater(&Http1ServerConnection::readInput);
    }
}

void Http1ServerConnection::abort()
{
    cutExchange();
    server_.remove(this);
}

void Http1ServerConnection::awaitRequest()
{
    state_ = State::Idle;
    hold_.enter(bufferedBytes() > 0 ? HoldPhase::Unread : HoldPhase::Idle, now());
    const auto limits = server_.options.limits();
    reader_.start(limits.request);
    hasSentContinue_ = false;
    requestBytes_ = 0;
    updateHold();
    // A head longer than the read-ahead bound would otherwise never complete.
    bufferevent_setwatermark(stream_, EV_READ, 0, std::max(maxInputBytes, limits.request.maxHeaderBytes * 2));
    timer_.startOnce(limits.idleTimeout);
}

void Http1ServerConnection::readInput()
{
    if (state_ == State::Lingering) {
        discardInput();
        return;
    }
    if (state_ == State::Answering || isGivingWay_
        || (state_ == State::Idle && bufferedBytes() > maxUnreadAnswerBytes)) {
        updateHold();
        return;
    }
    auto *input = bufferevent_get_input(stream_);
    const auto length = evbuffer_get_length(input);
    if (length == 0) {
        return;
    }
    if (state_ == State::Idle) {
        state_ = State::Reading;
        hold_.enter(HoldPhase::Reading, now());
        timer_.startOnce(server_.options.limits().headerTimeout);
    } else if (reader_.hasHead()) {
        startReadTimer();
    }
    const bool hadHead = reader_.hasHead();
    const auto *bytes = reinterpret_cast<const char *>(evbuffer_pullup(input, -1));
    std::size_t consumed = 0;
    const auto progress = reader_.consume({bytes, length}, consumed);
    evbuffer_drain(input, consumed);
    hold_.noteProgress(consumed);
    if (!hadHead && reader_.hasHead()) {
        bodyEndsBy_ = now() + server_.options.limits().bodyTimeout;
        startReadTimer();
    }
    const bool isRefusal = progress != Http1Progress::NeedMore && progress != Http1Progress::Complete;
    if (isRefusal || admitInput()) {
        handleProgress(progress);
    }
}

bool Http1ServerConnection::admitInput()
{
    std::size_t bytes = reader_.heldBytes();
    if (reader_.hasHead()) {
        bytes = std::max<std::size_t>(bytes, reader_.announcedBytes().value_or(0));
    }
    requestBytes_ = bytes * copiesOfRequest;
    if (!updateHold()) {
        refuse(503, "no_memory");
        return false;
    }
    return true;
}

void Http1ServerConnection::startReadTimer()
{
    const auto left = std::max<Duration>(bodyEndsBy_ - now(), Duration::zero());
    timer_.startOnce(std::min<Duration>(server_.options.limits().headerTimeout, left));
}

void Http1ServerConnection::handleProgress(Http1Progress progress)
{
    switch (progress) {
    case Http1Progress::NeedMore:
        if (reader_.hasHead() && reader_.expectsContinue() && !hasSentContinue_) {
            hasSentContinue_ = true;
            write("HTTP/1.1 100 Continue\r\n\r\n");
        }
        return;
    case Http1Progress::Complete:
        startExchange();
        return;
    case Http1Progress::HeadTooLarge:
        refuse(431, "head_too_large");
        return;
    case Http1Progress::BodyTooLarge:
        refuse(413, "body_too_large");
        return;
    case Http1Progress::Malformed:
        refuse(400, "malformed");
        return;
    }
}

void Http1ServerConnection::refuse(int status, std::string_view cause)
{
    isKeepAlive_ = false;
    state_ = State::Lingering;
    hold_.enter(HoldPhase::Idle, now());
    // What has been read goes at once, and not with the connection.
    reader_.start({});
    requestBytes_ = 0;
    discardInput();
    HttpHeaders headers;
    if (status == 503) {
        headers.emplace_back("Retry-After", retryAfterRefusal);
    }
    writeHead(status, headers, "Content-Length: 0\r\n");
    closeAfterOutput();
    server_.options.onRefused(status, cause);
}

void Http1ServerConnection::startExchange()
{
    state_ = State::Answering;
    timer_.stop();
    hold_.enter(HoldPhase::Running, now());
    bufferevent_setwatermark(stream_, EV_READ, 0, maxReadAheadBytes);
    auto request = reader_.take();
    isKeepAlive_ = request.isKeepAlive;
    isHttp11_ = request.isHttp11;
    exchange_ = std::make_shared<Http1Exchange::Implementation>();
    exchange_->request = std::move(request);
    exchange_->connection = this;
    ++server_.openExchanges;
    server_.handler(std::make_shared<Http1Exchange>(exchange_));
}

void Http1ServerConnection::dropExchange()
{
    if (exchange_ == nullptr) {
        return;
    }
    --server_.openExchanges;
    exchange_->connection = nullptr;
    exchange_.reset();
}

void Http1ServerConnection::cutExchange()
{
    if (exchange_ != nullptr && exchange_->isStreaming && !exchange_->isChunked) {
        resetOnClose(bufferevent_getfd(stream_));
    }
    dropExchange();
}

void Http1ServerConnection::closeAfterOutput()
{
    state_ = State::Lingering;
    takenAt_ = now();
    hold_.enter(bufferedBytes() > 0 ? HoldPhase::Unread : HoldPhase::Idle, now());
    reader_.start({});
    timer_.startOnce(lingerTime);
    discardInput();
    if (bufferedBytes() == 0) {
        shutdown(bufferevent_getfd(stream_), SHUT_WR);
    }
}

void Http1ServerConnection::discardInput()
{
    auto *input = bufferevent_get_input(stream_);
    evbuffer_drain(input, evbuffer_get_length(input));
    updateHold();
}

void Http1ServerConnection::handleTimeout()
{
    if (state_ == State::Reading) {
        refuse(408, "too_slow");
        return;
    }
    if (state_ == State::Idle) {
        closeAfterOutput();
        return;
    }
    if (state_ == State::Lingering && bufferedBytes() > 0 && now() - takenAt_ < unreadTimeout) {
        timer_.startOnce(lingerTime);
        return;
    }
    if (bufferedBytes() > 0) {
        resetOnClose(bufferevent_getfd(stream_));
    }
    server_.remove(this);
}

void Http1ServerConnection::handleWritten()
{
    if (state_ == State::Lingering) {
        shutdown(bufferevent_getfd(stream_), SHUT_WR);
        return;
    }
    if (state_ == State::Idle && evbuffer_get_length(bufferevent_get_input(stream_)) > 0) {
        readInput();
        return;
    }
    if (exchange_ != nullptr && exchange_->drained) {
        const auto handler = exchange_->drained;
        handler();
    }
}

void Http1ServerConnection::handleEnd()
{
    const auto exchange = exchange_;
    cutExchange();
    if (bufferedBytes() > 0) {
        resetOnClose(bufferevent_getfd(stream_));
    }
    auto &server = server_;
    server.remove(this);
    if (exchange != nullptr && exchange->closed) {
        const auto handler = std::move(exchange->closed);
        handler();
    }
}

} // namespace hornbeamlane
