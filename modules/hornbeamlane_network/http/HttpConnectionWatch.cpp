#include "hornbeamlane_network/http/HttpConnectionWatch.h"

#include "hornbeamlane_network/http1/Http1Messages.h"
#include "hornbeamlane_network/socket/SocketOptions.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <string>
#include <utility>

#include <sys/socket.h>

namespace hornbeamlane {

namespace {

constexpr std::chrono::milliseconds sweepInterval{100};

/** Memory of an open connection that holds nothing, with the library's own objects. */
constexpr std::size_t connectionBytes = 6 * 1024;

/** The library keeps pieces of a body in blocks that are not filled, so that they take more than their bytes. */
constexpr std::size_t copiesOfBody = 2;

/** Bytes of a following request that are read ahead until the answer before it has been taken. */
constexpr std::size_t maxReadAheadBytes = 16 * 1024;

/** Connections that have been told to give way and are not closed yet, beyond the bound of open ones. */
constexpr std::size_t maxGivingWay = 64;

/** The library takes its handlers off a stream when it frees it. */
bool isFreed(bufferevent *stream)
{
    bufferevent_event_cb handler = nullptr;
    bufferevent_getcb(stream, nullptr, nullptr, &handler, nullptr);
    return handler == nullptr;
}

} // namespace

struct HttpConnectionWatch::Connection
{
    Connection(HttpConnectionWatch &owner, bufferevent *eventStream, MemoryAccount &account)
        : watch(owner)
        , stream(eventStream)
        , hold(account, [this] { watch.refuse(*this, 503, "memory"); })
    {
    }

    static void onInput(evbuffer *, const evbuffer_cb_info *change, void *context)
    {
        auto *self = static_cast<Connection *>(context);
        self->watch.handleInput(*self, change->n_added);
    }

    static void onOutput(evbuffer *, const evbuffer_cb_info *change, void *context)
    {
        auto *self = static_cast<Connection *>(context);
        self->hold.noteProgress(change->n_deleted);
        self->watch.handleOutput(*self);
    }

    bool hasOutput() const
    {
        return evbuffer_get_length(bufferevent_get_output(stream)) > 0;
    }

    HttpConnectionWatch &watch;
    bufferevent *stream;
    MemoryHold hold;
    /** Bytes of the request that is read, or of the body of the one that has been handed out. */
    std::size_t requestBytes = 0;
    TimePoint startedAt;
    bool isRefused = false;
};

HttpConnectionWatch::HttpConnectionWatch(EventLoop &loop, Options options)
    : loop_(loop)
    , options_(std::move(options))
    , sweepTimer_(loop, [this] { sweep(); })
{
    sweepTimer_.startRepeating(sweepInterval);
}

HttpConnectionWatch::~HttpConnectionWatch()
{
    for (const auto &[stream, connection] : connections_) {
        remove(*connection);
    }
}

void HttpConnectionWatch::add(bufferevent *stream)
{
    auto &account = options_.memory != nullptr ? *options_.memory : unlimited_;
    auto connection = std::make_unique<Connection>(*this, stream, account);
    auto *context = connection.get();
    bufferevent_incref(stream);
    connections_.emplace(stream, std::move(connection));
    evbuffer_add_cb(bufferevent_get_input(stream), &Connection::onInput, context);
    evbuffer_add_cb(bufferevent_get_output(stream), &Connection::onOutput, context);
    context->hold.enter(HoldPhase::Idle, loop_.now());
    updateHold(*context);
    updateAccepting();
}

void HttpConnectionWatch::remove(Connection &connection)
{
    evbuffer_remove_cb(bufferevent_get_input(connection.stream), &Connection::onInput, &connection);
    evbuffer_remove_cb(bufferevent_get_output(connection.stream), &Connection::onOutput, &connection);
    bufferevent_decref(connection.stream);
}

void HttpConnectionWatch::setListener(evconnlistener *listener)
{
    listener_ = listener;
    isAccepting_ = true;
}

void HttpConnectionWatch::updateAccepting()
{
    if (listener_ == nullptr) {
        return;
    }
    auto &account = options_.memory != nullptr ? *options_.memory : unlimited_;
    const auto count = connections_.size();
    const bool shouldAccept = count < options_.maxConnections
        || (count < options_.maxConnections + maxGivingWay && account.dropForDescriptor(loop_.now()));
    if (std::exchange(isAccepting_, shouldAccept) != shouldAccept) {
        shouldAccept ? evconnlistener_enable(listener_) : evconnlistener_disable(listener_);
    }
}

void HttpConnectionWatch::handleInput(Connection &connection, std::size_t bytes)
{
    if (isFreed(connection.stream)) {
        bufferevent_disable(connection.stream, EV_READ | EV_WRITE);
        return;
    }
    if (bytes == 0 || connection.isRefused || connection.hold.phase() == HoldPhase::Running) {
        return;
    }
    connection.requestBytes += bytes * copiesOfBody;
    if (connection.hold.phase() != HoldPhase::Reading && !connection.hasOutput()) {
        startReading(connection);
    }
    if (connection.hold.phase() == HoldPhase::Reading) {
        connection.hold.noteProgress(bytes);
    }
    updateHold(connection);
}

void HttpConnectionWatch::startReading(Connection &connection)
{
    connection.hold.enter(HoldPhase::Reading, loop_.now());
    connection.startedAt = loop_.now();
    liftReadBound(connection);
}

void HttpConnectionWatch::liftReadBound(Connection &connection)
{
    // The library moves a chunk only once it has all of it, so there is no bound while a body is read.
    bufferevent_setwatermark(connection.stream, EV_READ, 0, 0);
}

void HttpConnectionWatch::handleOutput(Connection &connection)
{
    // The library reads the next request only once the answer before it has been taken.
    if (!connection.isRefused && connection.hold.phase() == HoldPhase::Unread && !connection.hasOutput()) {
        if (connection.requestBytes > 0) {
            startReading(connection);
        } else {
            connection.hold.enter(HoldPhase::Idle, loop_.now());
            liftReadBound(connection);
        }
    }
    updateHold(connection);
}

void HttpConnectionWatch::updateHold(Connection &connection)
{
    if (connection.isRefused) {
        return;
    }
    const auto output = evbuffer_get_length(bufferevent_get_output(connection.stream));
    if (!connection.hold.resize(connectionBytes + connection.requestBytes + output, loop_.now())) {
        refuse(connection, 503, "memory");
    }
}

void HttpConnectionWatch::requestStarted(bufferevent *stream, std::size_t bodyBytes)
{
    if (const auto found = connections_.find(stream); found != connections_.end()) {
        found->second->hold.enter(HoldPhase::Running, loop_.now());
        found->second->requestBytes = bodyBytes * copiesOfBody;
        bufferevent_setwatermark(stream, EV_READ, 0, maxReadAheadBytes);
        updateHold(*found->second);
    }
}

void HttpConnectionWatch::requestEnded(bufferevent *stream)
{
    if (const auto found = connections_.find(stream); found != connections_.end()) {
        found->second->hold.enter(HoldPhase::Unread, loop_.now());
        found->second->requestBytes = 0;
        updateHold(*found->second);
    }
}

void HttpConnectionWatch::refuse(Connection &connection, int status, std::string_view cause)
{
    if (std::exchange(connection.isRefused, true)) {
        return;
    }
    const auto socket = bufferevent_getfd(connection.stream);
    const bool isReading = connection.hold.phase() == HoldPhase::Reading || connection.requestBytes > 0;
    if (isReading && !connection.hasOutput()) {
        // Nothing waits before it, so the answer can go straight to the socket.
        std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
        text.append(reasonPhrase(status)).append("\r\nContent-Length: 0\r\nConnection: close\r\n");
        text.append(status == 503 ? "Retry-After: 1\r\n\r\n" : "\r\n");
        send(socket, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    }
    if (connection.hasOutput()) {
        // An orderly end would make an answer without chunks and length look complete.
        resetConnection(socket);
    } else {
        shutdown(socket, SHUT_RDWR);
    }
    if (options_.onRefused) {
        options_.onRefused(status, cause);
    }
}

void HttpConnectionWatch::sweep()
{
    const auto now = loop_.now();
    std::erase_if(connections_, [this](const auto &entry) {
        if (!isFreed(entry.first)) {
            return false;
        }
        remove(*entry.second);
        return true;
    });
    updateAccepting();
    for (const auto &[stream, connection] : connections_) {
        // A stream without chunks may end when there is nothing left to write.
        if (connection->hold.phase() == HoldPhase::Unread) {
            handleOutput(*connection);
        }
        if (connection->hold.phase() == HoldPhase::Reading && now - connection->startedAt > options_.requestTimeout) {
            refuse(*connection, 408, "too_slow");
        }
    }
}

} // namespace hornbeamlane
