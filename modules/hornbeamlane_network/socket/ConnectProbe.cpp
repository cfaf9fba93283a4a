#include "hornbeamlane_network/socket/ConnectProbe.h"

#include "hornbeamlane_network/socket/SocketAddress.h"
#include "hornbeamlane_network/socket/SocketOptions.h"

#include <event2/bufferevent.h>
#include <event2/event.h>

#include <cerrno>
#include <utility>

namespace hornbeamlane {

struct ConnectProbe::Implementation : std::enable_shared_from_this<Implementation>
{
    EventLoop &loop;
    std::function<void(Result)> handler;
    bufferevent *stream = nullptr;

    Implementation(EventLoop &eventLoop, std::function<void(Result)> resultHandler)
        : loop(eventLoop)
        , handler(std::move(resultHandler))
    {
    }

    ~Implementation()
    {
        close();
    }

    void close()
    {
        if (stream != nullptr) {
            bufferevent_free(std::exchange(stream, nullptr));
        }
    }

    bool open(const std::string &address, std::chrono::milliseconds timeout)
    {
        const auto target = toSocketAddress(address);
        if (!target) {
            return false;
        }
        stream = bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(stream, nullptr, nullptr, &Implementation::onEvent, this);
        const auto limit = toTimeval(timeout);
        bufferevent_set_timeouts(stream, nullptr, &limit);
        bufferevent_enable(stream, EV_WRITE);
        return connectStream(stream, *target);
    }

    void finish(Result result)
    {
        close();
        if (const auto call = std::exchange(handler, nullptr)) {
            call(result);
        }
    }

    void finishLater(Result result)
    {
        loop.post([weak = weak_from_this(), result] {
            if (const auto self = weak.lock()) {
                self->finish(result);
            }
        });
    }

    static void onEvent(bufferevent *, short events, void *context)
    {
        // A server that has too many connections resets further ones, which is another error.
        const bool isRefused = EVUTIL_SOCKET_ERROR() == ECONNREFUSED;
        const auto self = static_cast<Implementation *>(context)->shared_from_this();
        if ((events & BEV_EVENT_CONNECTED) != 0) {
            self->finish(Result::Listening);
        } else if ((events & BEV_EVENT_ERROR) != 0 && isRefused) {
            self->finish(Result::Refused);
        } else {
            self->finish(Result::NoAnswer);
        }
    }
};

ConnectProbe::ConnectProbe(EventLoop &loop, const std::string &address, std::chrono::milliseconds timeout,
                           std::function<void(Result)> handler)
    : implementation_(std::make_shared<Implementation>(loop, std::move(handler)))
{
    if (!implementation_->open(address, timeout)) {
        implementation_->finishLater(Result::NoAnswer);
    }
}

ConnectProbe::~ConnectProbe()
{
    implementation_->handler = nullptr;
    implementation_->close();
}

} // namespace hornbeamlane
