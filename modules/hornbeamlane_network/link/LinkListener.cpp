#include "hornbeamlane_network/link/LinkListener.h"

#include "hornbeamlane_network/http/HttpCall.h"

#include <arpa/inet.h>
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
    const auto parts = splitAddress(address);
    sockaddr_in local{};
    local.sin_family = AF_INET;
    if (!parts || inet_pton(AF_INET, parts->first.c_str(), &local.sin_addr) != 1) {
        return false;
    }
    local.sin_port = htons(parts->second);
    implementation_->listener = evconnlistener_new_bind(
        implementation_->loop.base(),
        [](evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *context) {
            static_cast<Implementation *>(context)->handler(socket);
        },
        implementation_.get(), LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, -1,
        reinterpret_cast<sockaddr *>(&local), sizeof(local));
    if (implementation_->listener == nullptr) {
        return false;
    }
    socklen_t length = sizeof(local);
    getsockname(evconnlistener_get_fd(implementation_->listener), reinterpret_cast<sockaddr *>(&local), &length);
    implementation_->port = ntohs(local.sin_port);
    return true;
}

std::uint16_t LinkListener::port() const
{
    return implementation_->port;
}

} // namespace hornbeamlane
