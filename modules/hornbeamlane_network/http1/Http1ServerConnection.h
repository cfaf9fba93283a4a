#pragma once

#include "hornbeamlane_network/http1/Http1Server.h"
#include "hornbeamlane_network/loop/Timer.h"

#include <string_view>
#include <unordered_map>

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
struct Http1Server::Implementation
{
    EventLoop &loop;
    Options options;
    Handler handler;
    evconnlistener *listener = nullptr;
    std::unordered_map<Http1ServerConnection *, std::unique_ptr<Http1ServerConnection>> connections;
    bool isClosing = false;
    bool isAccepting = true;
    std::size_t openExchanges = 0;

    void accept(evutil_socket_t socket);
    void remove(Http1ServerConnection *connection);
    void updateAccepting();
};

/** One connection of a caller: reads its requests one after the other and writes the answers. */
class Http1ServerConnection final
{
public:
    Http1ServerConnection(Http1Server::Implementation &server, evutil_socket_t socket);
    ~Http1ServerConnection();

    Http1ServerConnection(const Http1ServerConnection &) = delete;
    Http1ServerConnection &operator=(const Http1ServerConnection &) = delete;

    void closeIdle();
    void refuseUnread();

    std::size_t bufferedBytes() const;

    void writeHead(int status, const HttpHeaders &headers, std::string_view framing);
    void write(std::string_view bytes);

    /** The answer is complete; the next request may follow. */
    void finishAnswer();

    /** Ends the connection at once; by a reset if an orderly end would make the answer look complete. */
    void abort(bool isEndOfConnectionEndOfBody);

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
    void refuse(int status);
    void startExchange();
    void dropExchange();

    /** Sends what is left, then reads on for a while: closing with unread bytes would reset the connection. */
    void closeAfterOutput();

    void discardInput();
    void handleTimeout();
    void handleWritten();
    void handleEnd();

    Http1Server::Implementation &server_;
    Timer timer_;
    bufferevent *stream_ = nullptr;
    Http1RequestReader reader_;
    State state_ = State::Idle;
    bool isKeepAlive_ = true;
    bool isHttp11_ = true;
    bool hasSentContinue_ = false;
    std::shared_ptr<Http1Exchange::Implementation> exchange_;
};

} // namespace hornbeamlane
