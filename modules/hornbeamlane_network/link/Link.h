#pragma once

#include "hornbeamlane_messages/hornbeamlane_messages.h"
#include "hornbeamlane_network/loop/EventLoop.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace hornbeamlane {

/** Why a link ended. */
enum class LinkEnd {
    ClosedByPeer,
    ClosedLocally,
    ConnectFailed,
    HandshakeTimedOut,
    PeerSilent, ///< No message for several heartbeat intervals.
    BadFrame, ///< A frame that is malformed or over a bound.
    BufferFull, ///< The peer reads too slowly; bytes to send went over the bound.
};

std::string_view toString(LinkEnd end);

/**
    A websocket connection that carries typed messages to one peer process.

    Sends Hello first and Heartbeat at a fixed interval. The link is open for the owner once the peer's Hello arrived.
*/
class Link final
{
public:
    struct Options
    {
        Duration heartbeatInterval = std::chrono::seconds(1);
        /** Silence of the peer after which the link ends. */
        Duration silenceTimeout = std::chrono::seconds(4);
        Duration handshakeTimeout = std::chrono::seconds(5);
        std::size_t maxBufferedBytes = 16 * 1024 * 1024;
        std::function<Hello()> hello;
        std::function<Heartbeat()> heartbeat;
    };

    /** A callback may destroy the link. */
    struct Callbacks
    {
        std::function<void(const Hello &)> opened;
        /** Any message except Hello. */
        std::function<void(const Message &)> received;
        /** Called once; DecodeFailure::None unless the end is BadFrame. */
        std::function<void(LinkEnd, DecodeFailure)> closed;
    };

    struct Implementation;

    explicit Link(std::shared_ptr<Implementation> implementation);
    ~Link();

    /** Dials "<ip>:<port>". */
    static std::unique_ptr<Link> connect(EventLoop &loop, const std::string &address, Options options,
                                         Callbacks callbacks);

    /** Takes over an accepted socket. */
    static std::unique_ptr<Link> accept(EventLoop &loop, std::intptr_t socket, Options options, Callbacks callbacks);

    bool isOpen() const;

    /** The peer's Hello; valid while the link is open. */
    const Hello &peer() const;

    /** Sends a message; false if the link is not open, and then no byte of it left the process. */
    bool send(const Message &message);

    std::size_t bufferedBytes() const;

    void close();

private:
    std::shared_ptr<Implementation> implementation_;
};

} // namespace hornbeamlane
