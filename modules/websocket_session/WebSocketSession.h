#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace hornbeamlane::websocket {

/**
    One websocket connection without sockets or timers of its own: bytes go in by feed() and out by a callback.

    This header stays within C++17, because its implementation is built as C++17; see modules/CMakeLists.txt.
*/
class WebSocketSession
{
public:
    /** Called on the thread that calls feed(), send() or close(). A callback must not destroy the session. */
    struct Callbacks
    {
        std::function<void(const char *bytes, std::size_t size)> write;
        std::function<void()> open;
        std::function<void(const std::string &message)> receive;
        /** The session is over, by a handshake, by a protocol error or by end of input; called once. */
        std::function<void()> closed;
    };

    /** Starts the client side of a handshake; the request is written at once. */
    static std::unique_ptr<WebSocketSession> client(const std::string &uri, Callbacks callbacks,
                                                    std::size_t maxMessageBytes);

    /** Waits for the client's handshake. */
    static std::unique_ptr<WebSocketSession> server(Callbacks callbacks, std::size_t maxMessageBytes);

    virtual ~WebSocketSession() = default;

    /** Takes bytes that arrived from the peer. */
    virtual void feed(const char *bytes, std::size_t size) = 0;

    /** Sends one binary message; false if the session is not open. */
    virtual bool send(const std::string &message) = 0;

    /** Starts the closing handshake. */
    virtual void close() = 0;

    /** The peer's end of the stream was reached or the socket failed. */
    virtual void endOfInput() = 0;
};

} // namespace hornbeamlane::websocket
