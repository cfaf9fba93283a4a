#include "hornbeamlane_network/link/LinkListener.h"

#include "hornbeamlane_network/socket/SocketAddress.h"

#include <event2/listener.h>

namespace hornbeamlane {

struct LinkListener::Implementation
{
    EventLoop &loop;
    Handler handler;
    evconnlistener *listener = nullptr;
    std::uint16_t port = 0;
};

LinkListener::LinkListener(EventLoop &loop, Handler handler)
    : implementation_(std::make_unique<Implementation>(Implementation{.loop = loop, .handler = std::move(handler)}))
{
}

LinkListener::~LinkListener()
{
    if (implementation_->listener != nullptr) {
        evconnlistener_free(implementation_->listener);
    }
}

bool LinkListener::listen(const std::string &address)
{
    const auto local = toSocketAddress(address);
    if (!local) {
        return false;
    }
    implementation_->listener = evconnlistener_new_bind(
        implementation_->loop.base(),
        [](evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *context) {
            static_cast<Implementation *>(context)->handler(socket);
        },
        implementation_.get(), LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, -1,
        reinterpret_cast<const sockaddr *>(&*local), sizeof(*local));
    if (implementation_->listener == nullptr) {
        return false;
    }
    implementation_->port = boundPort(evconnlistener_get_fd(implementation_->listener));
    return true;
}

std::uint16_t LinkListener::port() const
{
    return implementation_->port;
}

} // namespace hornbeamlane
