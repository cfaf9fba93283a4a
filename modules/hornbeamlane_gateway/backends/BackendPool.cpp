#include "hornbeamlane_gateway/backends/BackendPool.h"

#include <algorithm>
#include <utility>

namespace hornbeamlane {

BackendPool::BackendPool(EventLoop &loop, Options options)
    : loop_(loop)
    , options_(options)
{
}

std::unique_ptr<Http1ClientConnection> BackendPool::acquire(const ServerId &server, const std::string &address)
{
    auto &connections = servers_[server];
    if (connections.address != address) {
        connections.idle.clear();
        connections.address = address;
    }
    const auto now = loop_.now();
    // The connection used last is the one that the server closes last.
    while (!connections.idle.empty()) {
        auto idle = std::move(connections.idle.back());
        connections.idle.pop_back();
        if (idle.connection->isReusable() && now < idle.expiresAt) {
            ++counters_.reused;
            return std::move(idle.connection);
        }
    }
    ++counters_.opened;
    return std::make_unique<Http1ClientConnection>(
        loop_, Http1ClientConnection::Options{.address = address, .peerTimeout = options_.peerTimeout});
}

void BackendPool::release(const ServerId &server, const std::string &address,
                          std::unique_ptr<Http1ClientConnection> connection)
{
    const auto found = servers_.find(server);
    if (found == servers_.end() || found->second.address != address || !connection->isReusable()) {
        discard(std::move(connection));
        return;
    }
    auto allowed = options_.defaultIdle;
    if (const auto stated = connection->keepAliveTimeout()) {
        allowed = std::min<std::chrono::milliseconds>(*stated, options_.maxIdle);
    }
    if (allowed <= options_.idleMargin) {
        discard(std::move(connection));
        return;
    }
    found->second.idle.push_back(
        {.connection = std::move(connection), .expiresAt = loop_.now() + (allowed - options_.idleMargin)});
}

void BackendPool::forget(const ServerId &server)
{
    servers_.erase(server);
}

void BackendPool::sweep(TimePoint now)
{
    for (auto &[server, connections] : servers_) {
        std::erase_if(connections.idle,
                      [now](const Idle &idle) { return now >= idle.expiresAt || !idle.connection->isReusable(); });
    }
}

void BackendPool::discard(std::unique_ptr<Http1ClientConnection> connection)
{
    connection->cancel();
    // std::function needs a copyable task.
    loop_.post([kept = std::shared_ptr<Http1ClientConnection>(std::move(connection))] {});
}

} // namespace hornbeamlane
