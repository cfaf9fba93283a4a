#pragma once

#include "hornbeamlane_base/memory/MemoryAccount.h"
#include "hornbeamlane_network/http/HttpMessages.h"
#include "hornbeamlane_network/loop/EventLoop.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace hornbeamlane {

/**
    One request with the way to answer it.

    Valid until the answer is complete or the caller has hung up. Calls after that do nothing.
*/
class HttpExchange final
{
public:
    struct Implementation;

    explicit HttpExchange(std::unique_ptr<Implementation> implementation);
    ~HttpExchange();

    const HttpRequest &request() const;

    /** Sends a complete answer. */
    void reply(const HttpResponse &response);

    /** Starts a streamed answer. */
    void startStream(const HttpResponse &head);
    void sendChunk(std::string_view bytes);
    void finishStream();

    /** Ends a streamed answer without its regular end, so that the caller cannot take it for a whole one. */
    void abortStream();

    bool isStreaming() const;
    bool isClosed() const;

    /** Bytes that wait for the caller to read them. */
    std::size_t bufferedBytes() const;

    /** Called once when the caller hangs up before the answer is complete. */
    void onClosed(std::function<void()> handler);

    /** Called each time all bytes sent so far have left the process. */
    void onDrained(std::function<void()> handler);

private:
    std::unique_ptr<Implementation> implementation_;
};

/** HTTP/1.1 server on evhttp. */
class HttpServer final
{
public:
    struct Options
    {
        /** Bound for the body; a larger one is answered with status 413. */
        std::size_t maxBodyBytes = 512 * 1024;
        /** Bound for all headers together; larger ones are answered with the refusal page for status 431. */
        std::size_t maxHeaderBytes = 16 * 1024;
        /** Time without any byte after which a connection is closed. */
        std::chrono::seconds idleTimeout{600};
        /** From the first byte of a request to its end; see Http1Server::Limits for the parts. */
        std::chrono::milliseconds requestTimeout{33000};
        /** Connections open at the same time; further ones wait in the listen queue. */
        std::size_t maxConnections = 3000;
        /** Counts what is held for callers; must outlive the server. None: there is no limit. */
        MemoryAccount *memory = nullptr;
        /** Called for each request that is refused for lack of memory or time, with the status of the answer. */
        std::function<void(int status, std::string_view cause)> onRefused;
        /** Makes the answer to a request that the library refuses itself; empty keeps the library's HTML page. */
        std::function<HttpResponse(int status)> refusalPage;
    };

    using Handler = std::function<void(const std::shared_ptr<HttpExchange> &)>;

    HttpServer(EventLoop &loop, const Options &options, Handler handler);
    ~HttpServer();

    /** Starts to listen; port 0 takes a free port. False if the address cannot be bound. */
    bool listen(const std::string &address, std::uint16_t port);

    /** Port in use after a successful listen(). */
    std::uint16_t port() const;

    /** Takes no new connections; running ones go on. */
    void stopAccepting();

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace hornbeamlane
