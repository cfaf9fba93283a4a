#include "hornbeamlane_network/link/Link.h"

#include "hornbeamlane_network/loop/Timer.h"
#include "hornbeamlane_network/socket/SocketAddress.h"
#include "websocket_session/WebSocketSession.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/tcp.h>

namespace hornbeamlane {

std::string_view toString(LinkEnd end)
{
    switch (end) {
    case LinkEnd::ClosedByPeer:
        return "closed_by_peer";
    case LinkEnd::ClosedLocally:
        return "closed_locally";
    case LinkEnd::ConnectFailed:
        return "connect_failed";
    case LinkEnd::HandshakeTimedOut:
        return "handshake_timed_out";
    case LinkEnd::PeerSilent:
        return "peer_silent";
    case LinkEnd::BadFrame:
        return "bad_frame";
    case LinkEnd::BufferFull:
        return "buffer_full";
    }
    return "closed_locally";
}

struct Link::Implementation : std::enable_shared_from_this<Link::Implementation>
{
    EventLoop &loop;
    Options options;
    Callbacks callbacks;
    bufferevent *stream = nullptr;
    std::unique_ptr<websocket::WebSocketSession> session;
    std::unique_ptr<Timer> heartbeatTimer;
    std::unique_ptr<Timer> handshakeTimer;
    Hello peer;
    std::string target;
    TimePoint lastReceived;
    bool isConnected = false;
    bool isSessionOpen = false;
    bool isOpen = false;
    bool isOver = false;

    Implementation(EventLoop &loopToUse, Options optionsToUse, Callbacks callbacksToUse)
        : loop(loopToUse)
        , options(std::move(optionsToUse))
        , callbacks(std::move(callbacksToUse))
    {
    }

    ~Implementation()
    {
        freeStream();
    }

    void setUp(std::intptr_t socket)
    {
        stream = bufferevent_socket_new(loop.base(), static_cast<evutil_socket_t>(socket), BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(
            stream, [](bufferevent *, void *context) { static_cast<Implementation *>(context)->handleReadable(); },
            nullptr,
            [](bufferevent *, short events, void *context) {
                static_cast<Implementation *>(context)->handleEvents(events);
            },
            this);
        bufferevent_enable(stream, EV_READ | EV_WRITE);
        handshakeTimer = std::make_unique<Timer>(loop, [this] { end(LinkEnd::HandshakeTimedOut); });
        handshakeTimer->startOnce(options.handshakeTimeout);
        heartbeatTimer = std::make_unique<Timer>(loop, [this] { beat(); });
    }

    websocket::WebSocketSession::Callbacks sessionCallbacks()
    {
        websocket::WebSocketSession::Callbacks result;
        result.write = [this](const char *bytes, std::size_t size) {
            if (stream != nullptr) {
                bufferevent_write(stream, bytes, size);
            }
        };
        result.open = [this] { handleSessionOpen(); };
        result.receive = [this](const std::string &frame) { handleFrame(frame); };
        result.closed = [this] { end(LinkEnd::ClosedByPeer); };
        return result;
    }

    void startServer()
    {
        isConnected = true;
        disableDelay();
        session = websocket::WebSocketSession::server(sessionCallbacks(), maxFrameBytes);
    }

    void startClient()
    {
        isConnected = true;
        disableDelay();
        session = websocket::WebSocketSession::client("ws://" + target + "/link", sessionCallbacks(), maxFrameBytes);
        if (!session) {
            end(LinkEnd::ConnectFailed);
        }
    }

    /** Tokens are small and must not wait for each other in the kernel. */
    void disableDelay() const
    {
        const int enabled = 1;
        setsockopt(bufferevent_getfd(stream), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    }

    void handleEvents(short events)
    {
        const auto keep = shared_from_this();
        if ((events & BEV_EVENT_CONNECTED) != 0) {
            startClient();
            return;
        }
        end(isConnected ? LinkEnd::ClosedByPeer : LinkEnd::ConnectFailed);
    }

    void handleReadable()
    {
        const auto keep = shared_from_this();
        char buffer[16384];
        while (!isOver && session) {
            const auto size = bufferevent_read(stream, buffer, sizeof(buffer));
            if (size == 0) {
                return;
            }
            session->feed(buffer, size);
        }
    }

    void handleSessionOpen()
    {
        isSessionOpen = true;
        sendNow(options.hello());
        lastReceived = loop.now();
        heartbeatTimer->startRepeating(options.heartbeatInterval);
    }

    void handleFrame(const std::string &frame)
    {
        if (isOver) {
            return;
        }
        lastReceived = loop.now();
        DecodeFailure failure = DecodeFailure::None;
        const auto message = decodeMessage(frame, failure);
        if (!message) {
            // A type of a newer release is skipped, so that two releases run side by side.
            if (failure != DecodeFailure::UnknownType) {
                end(LinkEnd::BadFrame, failure);
            }
            return;
        }
        if (const auto *hello = std::get_if<Hello>(&*message)) {
            handleHello(*hello);
        } else if (isOpen && callbacks.received) {
            callbacks.received(*message);
        }
    }

    void handleHello(const Hello &hello)
    {
        if (isOpen) {
            return;
        }
        peer = hello;
        isOpen = true;
        handshakeTimer->stop();
        if (callbacks.opened) {
            callbacks.opened(hello);
        }
    }

    void beat()
    {
        const auto keep = shared_from_this();
        if (loop.now() - lastReceived > options.silenceTimeout) {
            end(LinkEnd::PeerSilent);
            return;
        }
        sendNow(options.heartbeat());
    }

    bool sendNow(const Message &message)
    {
        if (isOver || !isSessionOpen) {
            return false;
        }
        const bool isSent = session->send(encodeMessage(message));
        if (isSent && bufferedBytes() > options.maxBufferedBytes) {
            end(LinkEnd::BufferFull);
        }
        return isSent;
    }

    std::size_t bufferedBytes() const
    {
        return stream != nullptr ? evbuffer_get_length(bufferevent_get_output(stream)) : 0;
    }

    void end(LinkEnd reason, DecodeFailure failure = DecodeFailure::None)
    {
        if (isOver) {
            return;
        }
        isOver = true;
        isOpen = false;
        handshakeTimer->stop();
        heartbeatTimer->stop();
        // The session may be in the middle of its own callback, so it is destroyed on the next turn.
        loop.post([self = shared_from_this()] {
            self->session.reset();
            self->freeStream();
        });
        const auto closed = std::move(callbacks.closed);
        if (closed) {
            closed(reason, failure);
        }
    }

    void freeStream()
    {
        if (stream != nullptr) {
            bufferevent_free(stream);
            stream = nullptr;
        }
    }
};

Link::Link(std::shared_ptr<Implementation> implementation)
    : implementation_(std::move(implementation))
{
}

Link::~Link()
{
    implementation_->callbacks = {};
    implementation_->end(LinkEnd::ClosedLocally);
}

std::unique_ptr<Link> Link::connect(EventLoop &loop, const std::string &address, Options options, Callbacks callbacks)
{
    const auto state = std::make_shared<Implementation>(loop, std::move(options), std::move(callbacks));
    state->target = address;
    state->setUp(-1);
    const auto peerAddress = toSocketAddress(address);
    if (!peerAddress || !connectStream(state->stream, *peerAddress)) {
        loop.post([state] { state->end(LinkEnd::ConnectFailed); });
    }
    return std::make_unique<Link>(state);
}

std::unique_ptr<Link> Link::accept(EventLoop &loop, std::intptr_t socket, Options options, Callbacks callbacks)
{
    const auto state = std::make_shared<Implementation>(loop, std::move(options), std::move(callbacks));
    state->setUp(socket);
    state->startServer();
    return std::make_unique<Link>(state);
}

bool Link::isOpen() const
{
    return implementation_->isOpen;
}

const Hello &Link::peer() const
{
    return implementation_->peer;
}

bool Link::send(const Message &message)
{
    return implementation_->isOpen && implementation_->sendNow(message);
}

std::size_t Link::bufferedBytes() const
{
    return implementation_->bufferedBytes();
}

void Link::close()
{
    if (!implementation_->isOver && implementation_->session) {
        implementation_->session->close();
    }
    implementation_->end(LinkEnd::ClosedLocally);
}

} // namespace hornbeamlane
