#include "hornbeamlane_network/socket/SocketOptions.h"

#include <algorithm>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>

namespace hornbeamlane {

timeval toTimeval(std::chrono::microseconds time)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(time);
    return {.tv_sec = seconds.count(), .tv_usec = (time - seconds).count()};
}

void setPeerTimeout(evutil_socket_t socket, std::chrono::milliseconds timeout)
{
    const int on = 1;
    const auto timeoutMs = static_cast<unsigned>(timeout.count());
    // Keep-alive probes are sent in whole seconds; two of them fill the time after the first idle second.
    const int idleSeconds = 1;
    const int intervalSeconds = 1;
    const int probes = std::max(1, static_cast<int>(timeout / std::chrono::seconds(1)));
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeoutMs, sizeof(timeoutMs));
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &idleSeconds, sizeof(idleSeconds));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &intervalSeconds, sizeof(intervalSeconds));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}

void resetOnClose(evutil_socket_t socket)
{
    const linger reset{.l_onoff = 1, .l_linger = 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

void resetConnection(evutil_socket_t socket)
{
    const sockaddr none{.sa_family = AF_UNSPEC, .sa_data = {}};
    // It fails only where no connection is left.
    static_cast<void>(connect(socket, &none, sizeof(none)));
}

} // namespace hornbeamlane
