#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"

#include <compare>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hornbeamlane {

enum class ServerRole {
    Mixed, ///< Prefill and decode.
    Prefill,
    Decode,
};

/** What a server can be asked to serve: a model in a role, with an adapter or without (empty). */
struct ModelUse
{
    ModelId model;
    std::string adapter;
    ServerRole role = ServerRole::Mixed;

    auto operator<=>(const ModelUse &) const = default;
};

/** An order to one server: load and serve, or unload. Fenced like map orders; the engine is the one it is meant for. */
struct PlacementOrder
{
    ServerId server;
    Incarnation engine;
    FencingToken token;
    ModelUse use;
    bool isLoad = true;
};

/** What is known of one server. */
struct PlacementServer
{
    Incarnation engine;
    std::size_t memoryBytes = 0;
    std::set<ModelUse> loaded;
    /** Concurrent requests that the server bears, whatever it serves. */
    double capacity = 1.0;
    /** Servers that leave, are cut off or run an expert map get no load orders. */
    bool acceptsLoads = true;
};

/** Size and demand of one use. */
struct UseDemand
{
    /** Weight bytes to load: those of the adapter alone if the model is loaded already. */
    std::size_t modelBytes = 0;
    std::size_t adapterBytes = 0;
    /** Concurrent requests, smoothed by the caller. */
    double demand = 0.0;
    /** Servers that must have it whatever the demand. */
    std::size_t leastServers = 1;
};

/** Chooses which models, adapters and roles are on which servers, within the rate of the weight store. */
class ModelPlacement final
{
public:
    struct Options
    {
        FencingToken token;
        /** Bytes a second that the weight store grants; loads beyond it would delay all others. */
        double storeBytesPerSecond = 2e9;
        /** Unused allowance that may be saved up. */
        Duration largestBurst = std::chrono::seconds(60);
        /** A use gets a server more when its demand exceeds this part of the capacity of its servers. */
        double loadAbove = 0.8;
        /** And loses one only when the remaining ones would stay below this part: the gap prevents flapping. */
        double unloadBelow = 0.5;
        /** How long a use stays loaded at least; a load that is undone at once was wasted. */
        Duration shortestStay = std::chrono::seconds(300);
        /** Time after which a load without effect is ordered anew. */
        Duration loadPatience = std::chrono::seconds(300);
        /** Servers being loaded at the same time; each one serves less meanwhile. */
        std::size_t loadsAtOnce = 4;
        /** Wanted servers of a use. Default: from demand, the present number, and the two bounds above. */
        std::function<std::size_t(const UseDemand &demand, std::size_t present, double capacity)> wantedServers;
    };

    explicit ModelPlacement(Options options);

    /** Sets what is known of a server; an engine with a new incarnation has no orders in progress. */
    void setServer(const ServerId &id, const PlacementServer &server, TimePoint now);
    void removeServer(const ServerId &id);
    void setDemand(const ModelUse &use, const UseDemand &demand);

    /** Orders to send now. */
    std::vector<PlacementOrder> plan(TimePoint now);

    /** Bytes that may be loaded now. */
    double allowance(TimePoint now) const;

private:
    struct Server
    {
        PlacementServer state;
        std::optional<ModelUse> loading;
        TimePoint loadingSince;
        std::map<ModelUse, TimePoint> loadedAt;
    };

    std::size_t count(const ModelUse &use) const;
    double assignedDemand(const Server &server) const;
    std::size_t usedBytes(const Server &server) const;
    std::size_t bytesToLoad(const Server &server, const ModelUse &use) const;
    bool isSpare(const ModelUse &use, std::size_t present) const;
    std::size_t wantedServers(const ModelUse &use, std::size_t present) const;
    std::optional<PlacementOrder> makeRoom(const ModelUse &use, TimePoint now);
    void refill(TimePoint now);

    Options options_;
    std::map<ServerId, Server> servers_;
    std::map<ModelUse, UseDemand> demands_;
    double allowance_ = 0.0;
    std::optional<TimePoint> refilledAt_;
};

} // namespace hornbeamlane
