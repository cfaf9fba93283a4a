#include "hornbeamlane_network/http/HttpServer.h"

#include "hornbeamlane_network/http/HttpConnectionWatch.h"
#include "hornbeamlane_network/socket/SocketAddress.h"
#include "hornbeamlane_network/socket/SocketOptions.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>

#include <charconv>

namespace hornbeamlane {

struct HttpExchange::Implementation
{
    HttpRequest request;
    evhttp_request *handle = nullptr;
    HttpConnectionWatch *watch = nullptr;
    bool isStreaming = false;
    /** Flag of the server that an answer of ours is being written. */
    bool *isOwnOutput = nullptr;
    std::function<void()> closedHandler;
    std::function<void()> drainedHandler;
    /** Keeps the exchange alive while the library holds a pointer to it. */
    std::shared_ptr<HttpExchange> self;

    evhttp_connection *connection() const
    {
        return handle != nullptr ? evhttp_request_get_connection(handle) : nullptr;
    }

    /** Detaches from the library; the caller holds the returned reference until it is done. */
    std::shared_ptr<HttpExchange> release()
    {
        if (auto *connectionHandle = connection()) {
            evhttp_connection_set_closecb(connectionHandle, nullptr, nullptr);
            watch->requestEnded(evhttp_connection_get_bufferevent(connectionHandle));
        }
        handle = nullptr;
        closedHandler = nullptr;
        drainedHandler = nullptr;
        return std::move(self);
    }

    /** Resets the connection if an orderly end would make a stream that is cut look complete. */
    void markCut(evhttp_connection *connectionHandle) const
    {
        if (isStreaming && handle->chunked == 0) {
            // The library ends the sending direction before it closes the socket, so a reset on closing is too late.
            resetConnection(bufferevent_getfd(evhttp_connection_get_bufferevent(connectionHandle)));
        }
    }

    void handleClose(evhttp_connection *connectionHandle)
    {
        markCut(connectionHandle);
        const auto handler = std::move(closedHandler);
        const auto keep = std::move(self);
        // The library has handed a request whose caller hung up over to us; one that is still queued it frees itself.
        if (connection() == nullptr) {
            evhttp_request_free(handle);
        }
        handle = nullptr;
        drainedHandler = nullptr;
        if (handler) {
            handler();
        }
    }
};

namespace {

constexpr int statusHeadersTooLarge = 431;

/**
    The library's own bound over the configured one. The library reports headers over its bound as a malformed request,
    so the configured bound is checked after it.
*/
constexpr std::size_t libraryHeaderFactor = 8;

void addHeaders(evhttp_request *handle, const HttpResponse &response)
{
    auto *headers = evhttp_request_get_output_headers(handle);
    if (!response.contentType.empty()) {
        evhttp_add_header(headers, "Content-Type", response.contentType.c_str());
    }
    for (const auto &[name, value] : response.headers) {
        evhttp_add_header(headers, name.c_str(), value.c_str());
    }
}

const char *methodName(evhttp_cmd_type command)
{
    switch (command) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_PATCH:
        return "PATCH";
    default:
        return "OPTIONS";
    }
}

HttpRequest readRequest(evhttp_request *handle)
{
    HttpRequest request;
    request.method = methodName(evhttp_request_get_command(handle));
    const auto *uri = evhttp_request_get_evhttp_uri(handle);
    const char *path = uri != nullptr ? evhttp_uri_get_path(uri) : nullptr;
    const char *query = uri != nullptr ? evhttp_uri_get_query(uri) : nullptr;
    request.path = path != nullptr ? percentDecode(path) : "";
    request.query = query != nullptr ? query : "";
    for (auto *header = evhttp_request_get_input_headers(handle)->tqh_first; header != nullptr;
         header = header->next.tqe_next) {
        request.headers.emplace_back(header->key, header->value);
    }
    auto *body = evhttp_request_get_input_buffer(handle);
    request.body.resize(evbuffer_get_length(body));
    evbuffer_remove(body, request.body.data(), request.body.size());
    return request;
}

std::size_t headerBytes(const HttpRequest &request)
{
    std::size_t bytes = 0;
    for (const auto &[name, value] : request.headers) {
        bytes += name.size() + value.size();
    }
    return bytes;
}

struct BufferDeleter
{
    void operator()(evbuffer *buffer) const
    {
        evbuffer_free(buffer);
    }
};

using Buffer = std::unique_ptr<evbuffer, BufferDeleter>;

/** Sets a flag for its own life. */
class FlagScope final
{
public:
    explicit FlagScope(bool &flag)
        : flag_(flag)
    {
        flag_ = true;
    }

    ~FlagScope()
    {
        flag_ = false;
    }

    FlagScope(const FlagScope &) = delete;
    FlagScope &operator=(const FlagScope &) = delete;

private:
    bool &flag_;
};

} // namespace

HttpExchange::HttpExchange(std::unique_ptr<Implementation> implementation)
    : implementation_(std::move(implementation))
{
}

HttpExchange::~HttpExchange() = default;

const HttpRequest &HttpExchange::request() const
{
    return implementation_->request;
}

void HttpExchange::reply(const HttpResponse &response)
{
    if (isClosed() || isStreaming()) {
        return;
    }
    auto *handle = implementation_->handle;
    const auto keep = implementation_->release();
    addHeaders(handle, response);
    const Buffer body(evbuffer_new());
    evbuffer_add(body.get(), response.body.data(), response.body.size());
    const FlagScope ownOutput(*implementation_->isOwnOutput);
    evhttp_send_reply(handle, response.status, nullptr, body.get());
}

void HttpExchange::startStream(const HttpResponse &head)
{
    if (isClosed() || isStreaming()) {
        return;
    }
    implementation_->isStreaming = true;
    addHeaders(implementation_->handle, head);
    const FlagScope ownOutput(*implementation_->isOwnOutput);
    evhttp_send_reply_start(implementation_->handle, head.status, nullptr);
}

void HttpExchange::sendChunk(std::string_view bytes)
{
    if (isClosed() || !isStreaming() || bytes.empty()) {
        return;
    }
    const Buffer chunk(evbuffer_new());
    evbuffer_add(chunk.get(), bytes.data(), bytes.size());
    const FlagScope ownOutput(*implementation_->isOwnOutput);
    evhttp_send_reply_chunk_with_cb(
        implementation_->handle, chunk.get(),
        [](evhttp_connection *, void *context) {
            const auto *exchange = static_cast<Implementation *>(context);
            if (exchange->drainedHandler) {
                exchange->drainedHandler();
            }
        },
        implementation_.get());
}

void HttpExchange::finishStream()
{
    if (isClosed() || !isStreaming()) {
        return;
    }
    auto *handle = implementation_->handle;
    const auto keep = implementation_->release();
    const FlagScope ownOutput(*implementation_->isOwnOutput);
    evhttp_send_reply_end(handle);
}

void HttpExchange::abortStream()
{
    if (isClosed()) {
        return;
    }
    auto *connection = implementation_->connection();
    implementation_->markCut(connection);
    const auto keep = implementation_->release();
    evhttp_connection_free(connection);
}

bool HttpExchange::isStreaming() const
{
    return implementation_->isStreaming;
}

bool HttpExchange::isClosed() const
{
    return implementation_->handle == nullptr;
}

std::size_t HttpExchange::bufferedBytes() const
{
    if (isClosed()) {
        return 0;
    }
    auto *stream = evhttp_connection_get_bufferevent(implementation_->connection());
    return evbuffer_get_length(bufferevent_get_output(stream));
}

void HttpExchange::onClosed(std::function<void()> handler)
{
    implementation_->closedHandler = std::move(handler);
}

void HttpExchange::onDrained(std::function<void()> handler)
{
    implementation_->drainedHandler = std::move(handler);
}

struct HttpServer::Implementation
{
    EventLoop *loop = nullptr;
    Options options;
    std::unique_ptr<HttpConnectionWatch> watch;
    /** The bytes being written are ours and no page of the library. */
    bool isOwnOutput = false;
    evhttp *server = nullptr;
    evhttp_bound_socket *socket = nullptr;
    Handler handler;
    std::uint16_t port = 0;

    /** Makes the stream of a new connection and watches what the library writes to it. */
    bufferevent *makeStream()
    {
        // The watch keeps a reference, so the socket must not be closed before the stream and its events are gone.
        auto *stream = bufferevent_socket_new(loop->base(), -1, BEV_OPT_CLOSE_ON_FREE);
        watch->add(stream);
        evbuffer_add_cb(
            bufferevent_get_output(stream),
            [](evbuffer *output, const evbuffer_cb_info *change, void *context) {
                if (change->n_added > 0) {
                    static_cast<Implementation *>(context)->replaceLibraryPage(output);
                }
            },
            this);
        return stream;
    }

    /**
        Replaces the HTML page that the library sends for a request that it refuses before any handler sees it.

        The library offers no hook for it before version 2.2; head and page are written in one turn of the loop. Answers
        of ours are not looked at: one that resembles such a page may be that of a request which has run.
    */
    void replaceLibraryPage(evbuffer *output)
    {
        constexpr std::size_t maxPageBytes = 1024;
        constexpr std::string_view pageEnd = "</HTML>\n";
        const auto size = evbuffer_get_length(output);
        if (isOwnOutput || !options.refusalPage || size > maxPageBytes) {
            return;
        }
        const std::string_view text(reinterpret_cast<const char *>(evbuffer_pullup(output, -1)), size);
        constexpr std::size_t statusAt = sizeof("HTTP/1.1 ") - 1;
        if (!text.starts_with("HTTP/1.") || !text.ends_with(pageEnd)
            || text.find("Content-Type: text/html") == std::string_view::npos) {
            return;
        }
        int status = 0;
        std::from_chars(text.data() + statusAt, text.data() + text.size(), status);
        const auto page = options.refusalPage(status);
        const FlagScope ownOutput(isOwnOutput);
        evbuffer_drain(output, size);
        evbuffer_add_printf(output, "HTTP/1.1 %d Refused\r\nContent-Type: %s\r\nContent-Length: %zu\r\n", page.status,
                            page.contentType.c_str(), page.body.size());
        for (const auto &[name, value] : page.headers) {
            evbuffer_add_printf(output, "%s: %s\r\n", name.c_str(), value.c_str());
        }
        evbuffer_add_printf(output, "Connection: close\r\n\r\n%s", page.body.c_str());
    }

    void handle(evhttp_request *handle)
    {
        auto state = std::make_unique<HttpExchange::Implementation>();
        state->handle = handle;
        state->watch = watch.get();
        state->isOwnOutput = &isOwnOutput;
        state->request = readRequest(handle);
        auto *raw = state.get();
        const auto exchange = std::make_shared<HttpExchange>(std::move(state));
        raw->self = exchange;
        auto *connection = evhttp_request_get_connection(handle);
        evhttp_connection_set_closecb(
            connection,
            [](evhttp_connection *closed, void *context) {
                static_cast<HttpExchange::Implementation *>(context)->handleClose(closed);
            },
            raw);
        watch->requestStarted(evhttp_connection_get_bufferevent(connection), exchange->request().body.size());
        // The library stops reading once a request is complete; reading on is what shows a caller's hang-up.
        bufferevent_enable(evhttp_connection_get_bufferevent(connection), EV_READ);
        if (options.refusalPage && headerBytes(exchange->request()) > options.maxHeaderBytes) {
            exchange->reply(options.refusalPage(statusHeadersTooLarge));
            return;
        }
        handler(exchange);
    }
};

HttpServer::HttpServer(EventLoop &loop, const Options &options, Handler handler)
    : implementation_(std::make_unique<Implementation>())
{
    implementation_->loop = &loop;
    implementation_->options = options;
    implementation_->handler = std::move(handler);
    implementation_->watch =
        std::make_unique<HttpConnectionWatch>(loop,
                                              HttpConnectionWatch::Options{.memory = options.memory,
                                                                           .requestTimeout = options.requestTimeout,
                                                                           .maxConnections = options.maxConnections,
                                                                           .onRefused = options.onRefused});
    implementation_->server = evhttp_new(loop.base());
    HORNBEAMLANE_ASSERT(implementation_->server != nullptr);
    evhttp_set_max_body_size(implementation_->server, static_cast<ev_ssize_t>(options.maxBodyBytes));
    evhttp_set_max_headers_size(implementation_->server,
                                static_cast<ev_ssize_t>(options.maxHeaderBytes * libraryHeaderFactor));
    // Without it, the answer to an oversized body is lost when the peer is still sending.
    evhttp_set_flags(implementation_->server, EVHTTP_SERVER_LINGERING_CLOSE);
    evhttp_set_timeout(implementation_->server, static_cast<int>(options.idleTimeout.count()));
    evhttp_set_allowed_methods(implementation_->server,
                               EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE
                                   | EVHTTP_REQ_PATCH);
    evhttp_set_bevcb(
        implementation_->server,
        [](event_base *, void *context) { return static_cast<Implementation *>(context)->makeStream(); },
        implementation_.get());
    evhttp_set_gencb(
        implementation_->server,
        [](evhttp_request *handle, void *context) { static_cast<Implementation *>(context)->handle(handle); },
        implementation_.get());
}

HttpServer::~HttpServer()
{
    implementation_->watch->setListener(nullptr);
    evhttp_free(implementation_->server);
}

bool HttpServer::listen(const std::string &address, std::uint16_t port)
{
    implementation_->socket = evhttp_bind_socket_with_handle(implementation_->server, address.c_str(), port);
    if (implementation_->socket == nullptr) {
        return false;
    }
    implementation_->watch->setListener(evhttp_bound_socket_get_listener(implementation_->socket));
    implementation_->port = boundPort(evhttp_bound_socket_get_fd(implementation_->socket));
    return true;
}

std::uint16_t HttpServer::port() const
{
    return implementation_->port;
}

void HttpServer::stopAccepting()
{
    if (implementation_->socket != nullptr) {
        implementation_->watch->setListener(nullptr);
        evhttp_del_accept_socket(implementation_->server, implementation_->socket);
        implementation_->socket = nullptr;
    }
}

} // namespace hornbeamlane
