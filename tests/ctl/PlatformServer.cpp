#include "ctl/PlatformServer.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <cstdlib>

namespace hornbeamlane::testing {

namespace {

struct Row
{
    std::uint64_t version = 0;
    std::string value;
};

constexpr const char *hostsBody = R"({"hosts": [
    {"name": "entry-1", "dataCentre": "north", "address": "127.0.0.1:1", "role": "entry", "state": "live"}]})";
constexpr const char *statusBody = R"({"process": "entry-1", "version": 1, "settled": 1, "confirmed": [],
    "drains": [{"id": "d1", "scope": "host", "name": "h"}, {"id": "d2", "scope": "host", "name": "other"}]})";

std::string bodyOf(evhttp_request *request)
{
    auto *buffer = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(buffer), '\0');
    evbuffer_copyout(buffer, body.data(), body.size());
    return body;
}

void answer(evhttp_request *request, int status, const std::string &body)
{
    auto *buffer = evhttp_request_get_output_buffer(request);
    evbuffer_add(buffer, body.data(), body.size());
    evhttp_send_reply(request, status, nullptr, nullptr);
}

std::string decoded(const std::string &text)
{
    std::size_t size = 0;
    char *plain = evhttp_uridecode(text.c_str(), 0, &size);
    std::string result(plain, size);
    std::free(plain);
    return result;
}

} // namespace

struct PlatformServer::Implementation
{
    event_base *base = event_base_new();
    evhttp *server = evhttp_new(base);
    std::uint16_t port = 0;
    std::atomic<bool> isStopping = false;
    mutable std::mutex mutex;
    std::map<std::string, Row> rows;
    std::vector<std::string> faults;
    std::vector<std::string> posted;

    void handle(evhttp_request *request)
    {
        const std::scoped_lock lock(mutex);
        const std::string target = evhttp_request_get_uri(request);
        const std::string rowsPrefix = "/v1/rows/";
        const std::string listPrefix = "/v1/rows?prefix=";
        if (target == "/v1/hosts") {
            answer(request, 200, hostsBody);
        } else if (target == "/admin/status") {
            answer(request, 200, statusBody);
        } else if (target == "/admin/drains") {
            posted.push_back(bodyOf(request));
            answer(request, 200, "{}");
        } else if (target.starts_with(rowsPrefix)) {
            handleRow(request, decoded(target.substr(rowsPrefix.size())));
        } else if (target.starts_with(listPrefix)) {
            nlohmann::json list = {{"rows", nlohmann::json::array()}};
            for (const auto &[key, row] : rows) {
                if (key.starts_with(decoded(target.substr(listPrefix.size())))) {
                    list["rows"].push_back({{"key", key}, {"version", row.version}, {"value", row.value}});
                }
            }
            answer(request, 200, list.dump());
        } else {
            answer(request, 404, "");
        }
    }

    void handleRow(evhttp_request *request, const std::string &key)
    {
        std::string fault;
        if (!faults.empty()) {
            fault = faults.front();
            faults.erase(faults.begin());
        }
        if (fault == "503") {
            answer(request, 503, "");
            return;
        }
        const auto match = rows.find(key);
        if (evhttp_request_get_command(request) == EVHTTP_REQ_GET) {
            if (match == rows.end()) {
                answer(request, 404, "");
            } else {
                const nlohmann::json row = {
                    {"key", key}, {"version", match->second.version}, {"value", match->second.value}};
                answer(request, 200, row.dump());
            }
            return;
        }
        const char *condition = evhttp_find_header(evhttp_request_get_input_headers(request), "If-Match");
        const std::uint64_t current = match == rows.end() ? 0 : match->second.version;
        if (condition == nullptr || std::to_string(current) != condition) {
            answer(request, 412, "");
            return;
        }
        rows[key] = {.version = current + 1, .value = bodyOf(request)};
        if (fault == "lost") {
            // A reply without the new version leaves the writer as unsure as no reply, and needs no waiting time.
            answer(request, 500, "");
            return;
        }
        answer(request, 200, nlohmann::json{{"version", current + 1}}.dump());
    }
};

PlatformServer::PlatformServer()
    : implementation_(std::make_unique<Implementation>())
{
    auto &server = *implementation_;
    evhttp_set_gencb(
        server.server,
        [](evhttp_request *request, void *context) { static_cast<Implementation *>(context)->handle(request); },
        &server);
    auto *socket = evhttp_bind_socket_with_handle(server.server, "127.0.0.1", 0);
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getsockname(evhttp_bound_socket_get_fd(socket), reinterpret_cast<sockaddr *>(&address), &size);
    server.port = ntohs(address.sin_port);
    thread_ = std::thread([&server] {
        while (!server.isStopping) {
            // Bounded turns, because the loop is not woken up from the other thread.
            const timeval turn{.tv_sec = 0, .tv_usec = 20'000};
            event_base_loopexit(server.base, &turn);
            event_base_dispatch(server.base);
        }
    });
}

PlatformServer::~PlatformServer()
{
    implementation_->isStopping = true;
    thread_.join();
    evhttp_free(implementation_->server);
    event_base_free(implementation_->base);
}

std::string PlatformServer::address() const
{
    return "127.0.0.1:" + std::to_string(implementation_->port);
}

std::string PlatformServer::value(const std::string &key) const
{
    const std::scoped_lock lock(implementation_->mutex);
    const auto match = implementation_->rows.find(key);
    return match == implementation_->rows.end() ? "" : match->second.value;
}

void PlatformServer::setValue(const std::string &key, const std::string &value)
{
    const std::scoped_lock lock(implementation_->mutex);
    auto &row = implementation_->rows[key];
    row = {.version = row.version + 1, .value = value};
}

void PlatformServer::setFaults(std::vector<std::string> faults)
{
    const std::scoped_lock lock(implementation_->mutex);
    implementation_->faults = std::move(faults);
}

std::vector<std::string> PlatformServer::postedDrains() const
{
    const std::scoped_lock lock(implementation_->mutex);
    return implementation_->posted;
}

} // namespace hornbeamlane::testing
