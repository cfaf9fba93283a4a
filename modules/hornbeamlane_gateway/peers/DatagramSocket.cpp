#include "hornbeamlane_gateway/peers/DatagramSocket.h"

#include "hornbeamlane_network/loop/Timer.h"
#include "hornbeamlane_network/socket/SocketAddress.h"

#include <event2/event.h>

#include <array>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace hornbeamlane {

namespace {

constexpr std::size_t maxDatagramBytes = 64 * 1024;

std::string formatAddress(const sockaddr_in &address)
{
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    return std::string(text.data()) + ":" + std::to_string(ntohs(address.sin_port));
}

} // namespace

struct DatagramSocket::Implementation
{
    EventLoop &loop;
    Callbacks callbacks;
    Timer resume;
    std::chrono::milliseconds quietTime{0};
    int socket = -1;
    event *readable = nullptr;
    std::array<char, maxDatagramBytes> buffer{};

    Implementation(EventLoop &eventLoop, Callbacks handlers)
        : loop(eventLoop)
        , callbacks(std::move(handlers))
        , resume(eventLoop, [this] { event_add(readable, nullptr); })
    {
    }

    void receive()
    {
        readAll();
        callbacks.drained();
        if (quietTime > std::chrono::milliseconds(0)) {
            event_del(readable);
            resume.startOnce(quietTime);
        }
    }

    void readAll()
    {
        while (true) {
            sockaddr_in sender{};
            socklen_t length = sizeof(sender);
            const auto size = recvfrom(socket, buffer.data(), buffer.size(), MSG_DONTWAIT,
                                       reinterpret_cast<sockaddr *>(&sender), &length);
            if (size < 0) {
                return;
            }
            callbacks.received({buffer.data(), static_cast<std::size_t>(size)}, formatAddress(sender));
        }
    }
};

DatagramSocket::DatagramSocket(EventLoop &loop, Callbacks callbacks)
    : implementation_(std::make_unique<Implementation>(loop, std::move(callbacks)))
{
}

DatagramSocket::~DatagramSocket()
{
    if (implementation_->readable != nullptr) {
        event_free(implementation_->readable);
    }
    if (implementation_->socket >= 0) {
        close(implementation_->socket);
    }
}

bool DatagramSocket::bind(const std::string &address)
{
    const auto target = toSocketAddress(address);
    if (!target) {
        return false;
    }
    implementation_->socket = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (implementation_->socket < 0
        || ::bind(implementation_->socket, reinterpret_cast<const sockaddr *>(&*target), sizeof(*target)) != 0) {
        return false;
    }
    implementation_->readable = event_new(
        implementation_->loop.base(), implementation_->socket, EV_READ | EV_PERSIST,
        [](evutil_socket_t, short, void *context) { static_cast<Implementation *>(context)->receive(); },
        implementation_.get());
    return event_add(implementation_->readable, nullptr) == 0;
}

std::uint16_t DatagramSocket::port() const
{
    return boundPort(implementation_->socket);
}

void DatagramSocket::setQuietTime(std::chrono::milliseconds time)
{
    implementation_->quietTime = time;
}

void DatagramSocket::send(const std::string &address, std::string_view bytes)
{
    const auto target = toSocketAddress(address);
    if (target && implementation_->socket >= 0) {
        // A lost datagram is replaced by the next one, so a failure to send needs no handling.
        sendto(implementation_->socket, bytes.data(), bytes.size(), MSG_DONTWAIT,
               reinterpret_cast<const sockaddr *>(&*target), sizeof(*target));
    }
}

} // namespace hornbeamlane
