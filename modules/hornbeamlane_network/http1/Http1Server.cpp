#include "hornbeamlane_network/http1/Http1Server.h"

#include "hornbeamlane_network/http/HttpCall.h"
#include "hornbeamlane_network/http1/SocketOptions.h"
#include "hornbeamlane_network/loop/Timer.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <unordered_map>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace hornbeamlane {

namespace {

/** Unacknowledged bytes or unanswered keep-alive probes end a connection to a caller after this time. */
constexpr std::chrono::milliseconds callerTimeout{5000};

/** Time for which bytes of a caller are still discarded after the last answer, so that it is not lost to a reset. */
constexpr std::chrono::milliseconds lingerTime{1000};

/** Bytes of a following request that are read ahead while one is being answered. */
constexpr std::size_t maxReadAheadBytes = 64 * 1024;

constexpr int listenBacklog = 512;

/** Room for a 64-bit length in hexadecimal and the end of the line. */
using ChunkHeader = std::array<char, 18>;

std::string_view formatChunkHeader(std::size_t length, ChunkHeader &buffer)
{
    auto *end = std::to_chars(buffer.data(), buffer.data() + buffer.size() - 2, length, 16).ptr;
    *end++ = '\r';
    *end++ = '\n';
    return {buffer.data(), static_cast<std::size_t>(end - buffer.data())};
}

} // namespace

class Http1ServerConnection;

struct Http1Exchange::Implementation
{
    Http1Request request;
    std::string callerAddress;
    Http1ServerConnection *connection = nullptr;
    std::function<void()> closed;
    std::function<void()> drained;
    bool isStreaming = false;
    bool isChunked = false;
};

/** What the connections share. */
struct Http1Server::Implementation
{
    EventLoop &loop;
    Options options;
    Handler handler;
    evconnlistener *listener = nullptr;
    std::unordered_map<Http1ServerConnection *, std::unique_ptr<Http1ServerConnection>> connections;
    bool isClosing = false;
    bool isAccepting = true;
    std::size_t openExchanges = 0;

    void accept(evutil_socket_t socket, const sockaddr *address);
    void remove(Http1ServerConnection *connection);
    void updateAccepting();
};

class Http1ServerConnection final
{
public:
    Http1ServerConnection(Http1Server::Implementation &server, evutil_socket_t socket, std::string address)
        : server_(server)
        , address_(std::move(address))
        , timer_(server.loop, [this] { handleTimeout(); })
    {
        stream_ = bufferevent_socket_new(server.loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
        setPeerTimeout(socket, callerTimeout);
        bufferevent_setcb(stream_, &onRead, &onWrite, &onEvent, this);
        bufferevent_enable(stream_, EV_READ | EV_WRITE);
        awaitRequest();
    }

    ~Http1ServerConnection()
    {
        dropExchange();
        bufferevent_free(stream_);
    }

    Http1ServerConnection(const Http1ServerConnection &) = delete;
    Http1ServerConnection &operator=(const Http1ServerConnection &) = delete;

    bool isIdle() const
    {
        return state_ == State::Idle;
    }

    void closeIdle()
    {
        if (state_ == State::Idle) {
            closeAfterOutput();
        }
    }

    std::size_t bufferedBytes() const
    {
        return evbuffer_get_length(bufferevent_get_output(stream_));
    }

    void writeHead(int status, const HttpHeaders &headers, std::string_view framing)
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

    void write(std::string_view bytes)
    {
        evbuffer_add(bufferevent_get_output(stream_), bytes.data(), bytes.size());
    }

    /** The answer is complete; the next request may follow. */
    void finishAnswer()
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

    /** Ends the connection at once; by a reset if an orderly end would make the answer look complete. */
    void abort(bool isEndOfConnectionEndOfBody)
    {
        if (isEndOfConnectionEndOfBody) {
            const linger reset{.l_onoff = 1, .l_linger = 0};
            setsockopt(bufferevent_getfd(stream_), SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        }
        dropExchange();
        server_.remove(this);
    }

    bool mustClose() const
    {
        return server_.isClosing || !isKeepAlive_;
    }

    bool isHeadRequest() const
    {
        return exchange_ != nullptr && exchange_->request.method == "HEAD";
    }

    bool isHttp11() const
    {
        return isHttp11_;
    }

private:
    enum class State { Idle, Reading, Answering, Lingering };

    void awaitRequest()
    {
        state_ = State::Idle;
        const auto limits = server_.options.limits();
        reader_.start(limits.request);
        hasSentContinue_ = false;
        // A head longer than the read-ahead bound would otherwise never complete.
        bufferevent_setwatermark(stream_, EV_READ, 0, std::max(maxReadAheadBytes, limits.request.maxHeaderBytes * 2));
        timer_.startOnce(limits.idleTimeout);
    }

    void readInput()
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

    void handleProgress(Http1Progress progress)
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

    void refuse(int status)
    {
        isKeepAlive_ = false;
        writeHead(status, {}, "Content-Length: 0\r\n");
        closeAfterOutput();
    }

    void startExchange()
    {
        state_ = State::Answering;
        timer_.stop();
        auto request = reader_.take();
        isKeepAlive_ = request.isKeepAlive;
        isHttp11_ = request.isHttp11;
        exchange_ = std::make_shared<Http1Exchange::Implementation>();
        exchange_->request = std::move(request);
        exchange_->callerAddress = address_;
        exchange_->connection = this;
        ++server_.openExchanges;
        server_.handler(std::make_shared<Http1Exchange>(exchange_));
    }

    void dropExchange()
    {
        if (exchange_ == nullptr) {
            return;
        }
        --server_.openExchanges;
        exchange_->connection = nullptr;
        exchange_.reset();
    }

    /** Sends what is left, then reads on for a while: closing with unread bytes would reset the connection. */
    void closeAfterOutput()
    {
        state_ = State::Lingering;
        timer_.startOnce(lingerTime);
        discardInput();
        if (bufferedBytes() == 0) {
            shutdown(bufferevent_getfd(stream_), SHUT_WR);
        }
    }

    void discardInput()
    {
        auto *input = bufferevent_get_input(stream_);
        evbuffer_drain(input, evbuffer_get_length(input));
    }

    void handleTimeout()
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

    void handleWritten()
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

    void handleEnd()
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

    static void onRead(bufferevent *, void *context)
    {
        static_cast<Http1ServerConnection *>(context)->readInput();
    }

    static void onWrite(bufferevent *, void *context)
    {
        static_cast<Http1ServerConnection *>(context)->handleWritten();
    }

    static void onEvent(bufferevent *, short, void *context)
    {
        static_cast<Http1ServerConnection *>(context)->handleEnd();
    }

    Http1Server::Implementation &server_;
    std::string address_;
    Timer timer_;
    bufferevent *stream_ = nullptr;
    Http1RequestReader reader_;
    State state_ = State::Idle;
    bool isKeepAlive_ = true;
    bool isHttp11_ = true;
    bool hasSentContinue_ = false;
    std::shared_ptr<Http1Exchange::Implementation> exchange_;
};

Http1Exchange::Http1Exchange(std::shared_ptr<Implementation> implementation)
    : implementation_(std::move(implementation))
{
}

Http1Exchange::~Http1Exchange() = default;

const Http1Request &Http1Exchange::request() const
{
    return implementation_->request;
}

const std::string &Http1Exchange::callerAddress() const
{
    return implementation_->callerAddress;
}

void Http1Exchange::reply(int status, const HttpHeaders &headers, std::string_view body)
{
    auto *connection = implementation_->connection;
    if (connection == nullptr) {
        return;
    }
    connection->writeHead(status, headers, "Content-Length: " + std::to_string(body.size()) + "\r\n");
    if (!connection->isHeadRequest()) {
        connection->write(body);
    }
    connection->finishAnswer();
}

void Http1Exchange::startStream(int status, const HttpHeaders &headers)
{
    auto *connection = implementation_->connection;
    if (connection == nullptr) {
        return;
    }
    implementation_->isStreaming = true;
    implementation_->isChunked = connection->isHttp11();
    // Without chunks only the end of the connection ends the body.
    connection->writeHead(status, headers, implementation_->isChunked ? "Transfer-Encoding: chunked\r\n" : "");
}

void Http1Exchange::sendPiece(std::string_view bytes)
{
    auto *connection = implementation_->connection;
    if (connection == nullptr || bytes.empty()) {
        return;
    }
    if (!implementation_->isChunked) {
        connection->write(bytes);
        return;
    }
    ChunkHeader buffer;
    connection->write(formatChunkHeader(bytes.size(), buffer));
    connection->write(bytes);
    connection->write("\r\n");
}

void Http1Exchange::finishStream()
{
    auto *connection = implementation_->connection;
    if (connection == nullptr) {
        return;
    }
    if (implementation_->isChunked) {
        connection->write("0\r\n\r\n");
    }
    connection->finishAnswer();
}

void Http1Exchange::abort()
{
    if (implementation_->connection != nullptr) {
        implementation_->connection->abort(implementation_->isStreaming && !implementation_->isChunked);
    }
}

bool Http1Exchange::isStreaming() const
{
    return implementation_->isStreaming;
}

bool Http1Exchange::isClosed() const
{
    return implementation_->connection == nullptr;
}

std::size_t Http1Exchange::bufferedBytes() const
{
    return implementation_->connection == nullptr ? 0 : implementation_->connection->bufferedBytes();
}

void Http1Exchange::onClosed(std::function<void()> handler)
{
    implementation_->closed = std::move(handler);
}

void Http1Exchange::onDrained(std::function<void()> handler)
{
    implementation_->drained = std::move(handler);
}

void Http1Server::Implementation::accept(evutil_socket_t socket, const sockaddr *address)
{
    std::array<char, INET_ADDRSTRLEN> text{};
    const auto *inet = reinterpret_cast<const sockaddr_in *>(address);
    inet_ntop(AF_INET, &inet->sin_addr, text.data(), text.size());
    auto connection = std::make_unique<Http1ServerConnection>(*this, socket, text.data());
    auto *key = connection.get();
    connections.emplace(key, std::move(connection));
    updateAccepting();
}

void Http1Server::Implementation::remove(Http1ServerConnection *connection)
{
    const auto found = connections.find(connection);
    if (found == connections.end()) {
        return;
    }
    // Destroyed on the next turn, because the connection itself may be calling.
    const std::shared_ptr<Http1ServerConnection> ended = std::move(found->second);
    connections.erase(found);
    loop.post([ended] {});
    updateAccepting();
}

void Http1Server::Implementation::updateAccepting()
{
    if (listener == nullptr) {
        return;
    }
    const bool shouldAccept = connections.size() < options.maxConnections;
    if (shouldAccept != isAccepting) {
        isAccepting = shouldAccept;
        shouldAccept ? evconnlistener_enable(listener) : evconnlistener_disable(listener);
    }
}

Http1Server::Http1Server(EventLoop &loop, Options options, Handler handler)
    : implementation_(new Implementation{.loop = loop, .options = std::move(options), .handler = std::move(handler)})
{
}

Http1Server::~Http1Server()
{
    if (implementation_->listener != nullptr) {
        evconnlistener_free(implementation_->listener);
    }
}

bool Http1Server::listen(const std::string &address)
{
    const auto parts = splitAddress(address);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    if (!parts || inet_pton(AF_INET, parts->first.c_str(), &target.sin_addr) != 1) {
        return false;
    }
    target.sin_port = htons(parts->second);
    implementation_->listener = evconnlistener_new_bind(
        implementation_->loop.base(),
        [](evconnlistener *, evutil_socket_t socket, sockaddr *caller, int, void *context) {
            static_cast<Implementation *>(context)->accept(socket, caller);
        },
        implementation_.get(), LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, listenBacklog,
        reinterpret_cast<sockaddr *>(&target), sizeof(target));
    return implementation_->listener != nullptr;
}

std::uint16_t Http1Server::port() const
{
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    getsockname(evconnlistener_get_fd(implementation_->listener), reinterpret_cast<sockaddr *>(&address), &length);
    return ntohs(address.sin_port);
}

void Http1Server::announceClose()
{
    implementation_->isClosing = true;
}

void Http1Server::stopAccepting()
{
    implementation_->isClosing = true;
    if (implementation_->listener != nullptr) {
        evconnlistener_free(std::exchange(implementation_->listener, nullptr));
    }
    for (const auto &[key, connection] : implementation_->connections) {
        key->closeIdle();
    }
}

std::size_t Http1Server::connectionCount() const
{
    return implementation_->connections.size();
}

std::size_t Http1Server::openExchanges() const
{
    return implementation_->openExchanges;
}

} // namespace hornbeamlane
