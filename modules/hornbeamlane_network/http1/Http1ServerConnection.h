#pragma once

#include "hornbeamlane_network/http1/Http1Server.h"
#include "hornbeamlane_network/loop/Timer.h"

#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <event2/util.h>

struct bufferevent;
struct evconnlistener;

namespace hornbeamlane {

class Http1ServerConnection;

/** What the answering side holds of a request; outlives the connection. */
struct Http1Exchange::Implementation
{
    Http1Request request;
    Http1ServerConnection *connection = nullptr;
    std::function<void()> closed;
    std::function<void()> drained;
    bool isStreaming = false;
    bool isChunked = false;
};

/** What the connections share. */
struct Http1Server::Implementation : std::enable_shared_from_this<Implementation>
{
    Implementation(EventLoop &eventLoop, Options serverOptions, Handler requestHandler);

    EventLoop &loop;
    Options options;
    Handler handler;
    /** Used without an account of the owner. */
    MemoryAccount unlimited;
    Timer retryTimer;
    evconnlistener *listener = nullptr;
    bool isClosing = false;
    bool isAccepting = true;
    std::size_t openExchanges = 0;
    std::unordered_map<Http1ServerConnection *, std::shared_ptr<Http1ServerConnection>> connections;
    /** Removed connections; destroyed on the next turn, because they may be calling. */
    std::vector<std::shared_ptr<Http1ServerConnection>> ended;

    MemoryAccount &memory()
    {
        return options.memory != nullptr ? *options.memory : unlimited;
    }

    void accept(evutil_socket_t socket);
    void remove(Http1ServerConnection *connection);
    void updateAccepting();
};

/** One connection of a caller: reads its requests one after the other and writes the answers. */
class Http1ServerConnection final : public std::enable_shared_from_this<Http1ServerConnection>
{
public:
    Http1ServerConnection(Http1Server::Implementation &server, evutil_socket_t socket);
    ~Http1ServerConnection();

    Http1ServerConnection(const Http1ServerConnection &) = delete;
    Http1ServerConnection &operator=(const Http1ServerConnection &) = delete;

    void closeIdle();
    void refuseUnread();

    std::size_t bufferedBytes() const;

    void setCollectedBytes(std::size_t bytes);
    bool isMemoryShort() const;

    void writeHead(int status, const HttpHeaders &headers, std::string_view framing);
    void write(std::string_view bytes);

    /** The answer is complete; the next request may follow. */
    void finishAnswer();

    /** Ends the connection at once; by a reset if an orderly end would make the answer look complete. */
    void abort();

    void closeAfterAnswer()
    {
        isKeepAlive_ = false;
    }

    bool mustClose() const
    {
        return server_.isClosing || !isKeepAlive_;
    }

    bool isHeadRequest() const
    {
        return exchange_ != nullptr && exchange_->request.method == "HEAD";
    }

    bool isHttp11() const
    {
        return isHttp11_;
    }

private:
    enum class State { Idle, Reading, Answering, Lingering };

    void awaitRequest();
    void readInput();
    void handleProgress(Http1Progress progress);
    /** Counts what has been read; refuses the request and returns false if there is no room for it. */
    bool admitInput();
    void startReadTimer();
    void refuse(int status, std::string_view cause);
    void startExchange();
    void dropExchange();
    /** Drops the exchange before its answer is complete. Without chunks only a reset shows the caller that. */
    void cutExchange();

    /** Sends what is left, then reads on for a while: closing with unread bytes would reset the connection. */
    void closeAfterOutput();

    void discardInput();
    void handleTimeout();
    void handleWritten();
    void handleEnd();
    /** The output has grown or the caller has taken some of it. */
    void handleOutput(std::size_t takenBytes);
    /** The account needs the memory or the descriptor. */
    void giveWay();
    /** Calls the function on the next turn, unless the connection has been removed by then. */
    void callLater(void (Http1ServerConnection::*function)());
    void remove();
    bool updateHold();
    TimePoint now() const;

    Http1Server::Implementation &server_;
    Timer timer_;
    bufferevent *stream_ = nullptr;
    Http1RequestReader reader_;
    MemoryHold hold_;
    /** Bytes of the request that is read or answered, with the copy that goes to a server. */
    std::size_t requestBytes_ = 0;
    std::size_t collectedBytes_ = 0;
    TimePoint bodyEndsBy_;
    TimePoint takenAt_;
    State state_ = State::Idle;
    bool isGivingWay_ = false;
    bool isKeepAlive_ = true;
    bool isHttp11_ = true;
    bool hasSentContinue_ = false;
    std::shared_ptr<Http1Exchange::Implementation> exchange_;
};

} // namespace hornbeamlane
