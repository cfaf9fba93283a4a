#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hornbeamlane {

using RegionId = Identifier<struct RegionTag>;
using RouteId = Identifier<struct RouteTag>;

/** What may be repeated of a request. */
enum class RequestKind {
    Idempotent, ///< May run any number of times.
    NonIdempotent, ///< May run at most once.
    Stream, ///< A stream of events; may run again only where the route says that it can be resumed.
};

/** One service among which a route's requests are divided. */
struct WeightedService
{
    ServiceId service;
    std::uint32_t weight = 1;
};

/** Where requests of one host name and path prefix go, and what holds for them. */
struct RouteSpec
{
    RouteId name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string prefix;
    RequestKind kind = RequestKind::NonIdempotent;
    std::vector<WeightedService> services;
    /** Longest time for which the caller may be kept waiting for the whole answer. */
    std::chrono::milliseconds timeout{8000};
    /** Time within which the answer, or the first event of a stream, is on time. */
    std::chrono::milliseconds latencyTarget{400};
    /** Longest pause between two events of a stream that is on time. */
    std::chrono::milliseconds pauseTarget{0};
    /** 0 is the most urgent. */
    std::uint32_t priority = 5;
    /** Servers that may run one request. */
    std::uint32_t maxAttempts = 1;
    /** Needs no key. */
    bool isPublic = false;
    bool isResumable = false;
    /** Regions whose servers may run its requests; empty: all. */
    std::vector<RegionId> allowedRegions;
};

/** How a continuously batching model engine spends its time. */
struct EngineModel
{
    std::uint32_t slots = 1;
    std::uint64_t memoryTokens = 0;
    /** Output tokens of each request in one pass. */
    std::uint32_t stepsPerPass = 1;
    std::chrono::duration<double, std::milli> stepTime{0};
    std::chrono::duration<double, std::milli> stepTimePerRequest{0};
    std::chrono::duration<double, std::milli> stepTimePerThousandTokens{0};
    double promptTokensPerSecond = 0;
    std::uint32_t usualPromptTokens = 0;
    std::uint32_t usualOutputTokens = 0;
    /** Expert-parallel groups: layers with a map of their own, experts of a layer, places for experts at a rank. */
    std::uint32_t expertLayers = 0;
    std::uint32_t expertsPerLayer = 0;
    std::uint32_t placesPerRank = 0;
    /** Experts of a layer that a rank can prepare at once beside those in use. */
    std::uint32_t sparePlaces = 0;
    /** Time in which a rank copies one expert. */
    std::chrono::duration<double, std::milli> expertCopyTime{0};
};

/** What holds for all servers of a service. */
struct ServiceSpec
{
    ServiceId name;
    /** Connections that one server accepts from all entries together. */
    std::uint32_t maxConnections = 0;
    /** Time after its start for which a server bears only warmupRate. */
    std::chrono::milliseconds warmup{0};
    /** Requests a second that a cold server bears from all entries together; 0: no bound. */
    double warmupRate = 0;
    std::optional<EngineModel> engine;
};

/** A team with its keys. */
struct TeamSpec
{
    TeamId name;
    std::vector<std::string> keys;
    /** Takes precedence over the route's. */
    std::optional<std::uint32_t> priority;
    std::vector<RegionId> allowedRegions;
};

/** Bounds on what callers may send. */
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    std::chrono::milliseconds headerTimeout{3000};
    std::chrono::milliseconds idleTimeout{15000};
};

/** One version of the whole configuration of a direct entry. */
struct DispatchCatalogue
{
    CatalogueVersion version;
    std::vector<RouteSpec> routes;
    std::vector<ServiceSpec> services;
    /** Absent: requests need no key. */
    std::optional<std::vector<TeamSpec>> teams;
    CallerLimits limits;
};

} // namespace hornbeamlane
