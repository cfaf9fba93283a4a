#pragma once

#include "hornbeamlane_base/memory/MemoryAccount.h"
#include "hornbeamlane_network/http1/Http1Readers.h"
#include "hornbeamlane_network/loop/EventLoop.h"

#include <functional>
#include <memory>

namespace hornbeamlane {

/**
    One request of a caller with the way to answer it.

    Calls after the answer is complete or the caller has hung up do nothing.
*/
class Http1Exchange final
{
public:
    struct Implementation;

    explicit Http1Exchange(std::shared_ptr<Implementation> implementation);
    ~Http1Exchange();

    const Http1Request &request() const;

    /** Sends a complete answer. */
    void reply(int status, const HttpHeaders &headers, std::string_view body);

    /** Starts an answer whose body follows in pieces. */
    void startStream(int status, const HttpHeaders &headers);
    void sendPiece(std::string_view bytes);
    void finishStream();

    /** Ends the connection so that the caller cannot take the answer for a whole one. */
    void abort();

    bool isStreaming() const;
    bool isClosed() const;

    /** Bytes that wait for the caller to read them. */
    std::size_t bufferedBytes() const;

    /** Sets the bytes of an answer that are held outside of the exchange, for the account of the server. */
    void setCollectedBytes(std::size_t bytes);

    /** Whether the server's account is short of memory, so that answers are to be held back earlier. */
    bool isMemoryShort() const;

    /** Called once when the caller hangs up before the answer is complete. */
    void onClosed(std::function<void()> handler);

    /** Called each time all bytes sent so far have left the process. */
    void onDrained(std::function<void()> handler);

private:
    std::shared_ptr<Implementation> implementation_;
};

/** HTTP/1.1 server that passes targets, headers and bodies on as they were received. */
class Http1Server final
{
public:
    /** Bounds on what a caller may send; read anew for each request, so they can change while running. */
    struct Limits
    {
        Http1RequestReader::Limits request;
        /** From the first byte of a request to the end of its headers, and again for each pause in its body. */
        std::chrono::milliseconds headerTimeout{3000};
        /** From the end of the headers to the end of the body. Callers of the known deployments give up after 8 s, and
            4 MB take 1.2 s on the slowest link. */
        std::chrono::milliseconds bodyTimeout{30000};
        /** Time without a request after which a connection is closed. */
        std::chrono::milliseconds idleTimeout{15000};
    };

    struct Options
    {
        std::function<Limits()> limits;
        /** Connections open at the same time. Further ones take the place of idle and slow ones, and wait in the
            listen queue while there is none. */
        std::size_t maxConnections = 3000;
        /** Counts what is held for callers; must outlive the server. None: there is no limit. */
        MemoryAccount *memory = nullptr;
        /** Called for each request that is refused before it is handed out, with the status of the answer. */
        std::function<void(int status, std::string_view cause)> onRefused = [](int, std::string_view) {};
    };

    using Handler = std::function<void(const std::shared_ptr<Http1Exchange> &)>;

    Http1Server(EventLoop &loop, Options options, Handler handler);
    ~Http1Server();

    /** Starts to listen on "<ip>:<port>"; false if the address cannot be bound. */
    bool listen(const std::string &address);

    /** Port in use after a successful listen(). */
    std::uint16_t port() const;

    /** From now on each answer asks the caller to close its connection. */
    void announceClose();

    /** Takes no new connections and closes those without a request. */
    void stopAccepting();

    /** Answers 503 to the requests that have not been read whole, and closes their connections. */
    void refuseUnread();

    std::size_t connectionCount() const;

    /** Requests that have been read and not yet answered. */
    std::size_t openExchanges() const;

    struct Implementation;

private:
    std::shared_ptr<Implementation> implementation_;
};

} // namespace hornbeamlane
