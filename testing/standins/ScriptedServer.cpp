#include "standins/ScriptedServer.h"

#include "hornbeamlane_network/socket/SocketAddress.h"
#include "hornbeamlane_network/socket/SocketOptions.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <list>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace hornbeamlane::testing {

class ScriptedConnection;

namespace {

/** What a test sends shows in unsentBytes() until its peer takes it: the system enlarges the buffer to several MiB by
    itself, more on some hosts than on others. */
void limitSendBuffer(evutil_socket_t socket)
{
    constexpr int sendBufferBytes = 64 * 1024;
    setsockopt(socket, SOL_SOCKET, SO_SNDBUF, &sendBufferBytes, sizeof(sendBufferBytes));
}

} // namespace

struct ScriptedServer::Implementation
{
    EventLoop &loop;
    Handler handler;
    evconnlistener *listener = nullptr;
    std::string address;
    std::list<std::unique_ptr<ScriptedConnection>> connections;
    int requests = 0;
    int accepted = 0;
    int closedByPeer = 0;

    /** False if the port cannot be bound; 0 takes any. */
    bool listen(std::uint16_t port);
};

class ScriptedConnection final : public ScriptedServer::Connection
{
public:
    ScriptedConnection(ScriptedServer::Handler &handler, int &total, int &closedByPeer, bufferevent *stream)
        : handler_(handler)
        , total_(total)
        , closedByPeer_(closedByPeer)
        , stream_(stream)
    {
        bufferevent_setcb(stream_, &onRead, &onWritten, &onEvent, this);
        bufferevent_enable(stream_, EV_READ | EV_WRITE);
    }

    ~ScriptedConnection() override
    {
        free();
    }

    ScriptedConnection(const ScriptedConnection &) = delete;
    ScriptedConnection &operator=(const ScriptedConnection &) = delete;

    void send(const std::string &bytes) override
    {
        if (stream_ != nullptr) {
            evbuffer_add(bufferevent_get_output(stream_), bytes.data(), bytes.size());
        }
    }

    void close() override
    {
        isClosing_ = true;
        if (stream_ != nullptr && evbuffer_get_length(bufferevent_get_output(stream_)) == 0) {
            free();
        }
    }

    void reset() override
    {
        if (stream_ != nullptr) {
            resetOnClose(bufferevent_getfd(stream_));
            free();
        }
    }

    bool isOpen() const override
    {
        return stream_ != nullptr;
    }

    std::size_t unsentBytes() const override
    {
        return stream_ == nullptr ? 0 : evbuffer_get_length(bufferevent_get_output(stream_));
    }

    int requests() const override
    {
        return requests_;
    }

private:
    void free()
    {
        if (stream_ != nullptr) {
            bufferevent_free(std::exchange(stream_, nullptr));
        }
    }

    void read()
    {
        auto *input = bufferevent_get_input(stream_);
        const auto length = evbuffer_get_length(input);
        pending_.append(reinterpret_cast<const char *>(evbuffer_pullup(input, -1)), length);
        evbuffer_drain(input, length);
        std::size_t end = 0;
        while (stream_ != nullptr && (end = pending_.find("\r\n\r\n")) != std::string::npos) {
            const auto head = pending_.substr(0, end + 4);
            const auto stated = headerOf(head, "Content-Length");
            const auto body = stated.empty() ? 0 : std::stoul(stated);
            if (pending_.size() < head.size() + body) {
                return;
            }
            pending_.erase(0, head.size() + body);
            ++requests_;
            handler_(*this, head, ++total_);
        }
    }

    static void onRead(bufferevent *, void *context)
    {
        static_cast<ScriptedConnection *>(context)->read();
    }

    static void onWritten(bufferevent *, void *context)
    {
        auto *self = static_cast<ScriptedConnection *>(context);
        if (self->isClosing_) {
            self->free();
        }
    }

    static void onEvent(bufferevent *, short, void *context)
    {
        auto *self = static_cast<ScriptedConnection *>(context);
        ++self->closedByPeer_;
        self->free();
    }

    ScriptedServer::Handler &handler_;
    int &total_;
    int &closedByPeer_;
    bufferevent *stream_;
    std::string pending_;
    int requests_ = 0;
    bool isClosing_ = false;
};

bool ScriptedServer::Implementation::listen(std::uint16_t port)
{
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(port);
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    listener = evconnlistener_new_bind(
        loop.base(),
        [](evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *context) {
            auto &self = *static_cast<Implementation *>(context);
            ++self.accepted;
            limitSendBuffer(socket);
            self.connections.push_back(std::make_unique<ScriptedConnection>(
                self.handler, self.requests, self.closedByPeer,
                bufferevent_socket_new(self.loop.base(), socket, BEV_OPT_CLOSE_ON_FREE)));
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1, reinterpret_cast<sockaddr *>(&target), sizeof(target));
    return listener != nullptr;
}

ScriptedServer::ScriptedServer(EventLoop &loop, Handler handler)
    : implementation_(new Implementation{.loop = loop, .handler = std::move(handler)})
{
    implementation_->listen(0);
    implementation_->address =
        "127.0.0.1:" + std::to_string(boundPort(evconnlistener_get_fd(implementation_->listener)));
}

ScriptedServer::~ScriptedServer()
{
    if (implementation_->listener != nullptr) {
        evconnlistener_free(implementation_->listener);
    }
}

void ScriptedServer::crash()
{
    implementation_->loop.post([weak = std::weak_ptr(implementation_)] {
        const auto self = weak.lock();
        if (self == nullptr || self->listener == nullptr) {
            return;
        }
        evconnlistener_free(std::exchange(self->listener, nullptr));
        for (const auto &connection : self->connections) {
            connection->reset();
        }
    });
}

void ScriptedServer::restart()
{
    const auto &address = implementation_->address;
    if (implementation_->listener == nullptr) {
        implementation_->listen(static_cast<std::uint16_t>(std::stoul(address.substr(address.rfind(':') + 1))));
    }
}

const std::string &ScriptedServer::address() const
{
    return implementation_->address;
}

int ScriptedServer::requests() const
{
    return implementation_->requests;
}

int ScriptedServer::connections() const
{
    return implementation_->accepted;
}

int ScriptedServer::closedByPeer() const
{
    return implementation_->closedByPeer;
}

std::string headerOf(const std::string &head, const std::string &name)
{
    const auto at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
        return "";
    }
    const auto start = at + name.size() + 4;
    return head.substr(start, head.find("\r\n", start) - start);
}

} // namespace hornbeamlane::testing
