#include "ctl/HttpClient.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include <charconv>
#include <memory>

namespace hornbeamlane::ctl {

namespace {

/** Largest response taken; a catalogue document is far smaller. */
constexpr ev_ssize_t maxBodyBytes = 16 * 1024 * 1024;

struct Exchange
{
    event_base *base = nullptr;
    std::optional<HttpResponse> response;
    bool wasConnected = false;
    bool isOver = false;
};

template <auto release>
struct Releaser
{
    template <class T>
    void operator()(T *handle) const
    {
        release(handle);
    }
};

void onResponse(evhttp_request *request, void *context)
{
    auto &exchange = *static_cast<Exchange *>(context);
    exchange.isOver = true;
    // The library reports a connection that was never made by a request without a status.
    if (request != nullptr && evhttp_request_get_response_code(request) != 0) {
        auto *buffer = evhttp_request_get_input_buffer(request);
        std::string body(evbuffer_get_length(buffer), '\0');
        evbuffer_copyout(buffer, body.data(), body.size());
        exchange.response = HttpResponse{.status = evhttp_request_get_response_code(request), .body = std::move(body)};
    }
    event_base_loopbreak(exchange.base);
}

void onError(evhttp_request_error, void *context)
{
    static_cast<Exchange *>(context)->wasConnected = true;
}

evhttp_cmd_type commandOf(HttpMethod method)
{
    switch (method) {
    case HttpMethod::Get:
        return EVHTTP_REQ_GET;
    case HttpMethod::Put:
        return EVHTTP_REQ_PUT;
    case HttpMethod::Post:
        return EVHTTP_REQ_POST;
    case HttpMethod::Delete:
        return EVHTTP_REQ_DELETE;
    }
    return EVHTTP_REQ_GET;
}

} // namespace

HttpClient::HttpClient(std::string address, std::chrono::milliseconds timeout)
    : address_(std::move(address))
    , timeout_(timeout)
{
}

std::optional<HttpResponse> HttpClient::perform(const HttpRequest &request)
{
    const auto colon = address_.rfind(':');
    std::uint16_t port = 0;
    const char *end = address_.data() + address_.size();
    if (colon == std::string::npos || colon == 0 || std::from_chars(address_.data() + colon + 1, end, port).ptr != end
        || port == 0) {
        lastFailure_ = HttpFailure::BadAddress;
        return std::nullopt;
    }
    const std::unique_ptr<event_base, Releaser<event_base_free>> base(event_base_new());
    const std::unique_ptr<evhttp_connection, Releaser<evhttp_connection_free>> connection(
        evhttp_connection_base_new(base.get(), nullptr, address_.substr(0, colon).c_str(), port));
    if (!base || !connection) {
        lastFailure_ = HttpFailure::NotConnected;
        return std::nullopt;
    }
    const timeval timeout{.tv_sec = timeout_.count() / 1000, .tv_usec = (timeout_.count() % 1000) * 1000};
    evhttp_connection_set_timeout_tv(connection.get(), &timeout);
    evhttp_connection_set_max_body_size(connection.get(), maxBodyBytes);
    Exchange exchange{.base = base.get()};
    auto *handle = evhttp_request_new(onResponse, &exchange);
    evhttp_request_set_error_cb(handle, onError);
    auto *headers = evhttp_request_get_output_headers(handle);
    evhttp_add_header(headers, "Host", address_.c_str());
    evhttp_add_header(headers, "Connection", "close");
    for (const auto &[name, value] : request.headers) {
        evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(handle), request.body.data(), request.body.size());
    if (evhttp_make_request(connection.get(), handle, commandOf(request.method), request.target.c_str()) != 0) {
        lastFailure_ = HttpFailure::NotConnected;
        return std::nullopt;
    }
    event_base_dispatch(base.get());
    if (!exchange.response) {
        lastFailure_ = exchange.wasConnected || !exchange.isOver ? HttpFailure::NoReply : HttpFailure::NotConnected;
        return std::nullopt;
    }
    lastFailure_ = HttpFailure::None;
    return exchange.response;
}

std::string percentEncode(const std::string &text)
{
    constexpr const char *digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        const bool isPlain = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z')
            || (byte >= '0' && byte <= '9') || std::string_view("-_.~").find(character) != std::string_view::npos;
        if (isPlain) {
            encoded += character;
        } else {
            encoded += '%';
            encoded += digits[byte >> 4U];
            encoded += digits[byte & 15U];
        }
    }
    return encoded;
}

} // namespace hornbeamlane::ctl
