#include "hornbeamlane_network/socket/SocketAddress.h"

#include "hornbeamlane_network/http/HttpCall.h"

#include <event2/bufferevent.h>

#include <arpa/inet.h>
#include <sys/socket.h>

namespace hornbeamlane {

std::optional<sockaddr_in> toSocketAddress(const std::string &address)
{
    const auto parts = splitAddress(address);
    sockaddr_in result{};
    result.sin_family = AF_INET;
    if (!parts || inet_pton(AF_INET, parts->first.c_str(), &result.sin_addr) != 1) {
        return std::nullopt;
    }
    result.sin_port = htons(parts->second);
    return result;
}

std::uint16_t boundPort(evutil_socket_t socket)
{
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    getsockname(socket, reinterpret_cast<sockaddr *>(&address), &length);
    return ntohs(address.sin_port);
}

bool connectStream(bufferevent *stream, const sockaddr_in &address)
{
    return bufferevent_socket_connect(stream, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
}

} // namespace hornbeamlane
