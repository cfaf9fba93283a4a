#include "websocket_session/WebSocketSession.h"

#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

namespace hornbeamlane::websocket {

namespace {

using ClientEndpoint = websocketpp::client<websocketpp::config::core_client>;
using ServerEndpoint = websocketpp::server<websocketpp::config::core>;

/** Turns the library's own logging off: the edge logs with its own context. */
template <class Endpoint>
void silence(Endpoint &endpoint)
{
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
}

template <class Endpoint>
class Session final : public WebSocketSession
{
public:
    using Connection = typename Endpoint::connection_ptr;

    Session(Connection connection, Callbacks callbacks, std::size_t maxMessageBytes)
        : connection_(std::move(connection))
        , callbacks_(std::move(callbacks))
    {
        connection_->set_max_message_size(maxMessageBytes);
        connection_->set_write_handler(
            [this](const websocketpp::connection_hdl &, char const *bytes, std::size_t size) {
                callbacks_.write(bytes, size);
                return std::error_code();
            });
        connection_->set_open_handler([this](const websocketpp::connection_hdl &) { callbacks_.open(); });
        connection_->set_message_handler(
            [this](const websocketpp::connection_hdl &, const typename Endpoint::message_ptr &message) {
                callbacks_.receive(message->get_payload());
            });
        connection_->set_close_handler([this](const websocketpp::connection_hdl &) { reportClosed(); });
        connection_->set_fail_handler([this](const websocketpp::connection_hdl &) { reportClosed(); });
    }

    ~Session() override
    {
        // The library keeps the connection alive from its own handlers; without them it cannot reach this object.
        callbacks_.closed = nullptr;
        connection_->set_message_handler(nullptr);
        connection_->set_open_handler(nullptr);
        connection_->set_close_handler(nullptr);
        connection_->set_fail_handler(nullptr);
        connection_->set_write_handler(
            [](const websocketpp::connection_hdl &, char const *, std::size_t) { return std::error_code(); });
        connection_->eof();
    }

    void feed(const char *bytes, std::size_t size) override
    {
        connection_->read_all(bytes, size);
    }

    bool send(const std::string &message) override
    {
        return !connection_->send(message, websocketpp::frame::opcode::binary);
    }

    void close() override
    {
        std::error_code ignored;
        connection_->close(websocketpp::close::status::going_away, "", ignored);
    }

    void endOfInput() override
    {
        connection_->eof();
        reportClosed();
    }

private:
    void reportClosed()
    {
        if (callbacks_.closed) {
            const auto closed = std::move(callbacks_.closed);
            callbacks_.closed = nullptr;
            closed();
        }
    }

    Connection connection_;
    Callbacks callbacks_;
};

} // namespace

std::unique_ptr<WebSocketSession> WebSocketSession::client(const std::string &uri, Callbacks callbacks,
                                                           std::size_t maxMessageBytes)
{
    static ClientEndpoint endpoint;
    silence(endpoint);
    std::error_code error;
    auto connection = endpoint.get_connection(uri, error);
    if (error) {
        return nullptr;
    }
    auto session = std::make_unique<Session<ClientEndpoint>>(connection, std::move(callbacks), maxMessageBytes);
    // Connecting writes the handshake at once, so the handlers have to be in place before.
    endpoint.connect(connection);
    return session;
}

std::unique_ptr<WebSocketSession> WebSocketSession::server(Callbacks callbacks, std::size_t maxMessageBytes)
{
    static ServerEndpoint endpoint;
    silence(endpoint);
    auto connection = endpoint.get_connection();
    auto session = std::make_unique<Session<ServerEndpoint>>(connection, std::move(callbacks), maxMessageBytes);
    connection->start();
    return session;
}

} // namespace hornbeamlane::websocket
