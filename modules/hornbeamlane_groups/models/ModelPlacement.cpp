#include "hornbeamlane_groups/models/ModelPlacement.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hornbeamlane {

ModelPlacement::ModelPlacement(Options options)
    : options_(std::move(options))
{
    HORNBEAMLANE_ASSERT(options_.storeBytesPerSecond > 0.0 && options_.unloadBelow < options_.loadAbove);
    if (!options_.wantedServers) {
        options_.wantedServers = [above = options_.loadAbove, below = options_.unloadBelow](
                                     const UseDemand &demand, std::size_t present, double capacity) {
            const auto needed = static_cast<std::size_t>(std::ceil(demand.demand / (capacity * above)));
            const auto kept = static_cast<std::size_t>(std::ceil(demand.demand / (capacity * below)));
            return std::max(demand.leastServers, std::clamp(present, needed, std::max(needed, kept)));
        };
    }
}

void ModelPlacement::setServer(const ServerId &id, const PlacementServer &server, TimePoint now)
{
    auto &known = servers_[id];
    if (known.state.engine != server.engine) {
        known = {};
    }
    known.state = server;
    if (known.loading && server.loaded.contains(*known.loading)) {
        known.loading.reset();
    }
    for (const auto &use : server.loaded) {
        known.loadedAt.try_emplace(use, now);
    }
    std::erase_if(known.loadedAt, [&server](const auto &entry) { return !server.loaded.contains(entry.first); });
}

void ModelPlacement::removeServer(const ServerId &id)
{
    servers_.erase(id);
}

void ModelPlacement::setDemand(const ModelUse &use, const UseDemand &demand)
{
    demands_[use] = demand;
}

std::vector<PlacementOrder> ModelPlacement::plan(TimePoint now)
{
    refill(now);
    std::vector<PlacementOrder> orders;
    for (auto &[id, server] : servers_) {
        // An order or its effect may be lost; without a bound the server would never get another one.
        if (server.loading && now - server.loadingSince >= options_.loadPatience) {
            server.loading.reset();
        }
    }
    auto loads = static_cast<std::size_t>(std::count_if(
        servers_.begin(), servers_.end(), [](const auto &entry) { return entry.second.loading.has_value(); }));
    // The use with the largest part of its demand unserved comes first.
    std::vector<std::pair<double, ModelUse>> shortages;
    for (const auto &[use, demand] : demands_) {
        const auto present = count(use);
        const auto wanted = wantedServers(use, present);
        if (wanted > present) {
            shortages.emplace_back(static_cast<double>(wanted - present) / static_cast<double>(wanted), use);
        }
    }
    std::sort(shortages.begin(), shortages.end(), [](const auto &a, const auto &b) {
        return a.first != b.first ? a.first > b.first : a.second < b.second;
    });
    for (const auto &shortage : shortages) {
        const auto &use = shortage.second;
        if (loads >= options_.loadsAtOnce) {
            break;
        }
        Server *best = nullptr;
        const ServerId *bestId = nullptr;
        for (auto &[id, server] : servers_) {
            if (!server.state.acceptsLoads || server.loading || server.state.loaded.contains(use)
                || usedBytes(server) + bytesToLoad(server, use) > server.state.memoryBytes) {
                continue;
            }
            const auto cost = [this, &use](const Server &candidate) {
                return std::pair(bytesToLoad(candidate, use), assignedDemand(candidate));
            };
            if (best == nullptr || cost(server) < cost(*best)) {
                best = &server;
                bestId = &id;
            }
        }
        if (best == nullptr) {
            if (auto unload = makeRoom(use, now)) {
                orders.push_back(std::move(*unload));
            }
            continue;
        }
        const auto bytes = static_cast<double>(bytesToLoad(*best, use));
        if (bytes > allowance_) {
            continue;
        }
        allowance_ -= bytes;
        best->loading = use;
        best->loadingSince = now;
        ++loads;
        orders.push_back(
            {.server = *bestId, .engine = best->state.engine, .token = options_.token, .use = use, .isLoad = true});
    }
    return orders;
}

double ModelPlacement::allowance(TimePoint now) const
{
    if (!refilledAt_) {
        return 0.0;
    }
    const double seconds = std::chrono::duration<double>(now - *refilledAt_).count();
    return std::min(allowance_ + seconds * options_.storeBytesPerSecond,
                    std::chrono::duration<double>(options_.largestBurst).count() * options_.storeBytesPerSecond);
}

std::size_t ModelPlacement::count(const ModelUse &use) const
{
    return static_cast<std::size_t>(std::count_if(servers_.begin(), servers_.end(), [&use](const auto &entry) {
        return entry.second.state.loaded.contains(use) || entry.second.loading == use;
    }));
}

double ModelPlacement::assignedDemand(const Server &server) const
{
    double sum = 0.0;
    for (const auto &use : server.state.loaded) {
        const auto demand = demands_.find(use);
        if (demand != demands_.end()) {
            sum += demand->second.demand / static_cast<double>(std::max<std::size_t>(1, count(use)));
        }
    }
    return sum / server.state.capacity;
}

std::size_t ModelPlacement::usedBytes(const Server &server) const
{
    std::size_t bytes = 0;
    std::set<ModelId> models;
    const auto add = [&](const ModelUse &use) {
        const auto demand = demands_.find(use);
        if (demand != demands_.end()) {
            bytes += (models.insert(use.model).second ? demand->second.modelBytes : 0) + demand->second.adapterBytes;
        }
    };
    std::for_each(server.state.loaded.begin(), server.state.loaded.end(), add);
    if (server.loading) {
        add(*server.loading);
    }
    return bytes;
}

std::size_t ModelPlacement::bytesToLoad(const Server &server, const ModelUse &use) const
{
    const auto &demand = demands_.at(use);
    const bool hasModel = std::any_of(server.state.loaded.begin(), server.state.loaded.end(),
                                      [&use](const ModelUse &other) { return other.model == use.model; });
    return (hasModel ? 0 : demand.modelBytes) + demand.adapterBytes;
}

std::size_t ModelPlacement::wantedServers(const ModelUse &use, std::size_t present) const
{
    double capacity = 0.0;
    for (const auto &[id, server] : servers_) {
        capacity += server.state.capacity;
    }
    if (capacity <= 0.0) {
        return present;
    }
    return options_.wantedServers(demands_.at(use), present, capacity / static_cast<double>(servers_.size()));
}

bool ModelPlacement::isSpare(const ModelUse &use, std::size_t present) const
{
    const auto demand = demands_.find(use);
    return demand == demands_.end() || wantedServers(use, present) < present;
}

std::optional<PlacementOrder> ModelPlacement::makeRoom(const ModelUse &use, TimePoint now)
{
    // Only a use with a server too many gives way; otherwise two uses would displace each other for ever.
    for (auto &[id, server] : servers_) {
        if (!server.state.acceptsLoads || server.loading || server.state.loaded.contains(use)) {
            continue;
        }
        for (const auto &other : server.state.loaded) {
            const auto since = server.loadedAt.find(other);
            if (since != server.loadedAt.end() && now - since->second >= options_.shortestStay
                && isSpare(other, count(other))) {
                const PlacementOrder order{.server = id,
                                           .engine = server.state.engine,
                                           .token = options_.token,
                                           .use = other,
                                           .isLoad = false};
                server.loadedAt.erase(since);
                server.state.loaded.erase(order.use);
                return order;
            }
        }
    }
    return std::nullopt;
}

void ModelPlacement::refill(TimePoint now)
{
    allowance_ = allowance(now);
    refilledAt_ = now;
}

} // namespace hornbeamlane
