#pragma once

#include "hornbeamlane_gateway/GatewaySettings.h"
#include "hornbeamlane_gateway/backends/BackendPool.h"
#include "hornbeamlane_gateway/backends/ServerLimitGuard.h"
#include "hornbeamlane_gateway/backends/ServerNoticeReader.h"
#include "hornbeamlane_gateway/crashes/CrashGuard.h"
#include "hornbeamlane_gateway/peers/PeerExchange.h"
#include "hornbeamlane_gateway/queue/ServiceQueues.h"
#include "hornbeamlane_gateway/ratelimits/RateLimitGuard.h"
#include "hornbeamlane_gateway/request/ForwardedRequest.h"
#include "hornbeamlane_gateway/state/GroupProbe.h"
#include "hornbeamlane_network/http1/Http1Server.h"
#include "hornbeamlane_network/loop/Timer.h"
#include "hornbeamlane_observability/logging/RefusedConnections.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace hornbeamlane {

/**
    An entry that sends callers' requests straight to backend servers.

    Whoever owns it tells it the catalogue, the servers and the data centres that are taken out of service.
*/
class Gateway final
{
public:
    Gateway(EventLoop &loop, RandomSource &random, GatewaySettings settings, GatewayHooks hooks);
    ~Gateway();

    /** False if an address cannot be bound. */
    bool start();

    /** Finishes what is running, takes no new work and calls `done`. */
    void shutDown(std::function<void()> done);

    /** Puts a catalogue in force; an older one than that in force is ignored. */
    void applyCatalogue(DispatchCatalogue catalogue);

    BackendBook &backends()
    {
        return backends_;
    }

    PeerExchange &peers()
    {
        return peers_;
    }

    /** The row by which all entries keep what they know of crashes. */
    CrashRow &crashRow()
    {
        return crashes_.row();
    }

    /** Servers or their groups have changed, so waiting requests may find a place. */
    void serversChanged();

    bool isReady() const;

    /** Port for callers after a successful start(). */
    std::uint16_t callerPort() const;

    /** Bytes of answers that wait for callers to read them. */
    std::size_t bufferedBytes() const;

    /** Whether the catalogue in force names the service. */
    bool isServiceNamed(const ServiceId &service) const;

    /** Engine of a service; empty if it has none. */
    std::optional<EngineModel> engineOf(const ServiceId &service) const;

private:
    friend class BackendExchange;
    friend class ForwardedRequest;

    void handle(const std::shared_ptr<Http1Exchange> &exchange);
    void handleStatusRequest(const std::shared_ptr<Http1Exchange> &exchange);
    /** Another entry has told its load; comes many times a second with many entries. */
    void peerLoadsChanged();
    /** A group runs that is broken by the entries of its ranks, of which this is one. */
    void groupHasFormed(const ServerId &rank);
    /** Requests that all entries are likely to send to the service before this one hears of them. */
    double unseenRequests(const ServiceId &service);
    std::optional<ServerId> serverOf(ServerStartHash start) const;
    void sweep();
    void setEntryCount(std::uint32_t count);
    /** When what still runs is cut off; empty while no stop is planned. */
    std::optional<TimePoint> cutOffAt() const;
    /** Whether callers knew of the planned stop by then. */
    bool isStopKnownAt(TimePoint time) const;
    void checkDrained();
    /** Answers all that has not ended, so that nothing ends with a closed connection only. */
    void cutOff();
    /** A copy, for calls by which requests may end. */
    std::vector<std::shared_ptr<ForwardedRequest>> openRequests() const;
    std::vector<LostRequest> unansweredAt(const ServerId &server) const;
    /** What is known of crashes has changed, or held requests have waited for a while. */
    void crashesChanged();
    /** Looks at held requests again shortly. */
    void watchHeldRequests();
    void countOutcome(std::string_view outcome, Duration total);
    /** Destroys the request on the next turn. */
    void forget(ForwardedRequest *request);
    std::string renderMetrics();

    EventLoop &loop_;
    RandomSource &random_;
    GatewaySettings settings_;
    MetricsRegistry metrics_;
    BackendBook backends_;
    BackendPool pool_;
    PeerExchange peers_;
    CrashGuard crashes_;
    RateLimitGuard rateLimits_;
    ServerNoticeReader notices_;
    ServerLimitGuard serverLimits_;
    ServiceQueues queues_;
    GroupProbe groupProbe_;
    /** Shared with the requests that were admitted under it. */
    std::shared_ptr<const RouteTable> table_;
    ReturningCallers returningCallers_;
    std::unordered_map<ForwardedRequest *, std::shared_ptr<ForwardedRequest>> requests_;
    RequestNumber lastRequest_;
    /** Bytes of answers that all requests together have collected. */
    std::size_t collectedBytes_ = 0;
    /** What is held for all callers; outlives their connections. */
    MemoryAccount memory_;
    RefusedConnections refusedConnections_;
    Http1Server callers_;
    Http1Server status_;
    Timer sweepTimer_;
    Timer heldTimer_;
    Timer drainTimer_;
    std::function<void()> drained_;
    bool isStopping_ = false;
    bool hasStoppedAccepting_ = false;
    bool hasCutOff_ = false;
    TimePoint stopKnownAt_;
    TimePoint stopAcceptingAt_;
    TimePoint cutOffAt_;
    TimePoint stateLoggedAt_;
    std::uint32_t entryCount_ = 0;
};

} // namespace hornbeamlane
