#include "hornbeamlane_network/http1/Http1Server.h"

#include "hornbeamlane_network/http1/Http1ServerConnection.h"
#include "hornbeamlane_network/socket/SocketAddress.h"

#include <event2/listener.h>

#include <array>
#include <charconv>
#include <utility>

namespace hornbeamlane {

namespace {

constexpr int listenBacklog = 512;

/** Connections that have been told to give way and still send their last answer, beyond the bound of open ones. */
constexpr std::size_t maxGivingWay = 64;

/** Time after which a full server looks again for a connection that may give way. */
constexpr std::chrono::milliseconds acceptRetry{100};

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

Http1Exchange::Http1Exchange(std::shared_ptr<Implementation> implementation)
    : implementation_(std::move(implementation))
{
}

Http1Exchange::~Http1Exchange() = default;

const Http1Request &Http1Exchange::request() const
{
    return implementation_->request;
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
    if (!implementation_->isChunked) {
        // Only the end of the connection ends the body, also for a caller of HTTP/1.0 that asks to keep it.
        connection->closeAfterAnswer();
    }
    connection->writeHead(status, headers, implementation_->isChunked ? "Transfer-Encoding: chunked\r\n" : "");
}

void Http1Exchange::sendPiece(std::string_view bytes)
{
    auto *connection = implementation_->connection;
    if (connection == nullptr || bytes.empty() || connection->isHeadRequest()) {
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
    // Behind a head without body even the last chunk would be taken for the start of the next answer.
    if (implementation_->isChunked && !connection->isHeadRequest()) {
        connection->write("0\r\n\r\n");
    }
    connection->finishAnswer();
}

void Http1Exchange::abort()
{
    if (implementation_->connection != nullptr) {
        implementation_->connection->abort();
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

void Http1Exchange::setCollectedBytes(std::size_t bytes)
{
    if (implementation_->connection != nullptr) {
        implementation_->connection->setCollectedBytes(bytes);
    }
}

bool Http1Exchange::isMemoryShort() const
{
    return implementation_->connection != nullptr && implementation_->connection->isMemoryShort();
}

void Http1Exchange::onClosed(std::function<void()> handler)
{
    implementation_->closed = std::move(handler);
}

void Http1Exchange::onDrained(std::function<void()> handler)
{
    implementation_->drained = std::move(handler);
}

Http1Server::Implementation::Implementation(EventLoop &eventLoop, Options serverOptions, Handler requestHandler)
    : loop(eventLoop)
    , options(std::move(serverOptions))
    , handler(std::move(requestHandler))
    , retryTimer(eventLoop, [this] { updateAccepting(); })
{
}

void Http1Server::Implementation::accept(evutil_socket_t socket)
{
    auto connection = std::make_shared<Http1ServerConnection>(*this, socket);
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
    // Owned by the server and not by the task, since the loop may outlive the server and its account of memory.
    ended.push_back(std::move(found->second));
    connections.erase(found);
    loop.post([weak = weak_from_this()] {
        if (const auto server = weak.lock()) {
            server->ended.clear();
        }
    });
    updateAccepting();
}

void Http1Server::Implementation::updateAccepting()
{
    if (listener == nullptr) {
        return;
    }
    const bool shouldAccept = connections.size() < options.maxConnections
        || (connections.size() < options.maxConnections + maxGivingWay && memory().dropForDescriptor(loop.now()));
    if (shouldAccept != isAccepting) {
        isAccepting = shouldAccept;
        shouldAccept ? evconnlistener_enable(listener) : evconnlistener_disable(listener);
    }
    if (!isAccepting) {
        // Time alone makes connections idle or slow enough to give way.
        retryTimer.startOnce(acceptRetry);
    }
}

Http1Server::Http1Server(EventLoop &loop, Options options, Handler handler)
    : implementation_(std::make_shared<Implementation>(loop, std::move(options), std::move(handler)))
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
    const auto local = toSocketAddress(address);
    if (!local) {
        return false;
    }
    implementation_->listener = evconnlistener_new_bind(
        implementation_->loop.base(),
        [](evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *context) {
            static_cast<Implementation *>(context)->accept(socket);
        },
        implementation_.get(), LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, listenBacklog,
        reinterpret_cast<const sockaddr *>(&*local), sizeof(*local));
    return implementation_->listener != nullptr;
}

std::uint16_t Http1Server::port() const
{
    return boundPort(evconnlistener_get_fd(implementation_->listener));
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

void Http1Server::refuseUnread()
{
    for (const auto &[key, connection] : implementation_->connections) {
        key->refuseUnread();
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
