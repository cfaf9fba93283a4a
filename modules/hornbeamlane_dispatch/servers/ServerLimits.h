#pragma once

#include "hornbeamlane_dispatch/ratelimits/ServerRateLimits.h"
#include "hornbeamlane_dispatch/servers/LearnedLimit.h"

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

namespace hornbeamlane {

/** What one entry tells the others of the answers of a server. */
struct LatencyReport
{
    ServerStartHash server = 0;
    LatencySample sample;
};

/** In what a server of a plain service differs from what it states, or from the others. */
struct ServerFinding
{
    /** Requests of all entries that it takes well, 1 to its slots. */
    double takesWell = 1;
    /** What its answers take longer than those of the fastest server of its service. */
    Duration extraLatency{};
};

/** Learns from the answers of plain services, of this entry and of the others, what each server takes well. */
class ServerLimits final
{
public:
    struct Options
    {
        LearnedLimit::Options limit;
        /** Standard errors by which servers' latencies must differ. */
        double confidence = 2.5;
        /** Time between two comparisons of the servers; each is as long as the list. */
        std::chrono::milliseconds comparisonInterval{50};
        /** Servers whose answers wait to be told, at most. */
        std::size_t maxUntold = 4096;
    };

    /** A server that may be asked, in one start. */
    struct KnownServer
    {
        ServerStartHash start = 0;
        ServerId id;
        ServiceId service;
        std::uint32_t slots = 1;
    };

    ServerLimits();
    explicit ServerLimits(Options options);

    /** Servers that there are; what is known of others is forgotten. */
    void retainOnly(const std::vector<KnownServer> &servers);

    /** The server has answered a request of this entry in full, and has had so many requests meanwhile. */
    void onAnswered(ServerStartHash server, Duration latency, double inFlight, TimePoint now);

    /** The server has not answered in so long. Counts as an answer only if answers take less. */
    void onTimedOut(ServerStartHash server, Duration waited, double inFlight, TimePoint now);

    void onPeerReports(const std::vector<LatencyReport> &reports, TimePoint now);

    /** Answers that this entry has not told the others, of so many servers at most; they count as told. */
    std::vector<LatencyReport> takeReports(std::size_t most);

    /** Null for a server that is like its service's others and takes what it states. */
    const ServerFinding *find(ServerStartHash server) const;

    /** Lets time pass; findings that are not renewed fade. */
    void advance(TimePoint now);

    /** Visits each server with a finding, for the log and metrics. */
    void forEach(const std::function<void(const KnownServer &, const ServerFinding &)> &visit) const;

    std::size_t findingCount() const
    {
        return findings_.size();
    }

private:
    struct Learned
    {
        KnownServer server;
        LearnedLimit limit;
    };

    struct ServiceState
    {
        std::uint32_t answering = 0;
        /** Servers whose limits have been lowered on trial. */
        std::uint32_t trying = 0;
    };

    /** Null for a server that is not known. */
    Learned *learner(ServerStartHash server);
    void take(ServerStartHash server, const LatencySample &sample, TimePoint now);
    void compare(TimePoint now);

    Options options_;
    std::unordered_map<ServerStartHash, KnownServer> servers_;
    /** Servers that have answered. */
    std::unordered_map<ServerStartHash, Learned> learned_;
    std::unordered_map<ServerStartHash, ServerFinding> findings_;
    /** Answers that have not been told, in the order in which they are. */
    std::map<ServerStartHash, LatencySample> untold_;
    ServerStartHash toldUpTo_ = 0;
    std::map<ServiceId, ServiceState> services_;
    TimePoint comparedAt_;
};

} // namespace hornbeamlane
