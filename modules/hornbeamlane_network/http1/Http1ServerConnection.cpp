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

/** Bytes of a following request that are read ahead while one is being answered. */
constexpr std::size_t maxReadAheadBytes = 64 * 1024;

} // namespace

Http1ServerConnection::Http1ServerConnection(Http1Server::Implementation &server, evutil_socket_t socket)
    : server_(server)
    , timer_(server.loop, [this] { handleTimeout(); })
{
    stream_ = bufferevent_socket_new(server.loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    setPeerTimeout(socket, callerTimeout);
    bufferevent_setcb(
        stream_, [](bufferevent *, void *context) { static_cast<Http1ServerConnection *>(context)->readInput(); },
        [](bufferevent *, void *context) { static_cast<Http1ServerConnection *>(context)->handleWritten(); },
        [](bufferevent *, short, void *context) { static_cast<Http1ServerConnection *>(context)->handleEnd(); }, this);
    bufferevent_enable(stream_, EV_READ | EV_WRITE);
    awaitRequest();
}

Http1ServerConnection::~Http1ServerConnection()
{
    dropExchange();
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
        refuse(503);
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
    if (close) {
        closeAfterOutput();
        return;
    }
    awaitRequest();
    // Bytes of the next request may already be there; a task of its own keeps the stack flat.
    if (evbuffer_get_length(bufferevent_get_input(stream_)) > 0) {
        server_.loop.post([&server = server_, this] {
            if (server.connections.contains(this)) {
                readInput();
            }
        });
    }
}

void Http1ServerConnection::abort(bool isEndOfConnectionEndOfBody)
{
    if (isEndOfConnectionEndOfBody) {
        resetOnClose(bufferevent_getfd(stream_));
    }
    dropExchange();
    server_.remove(this);
}

void Http1ServerConnection::awaitRequest()
{
    state_ = State::Idle;
    const auto limits = server_.options.limits();
    reader_.start(limits.request);
    hasSentContinue_ = false;
    // A head longer than the read-ahead bound would otherwise never complete.
    bufferevent_setwatermark(stream_, EV_READ, 0, std::max(maxReadAheadBytes, limits.request.maxHeaderBytes * 2));
    timer_.startOnce(limits.idleTimeout);
}

void Http1ServerConnection::readInput()
{
    if (state_ == State::Lingering) {
        discardInput();
        return;
    }
    if (state_ == State::Answering) {
        return;
    }
    auto *input = bufferevent_get_input(stream_);
    const auto length = evbuffer_get_length(input);
    if (length == 0) {
        return;
    }
    if (state_ == State::Idle) {
        state_ = State::Reading;
        timer_.startOnce(server_.options.limits().headerTimeout);
    } else if (reader_.hasHead()) {
        timer_.startOnce(server_.options.limits().headerTimeout);
    }
    const auto *bytes = reinterpret_cast<const char *>(evbuffer_pullup(input, -1));
    std::size_t consumed = 0;
    const auto progress = reader_.consume({bytes, length}, consumed);
    evbuffer_drain(input, consumed);
    handleProgress(progress);
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
        refuse(431);
        return;
    case Http1Progress::BodyTooLarge:
        refuse(413);
        return;
    case Http1Progress::Malformed:
        refuse(400);
        return;
    }
}

void Http1ServerConnection::refuse(int status)
{
    isKeepAlive_ = false;
    writeHead(status, {}, "Content-Length: 0\r\n");
    closeAfterOutput();
}

void Http1ServerConnection::startExchange()
{
    state_ = State::Answering;
    timer_.stop();
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

void Http1ServerConnection::closeAfterOutput()
{
    state_ = State::Lingering;
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
}

void Http1ServerConnection::handleTimeout()
{
    if (state_ == State::Reading) {
        refuse(408);
        return;
    }
    if (state_ == State::Idle) {
        closeAfterOutput();
        return;
    }
    if (state_ == State::Lingering && bufferedBytes() > 0) {
        timer_.startOnce(lingerTime);
        return;
    }
    server_.remove(this);
}

void Http1ServerConnection::handleWritten()
{
    if (state_ == State::Lingering) {
        shutdown(bufferevent_getfd(stream_), SHUT_WR);
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
    dropExchange();
    auto &server = server_;
    server.remove(this);
    if (exchange != nullptr && exchange->closed) {
        const auto handler = std::move(exchange->closed);
        handler();
    }
}

} // namespace hornbeamlane
