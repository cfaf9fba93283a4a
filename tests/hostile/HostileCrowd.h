#pragma once

#include "hornbeamlane_network/loop/EventLoop.h"
#include "hornbeamlane_network/loop/Timer.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hornbeamlane {

/** Connections that send what they can, do not read, and stay open until the crowd is destroyed. */
class HostileCrowd final
{
public:
    /** What each connection sends. */
    struct Script
    {
        std::string head;
        /** Sent again and again after the head. */
        std::string unit;
        /** Bytes of units after which the connection sends no more. */
        std::size_t unitBytes = 0;
    };

    /** Connects to that port on loopback; throws if the system has no sockets left. */
    HostileCrowd(EventLoop &loop, std::uint16_t port, std::size_t connections, Script script);
    ~HostileCrowd();

    HostileCrowd(const HostileCrowd &) = delete;
    HostileCrowd &operator=(const HostileCrowd &) = delete;

    /** Each connection has sent everything or was ended by the peer. */
    bool isDone() const;

    /** Bytes that all connections have sent. */
    std::size_t sentBytes() const;

private:
    struct Connection
    {
        int socket = -1;
        std::size_t sent = 0;
        bool isOver = false;
    };

    void sendAll();
    void sendFrom(Connection &connection);

    Script script_;
    std::size_t total_;
    std::vector<Connection> connections_;
    Timer timer_;
};

} // namespace hornbeamlane
