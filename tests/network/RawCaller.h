#pragma once

#include "hornbeamlane_network/loop/EventLoop.h"
#include "hornbeamlane_network/loop/Timer.h"
#include "hornbeamlane_network/socket/SocketAddress.h"

#include <array>
#include <cerrno>
#include <functional>
#include <string>
#include <string_view>

#include <sys/socket.h>
#include <unistd.h>

namespace hornbeamlane {

/** A caller on a plain socket: a test decides when it sends, when it reads and how its connection has ended. */
class RawCaller final
{
public:
    enum class End { Open, Orderly, Reset };

    /** Connects to that port on loopback; a small receive buffer makes the server's answer wait at the server. */
    explicit RawCaller(std::uint16_t port, int receiveBuffer = 0)
        : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        if (receiveBuffer > 0) {
            setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
        }
        const auto address = toSocketAddress("127.0.0.1:" + std::to_string(port));
        if (connect(socket_, reinterpret_cast<const sockaddr *>(&*address), sizeof(*address)) != 0) {
            end_ = End::Reset;
        }
    }

    ~RawCaller()
    {
        ::close(socket_);
    }

    RawCaller(const RawCaller &) = delete;
    RawCaller &operator=(const RawCaller &) = delete;

    void send(std::string_view bytes)
    {
        ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    }

    /** Ends the sending direction only. */
    void finishSending()
    {
        shutdown(socket_, SHUT_WR);
    }

    /** Takes what has come. */
    void read()
    {
        std::array<char, 64 * 1024> buffer;
        while (end_ == End::Open) {
            const auto length = recv(socket_, buffer.data(), buffer.size(), MSG_DONTWAIT);
            if (length > 0) {
                received_.append(buffer.data(), static_cast<std::size_t>(length));
                continue;
            }
            if (length < 0 && errno == EAGAIN) {
                return;
            }
            end_ = length == 0 ? End::Orderly : End::Reset;
        }
    }

    const std::string &received() const
    {
        return received_;
    }

    End end() const
    {
        return end_;
    }

private:
    int socket_;
    std::string received_;
    End end_ = End::Open;
};

/** Runs the loop until the condition holds, which is looked at every few milliseconds; false if it never does. */
inline bool runLoopUntil(EventLoop &loop, const std::function<bool()> &isDone,
                         std::chrono::milliseconds longest = std::chrono::milliseconds(3000))
{
    const auto end = loop.now() + longest;
    bool hasHeld = false;
    Timer check(loop, [&] {
        hasHeld = isDone();
        if (hasHeld || loop.now() > end) {
            loop.stop();
        }
    });
    check.startRepeating(std::chrono::milliseconds(2));
    loop.run();
    return hasHeld;
}

inline void runLoopFor(EventLoop &loop, std::chrono::milliseconds time)
{
    const auto end = loop.now() + time;
    runLoopUntil(
        loop, [&] { return loop.now() >= end; }, time * 2);
}

} // namespace hornbeamlane
