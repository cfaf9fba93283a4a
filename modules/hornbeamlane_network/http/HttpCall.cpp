#include "hornbeamlane_network/http/HttpCall.h"

#include "hornbeamlane_network/loop/Timer.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <charconv>

namespace hornbeamlane {

namespace {

/** Bytes of an answer beside its body: heads, interim answers, trailers; and lines before chunks for each byte of it.
 */
constexpr std::size_t maxOverheadBytes = 1024 * 1024;
constexpr std::size_t maxOverheadOfBodyByte = 8;

constexpr std::size_t maxHeaderBytes = 64 * 1024;

/** The library shows the head of this interim answer and then reads on. */
constexpr int statusContinue = 100;

/** Statuses of final answers; what has another one is no answer. */
constexpr int firstFinalStatus = 200;
constexpr int lastFinalStatus = 599;

/** Interim answers before the final one. */
constexpr int maxInterimResponses = 16;

evhttp_cmd_type commandOf(const std::string &method)
{
    if (method == "POST") {
        return EVHTTP_REQ_POST;
    }
    if (method == "PUT") {
        return EVHTTP_REQ_PUT;
    }
    if (method == "DELETE") {
        return EVHTTP_REQ_DELETE;
    }
    if (method == "HEAD") {
        return EVHTTP_REQ_HEAD;
    }
    if (method == "PATCH") {
        return EVHTTP_REQ_PATCH;
    }
    return EVHTTP_REQ_GET;
}

} // namespace

struct HttpCall::Implementation : std::enable_shared_from_this<HttpCall::Implementation>
{
    EventLoop &loop;
    Options options;
    Callbacks callbacks;
    evhttp_connection *connection = nullptr;
    evhttp_request *request = nullptr;
    bool hasHead = false;
    bool isOver = false;
    /** The answer has a status that no answer has. */
    bool isInvalid = false;
    int interimResponses = 0;
    bool hasSentBytes = false;
    /** Bytes that have come, and those of them that were handed out as the body. */
    std::size_t receivedBytes = 0;
    std::size_t bodyBytes = 0;
    std::unique_ptr<Timer> totalTimer;
    HttpCallEnd failure = HttpCallEnd::BrokenOff;

    Implementation(EventLoop &loopToUse, Options optionsToUse, Callbacks callbacksToUse)
        : loop(loopToUse)
        , options(std::move(optionsToUse))
        , callbacks(std::move(callbacksToUse))
    {
    }

    ~Implementation()
    {
        freeConnection();
    }

    void start()
    {
        const auto parts = splitAddress(options.address);
        if (!parts) {
            failLater(HttpCallEnd::ConnectFailed);
            return;
        }
        connection = evhttp_connection_base_new(loop.base(), nullptr, parts->first.c_str(), parts->second);
        evhttp_connection_set_timeout(connection, static_cast<int>(options.timeout.count()));
        evhttp_connection_set_retries(connection, 0);
        watchOutput();
        watchInput();
        startTotalTimer();
        evhttp_connection_set_max_headers_size(connection, maxHeaderBytes);
        evhttp_connection_set_max_body_size(connection, static_cast<ev_ssize_t>(options.maxResponseBytes));
        request = evhttp_request_new(
            [](evhttp_request *handle, void *context) { static_cast<Implementation *>(context)->handleDone(handle); },
            this);
        evhttp_request_set_header_cb(request, [](evhttp_request *handle, void *context) {
            static_cast<Implementation *>(context)->handleHead(handle);
            return 0;
        });
        evhttp_request_set_chunked_cb(request, [](evhttp_request *handle, void *context) {
            static_cast<Implementation *>(context)->handleData(handle);
        });
        evhttp_request_set_error_cb(request, [](evhttp_request_error error, void *context) {
            if (error == EVREQ_HTTP_TIMEOUT) {
                static_cast<Implementation *>(context)->failure = HttpCallEnd::TimedOut;
            }
        });
        auto *headers = evhttp_request_get_output_headers(request);
        evhttp_add_header(headers, "Host", options.address.c_str());
        evhttp_add_header(headers, "Connection", "close");
        for (const auto &[name, value] : options.headers) {
            evhttp_add_header(headers, name.c_str(), value.c_str());
        }
        evbuffer_add(evhttp_request_get_output_buffer(request), options.body.data(), options.body.size());
        // The library frees the request itself when it cannot be sent.
        if (evhttp_make_request(connection, request, commandOf(options.method), options.target.c_str()) != 0) {
            request = nullptr;
        }
    }

    /** Notes when bytes leave the output buffer: from then on the peer may have the request. */
    void watchOutput()
    {
        auto *output = bufferevent_get_output(evhttp_connection_get_bufferevent(connection));
        evbuffer_add_cb(
            output,
            [](evbuffer *, const evbuffer_cb_info *change, void *context) {
                if (change->n_deleted > 0) {
                    static_cast<Implementation *>(context)->hasSentBytes = true;
                }
            },
            this);
    }

    /** Ends the call if the peer sends so much beside the body; the library has no bound on that. */
    void watchInput()
    {
        auto *input = bufferevent_get_input(evhttp_connection_get_bufferevent(connection));
        evbuffer_add_cb(
            input,
            [](evbuffer *, const evbuffer_cb_info *change, void *context) {
                auto *self = static_cast<Implementation *>(context);
                self->receivedBytes += change->n_added;
                const auto overhead = self->receivedBytes - self->bodyBytes;
                if (overhead > maxOverheadBytes + maxOverheadOfBodyByte * self->bodyBytes) {
                    self->failLater(HttpCallEnd::BrokenOff);
                }
            },
            this);
    }

    void startTotalTimer()
    {
        if (options.totalTime) {
            totalTimer = std::make_unique<Timer>(loop, [this] {
                const auto keep = shared_from_this();
                finish(HttpCallEnd::TimedOut);
            });
            totalTimer->startOnce(*options.totalTime);
        }
    }

    void failLater(HttpCallEnd end)
    {
        loop.post([weak = weak_from_this(), end] {
            if (const auto self = weak.lock()) {
                self->finish(end);
            }
        });
    }

    void handleHead(evhttp_request *handle)
    {
        const auto keep = shared_from_this();
        HttpResponse head;
        head.status = evhttp_request_get_response_code(handle);
        if (head.status == statusContinue && ++interimResponses <= maxInterimResponses) {
            return;
        }
        hasHead = true;
        if (head.status < firstFinalStatus || head.status > lastFinalStatus) {
            isInvalid = true;
            failLater(HttpCallEnd::BrokenOff);
            return;
        }
        for (auto *header = evhttp_request_get_input_headers(handle)->tqh_first; header != nullptr;
             header = header->next.tqe_next) {
            head.headers.emplace_back(header->key, header->value);
            if (evutil_ascii_strcasecmp(header->key, "Content-Type") == 0) {
                head.contentType = header->value;
            }
        }
        if (!isOver && callbacks.head) {
            callbacks.head(head);
        }
    }

    void handleData(evhttp_request *handle)
    {
        const auto keep = shared_from_this();
        auto *buffer = evhttp_request_get_input_buffer(handle);
        std::string bytes(evbuffer_get_length(buffer), '\0');
        evbuffer_remove(buffer, bytes.data(), bytes.size());
        bodyBytes += bytes.size();
        if (!isOver && !isInvalid && !bytes.empty() && callbacks.data) {
            callbacks.data(bytes);
        }
    }

    void handleDone(evhttp_request *handle)
    {
        const auto keep = shared_from_this();
        request = nullptr;
        if (handle != nullptr && !isInvalid && evhttp_request_get_response_code(handle) != 0) {
            handleData(handle);
            finish(HttpCallEnd::Complete);
            return;
        }
        finish(hasSentBytes || hasHead || failure == HttpCallEnd::TimedOut ? failure : HttpCallEnd::ConnectFailed);
    }

    void finish(HttpCallEnd end)
    {
        if (isOver) {
            return;
        }
        isOver = true;
        if (totalTimer) {
            totalTimer->stop();
        }
        // The connection may be in the middle of its own callback, so it is freed on the next turn.
        loop.post([self = shared_from_this()] { self->freeConnection(); });
        if (callbacks.end) {
            callbacks.end(end);
        }
    }

    void freeConnection()
    {
        if (connection != nullptr) {
            evhttp_connection_free(connection);
            connection = nullptr;
        }
    }
};

HttpCall::HttpCall(EventLoop &loop, Options options, Callbacks callbacks)
    : implementation_(std::make_shared<Implementation>(loop, std::move(options), std::move(callbacks)))
{
    implementation_->start();
}

HttpCall::~HttpCall()
{
    implementation_->callbacks = {};
    if (!implementation_->isOver) {
        implementation_->finish(HttpCallEnd::BrokenOff);
    }
}

void HttpCall::pauseReading()
{
    if (!implementation_->isOver && implementation_->connection != nullptr) {
        bufferevent_disable(evhttp_connection_get_bufferevent(implementation_->connection), EV_READ);
    }
}

void HttpCall::resumeReading()
{
    if (!implementation_->isOver && implementation_->connection != nullptr) {
        bufferevent_enable(evhttp_connection_get_bufferevent(implementation_->connection), EV_READ);
    }
}

bool HttpCall::mayHaveReachedPeer() const
{
    return implementation_->hasSentBytes;
}

std::optional<std::pair<std::string, std::uint16_t>> splitAddress(const std::string &address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const char *end = address.data() + address.size();
    const auto result = std::from_chars(address.data() + colon + 1, end, port);
    if (result.ec != std::errc() || result.ptr != end) {
        return std::nullopt;
    }
    return std::pair(address.substr(0, colon), port);
}

void sendHttpRequest(EventLoop &loop, HttpCall::Options options,
                     std::function<void(HttpCallEnd, const HttpResponse &)> handler)
{
    struct Collector
    {
        HttpResponse response;
        std::unique_ptr<HttpCall> call;
    };
    // The loop owns the collector, so that a call that is under way when the loop ends is ended with it.
    const auto owned = std::make_shared<Collector>();
    auto *collector = owned.get();
    loop.retain(owned);
    HttpCall::Callbacks callbacks;
    callbacks.head = [collector](const HttpResponse &head) { collector->response = head; };
    callbacks.data = [collector](std::string_view bytes) { collector->response.body += bytes; };
    callbacks.end = [collector, &loop, handler = std::move(handler)](HttpCallEnd end) {
        loop.release(collector);
        handler(end, collector->response);
    };
    collector->call = std::make_unique<HttpCall>(loop, std::move(options), std::move(callbacks));
}

} // namespace hornbeamlane
