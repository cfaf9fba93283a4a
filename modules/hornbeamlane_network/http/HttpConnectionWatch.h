#pragma once

#include "hornbeamlane_base/memory/MemoryAccount.h"
#include "hornbeamlane_network/loop/EventLoop.h"
#include "hornbeamlane_network/loop/Timer.h"

#include <functional>
#include <memory>
#include <string_view>
#include <unordered_map>

struct bufferevent;
struct evconnlistener;

namespace hornbeamlane {

/**
    Counts what the connections of an evhttp server hold, and ends those that the account drops.

    The library shows neither a body before it is whole nor the end of a connection. So the bytes that come in count as
    held until the request is handed out, and a connection is ended by ending its socket, after which the library frees
    it by itself. Each stream is kept by a reference of its own until the library has let it go.
*/
class HttpConnectionWatch final
{
public:
    struct Options
    {
        MemoryAccount *memory = nullptr;
        /** From the first byte of a request to its end. */
        std::chrono::milliseconds requestTimeout{33000};
        std::size_t maxConnections = 3000;
        /** Called for each connection that is ended before its request was handed out. */
        std::function<void(int status, std::string_view cause)> onRefused;
    };

    HttpConnectionWatch(EventLoop &loop, Options options);
    ~HttpConnectionWatch();

    HttpConnectionWatch(const HttpConnectionWatch &) = delete;
    HttpConnectionWatch &operator=(const HttpConnectionWatch &) = delete;

    /** The listener that is stopped while there are too many connections; null before and after its life. */
    void setListener(evconnlistener *listener);

    /** Counts a new stream of the library. */
    void add(bufferevent *stream);

    /** The stream's request has been handed out with a body of so many bytes. */
    void requestStarted(bufferevent *stream, std::size_t bodyBytes);

    /** The request is answered, or its caller has gone. */
    void requestEnded(bufferevent *stream);

    std::size_t connectionCount() const
    {
        return connections_.size();
    }

private:
    struct Connection;

    void remove(Connection &connection);
    void handleInput(Connection &connection, std::size_t bytes);
    /** The output has grown or the caller has taken some of it. */
    void handleOutput(Connection &connection);
    void startReading(Connection &connection);
    void liftReadBound(Connection &connection);
    void updateAccepting();
    void updateHold(Connection &connection);
    void refuse(Connection &connection, int status, std::string_view cause);
    /** Forgets the streams that the library has freed and ends requests that take too long. */
    void sweep();

    EventLoop &loop_;
    Options options_;
    MemoryAccount unlimited_;
    std::unordered_map<bufferevent *, std::unique_ptr<Connection>> connections_;
    evconnlistener *listener_ = nullptr;
    bool isAccepting_ = true;
    Timer sweepTimer_;
};

} // namespace hornbeamlane
