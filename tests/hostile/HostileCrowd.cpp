#include "hostile/HostileCrowd.h"

#include <algorithm>
#include <cerrno>
#include <stdexcept>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace hornbeamlane {

namespace {

/** Bytes that one connection sends in one turn, so that all of them make progress. */
constexpr std::size_t turnBytes = 256 * 1024;

constexpr std::chrono::milliseconds turnInterval{5};

} // namespace

HostileCrowd::HostileCrowd(EventLoop &loop, std::uint16_t port, std::size_t connections, Script script)
    : script_(std::move(script))
    , total_(script_.head.size() + script_.unitBytes)
    , connections_(connections)
    , timer_(loop, [this] { sendAll(); })
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    for (auto &connection : connections_) {
        connection.socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (connection.socket < 0) {
            throw std::runtime_error("no socket");
        }
        // Answers that are not read fill the peer's memory and not the system's.
        const int buffer = 4096;
        setsockopt(connection.socket, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer));
        if (connect(connection.socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) < 0
            && errno != EINPROGRESS) {
            throw std::runtime_error("cannot connect");
        }
    }
    timer_.startRepeating(turnInterval);
}

HostileCrowd::~HostileCrowd()
{
    for (const auto &connection : connections_) {
        close(connection.socket);
    }
}

bool HostileCrowd::isDone() const
{
    return std::all_of(connections_.begin(), connections_.end(),
                       [this](const auto &one) { return one.isOver || one.sent == total_; });
}

std::size_t HostileCrowd::sentBytes() const
{
    std::size_t bytes = 0;
    for (const auto &connection : connections_) {
        bytes += connection.sent;
    }
    return bytes;
}

void HostileCrowd::sendAll()
{
    for (auto &connection : connections_) {
        sendFrom(connection);
    }
}

void HostileCrowd::sendFrom(Connection &connection)
{
    std::size_t sentNow = 0;
    while (!connection.isOver && connection.sent < total_ && sentNow < turnBytes) {
        const bool isInHead = connection.sent < script_.head.size();
        const auto &text = isInHead ? script_.head : script_.unit;
        const auto at = isInHead ? connection.sent : (connection.sent - script_.head.size()) % text.size();
        const auto length = std::min(text.size() - at, total_ - connection.sent);
        const auto result = send(connection.socket, text.data() + at, length, MSG_NOSIGNAL);
        if (result < 0) {
            connection.isOver = errno != EAGAIN && errno != EINPROGRESS && errno != ENOTCONN && errno != EINTR;
            return;
        }
        connection.sent += static_cast<std::size_t>(result);
        sentNow += static_cast<std::size_t>(result);
    }
}

} // namespace hornbeamlane
