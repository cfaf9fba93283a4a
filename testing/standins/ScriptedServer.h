#pragma once

#include "hornbeamlane_network/loop/EventLoop.h"

#include <functional>
#include <memory>
#include <string>

struct bufferevent;

namespace hornbeamlane::testing {

/** A TCP server whose answers a test writes byte by byte; for peers that break the protocol. */
class ScriptedServer final
{
public:
    /** One accepted connection. */
    class Connection
    {
    public:
        virtual ~Connection() = default;

        virtual void send(const std::string &bytes) = 0;
        /** Ends the connection in an orderly way after what was sent. */
        virtual void close() = 0;
        /** Ends the connection by a reset. */
        virtual void reset() = 0;
        /** Neither side has ended it. */
        virtual bool isOpen() const = 0;
        /** Bytes of send() that have not left the server; the system's buffer holds little beside them. */
        virtual std::size_t unsentBytes() const = 0;
        /** Requests that have arrived on it, each up to the end of its headers. */
        virtual int requests() const = 0;
    };

    /** Called for each request head; `number` counts all requests of the server from 1. */
    using Handler = std::function<void(Connection &, const std::string &head, int number)>;

    ScriptedServer(EventLoop &loop, Handler handler);
    ~ScriptedServer();

    /** Ends like a process that crashes: resets all connections and refuses new ones until restart(). Safe to call from
        the handler; it takes effect on the next turn of the loop, after what was sent before. */
    void crash();
    void restart();

    /** "127.0.0.1:<port>". */
    const std::string &address() const;

    int requests() const;
    int connections() const;
    /** Connections that the peer has closed. */
    int closedByPeer() const;

private:
    struct Implementation;
    std::shared_ptr<Implementation> implementation_;
};

/** Value of a header in a request head; empty if it is missing. */
std::string headerOf(const std::string &head, const std::string &name);

} // namespace hornbeamlane::testing
