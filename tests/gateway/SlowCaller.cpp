#include "gateway/SlowCaller.h"

#include "hornbeamlane_network/socket/SocketAddress.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

namespace hornbeamlane {

SlowCaller::SlowCaller(EventLoop &loop, std::uint16_t port)
    : stream_(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE))
{
    bufferevent_setcb(
        stream_, [](bufferevent *, void *context) { static_cast<SlowCaller *>(context)->read(); }, nullptr, nullptr,
        this);
    bufferevent_enable(stream_, EV_READ | EV_WRITE);
    const auto address = toSocketAddress("127.0.0.1:" + std::to_string(port));
    bufferevent_socket_connect(stream_, reinterpret_cast<const sockaddr *>(&*address), sizeof(*address));
}

SlowCaller::~SlowCaller()
{
    bufferevent_free(stream_);
}

void SlowCaller::send(std::string_view bytes)
{
    bufferevent_write(stream_, bytes.data(), bytes.size());
}

void SlowCaller::read()
{
    auto *input = bufferevent_get_input(stream_);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    received_ += bytes;
}

} // namespace hornbeamlane
