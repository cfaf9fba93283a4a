#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"
#include "hornbeamlane_dispatch/hornbeamlane_dispatch.h"
#include "hornbeamlane_gateway/maps/EngineApi.h"
#include "hornbeamlane_membership/table/TableClient.h"
#include "hornbeamlane_observability/hornbeamlane_observability.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace hornbeamlane {

/** Entries assumed to share bounds until the others have been heard. */
constexpr std::uint32_t assumedEntries = 16;

/** Names of the headers that a gateway reads and writes. */
struct GatewayHeaders
{
    /** Id of one attempt of a caller; servers echo it. */
    std::string attemptId = "X-Attempt-Id";
    /** Time that the caller, or the gateway, still waits, in milliseconds. */
    std::string timeLeft = "X-Time-Left-Ms";
    /** Key of the caller; never passed on. */
    std::string key = "X-Api-Key";
    /** Name of the key's team; set by the gateway only. */
    std::string team = "X-Hornbeamlane-Team";
    /** Priority of the request, 0 to 9, 0 first; set by the gateway only, towards servers that run an engine. */
    std::string priority = "X-Request-Priority";
    /** Server for which the request is meant; another one rejects it. */
    std::string expectedServer = "X-Expected-Server";
    /** Signature of a server; a success without it is not the server's answer. */
    std::string signature = "X-Server-Signature";
    /** States that the server has not run the request. */
    std::string notRun = "X-Not-Run";
    /** Address of the server because of which a request was rejected; another one than the rejecting server may be
     * lost. */
    std::string faultyServer = "X-Faulty-Server";
    /** Time for which the server stays cold, in milliseconds. */
    std::string warmup = "X-Warmup-Ms";
    /** "1" in all answers of a server that leaves: it wants no further requests. */
    std::string leaving = "X-Server-Leaving";
    /** Requests a second that the server takes from all entries together, as a decimal number. */
    std::string rateLimit = "X-Rate-Limit";
    /** Position in a stream after which it goes on. */
    std::string lastEventId = "Last-Event-Id";
    /** Parts of the prompt in order, "<id>:<tokens>" each, separated by commas; the last one is the request's own. */
    std::string promptParts = "X-Prompt-Parts";
};

/** What the owner of a gateway tells the other entries, and hears from them, with the loads. */
struct GatewayHooks
{
    /** Whether this process holds the lease of the expert maps. */
    std::function<bool()> isMapHolder;
    /** Newest row seen of each table that all entries follow. */
    std::function<std::vector<TableVersion>()> tableVersions;
    std::function<void(const std::vector<TableVersion> &)> peerVersions;
    /** Writes the row of known crashes if it has this version; version 0 means that there is none. */
    std::function<void(const std::string &value, RowVersion expected, TableClient::ReplyHandler)> writeCrashRow =
        [](const auto &, auto, const auto &reply) { reply({.status = TableStatus::Unavailable}); };
    ReadRankReport readReport = [](const auto &, const auto &reply) { reply(std::nullopt); };
};

/** Everything that a gateway has to know before it starts. */
struct GatewaySettings
{
    std::string name;
    DataCentreId dataCentre;
    /** "<ip>:<port>" for callers. */
    std::string callerAddress;
    /** "<ip>:<port>" for the balancer's readiness checks and for metrics. */
    std::string readyAddress;
    std::string readyPath = "/readyz";
    std::string metricsPath = "/metrics";
    /** "<ip>:<port>" for load messages of the other entries. */
    std::string peerAddress;
    /** Addresses of other entries to start with. */
    std::vector<std::string> peerSeeds;
    GatewayHeaders headers;
    /** Share of requests that may be sent again, over all entries, in each window; and what is allowed beside it. */
    double retryRatio = 0.1;
    double retryAllowance = 10;
    std::chrono::milliseconds retryWindow{10000};
    /** A planned stop ends after this time at the latest. */
    std::chrono::milliseconds shutdownBound{8000};
    /** Callers know of a planned stop after this time; a stream that is read in full later has to be able to end before
        the process does. */
    std::chrono::milliseconds stopNoticeTime{3000};
    std::size_t maxConnections = 3000;
    /** Bytes that may be held for callers and servers together. */
    std::size_t memoryLimit = 64 * 1024 * 1024;
    /** Longest time from the first request on for which requests wait for what the table and other entries know of
        crashes. */
    std::chrono::milliseconds crashLearningTime{0};
    LogLevel logLevel = LogLevel::Info;
};

} // namespace hornbeamlane
