#pragma once

#include "hornbeamlane_gateway/GatewaySettings.h"
#include "hornbeamlane_gateway/backends/BackendPool.h"
#include "hornbeamlane_gateway/crashes/CrashGuard.h"
#include "hornbeamlane_gateway/peers/PeerExchange.h"
#include "hornbeamlane_gateway/ratelimits/RateLimitGuard.h"
#include "hornbeamlane_gateway/request/ForwardedRequest.h"
#include "hornbeamlane_network/http1/Http1Server.h"
#include "hornbeamlane_network/loop/Timer.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
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

    /** Engine of a service; empty if it has none. */
    std::optional<EngineModel> engineOf(const ServiceId &service) const;

private:
    friend class ForwardedRequest;

    struct ServiceState
    {
        AdmissionQueue queue;
        std::unordered_map<TicketNumber, std::weak_ptr<ForwardedRequest>> waiting;
        RetryAllowance retries;
        ConcurrencyGovernor governor;
        RateMeter starts;
    };

    void handle(const std::shared_ptr<Http1Exchange> &exchange);
    void handleStatusRequest(const std::shared_ptr<Http1Exchange> &exchange);
    ServiceState &stateOf(const ServiceId &service);
    /** Another entry has told its load; comes many times a second with many entries. */
    void peerLoadsChanged();
    void serveQueue(const ServiceId &service);
    void serveQueues();
    /** Restarts the governor of the service when a group has formed again or is seen for the first time. */
    void noteGroupEpoch(const ServiceId &service, const GroupPlace &place);
    /** Whether the service has as many requests as its pace allows; late ones leave room for those that are not. */
    bool isAtLimit(const ServiceId &service, bool isLate);
    /** Whether more requests wait for the service than can start before their callers give up. */
    bool isBacklogTooLong(const ServiceId &service);
    /** Whether the caller has less time than callers of the route usually have, because it comes back. */
    bool isShortened(const RouteSpec &route, std::chrono::milliseconds timeLeft);
    /** Bounds that this entry keeps at services whose pace it has seen. */
    std::vector<std::pair<ServiceHash, std::uint32_t>> ownBounds() const;
    /** Requests that this entry has to send to each service at once, while any server may have a limit. */
    std::vector<std::pair<ServiceHash, std::uint32_t>> ownDemands() const;
    std::optional<ServerId> serverOf(ServerStartHash start) const;
    void expireWaiting();
    void armWaitTimer();
    void sweep();
    void logServiceStates();
    void setEntryCount(std::uint32_t count);
    void checkDrained();
    /** Time after which to come back: callers that were refused together come back spread out. */
    Duration drawRetryAfter(GatewayRefusal refusal, const ServiceId &service);
    /** Requests a second that this entry may send to a service all of whose servers name limits; empty if one does not.
     */
    std::optional<double> ownRate(const ServiceId &service) const;
    /** Whether such limits leave no fair chance to a request that comes now and may wait so long. */
    bool isRateTooLow(const ServiceId &service, Duration wait);
    /** Looks at waiting requests again when the limits of servers may leave room, as long as there are both. */
    void watchRateLimits();
    void checkRateLimited();
    std::vector<CrashCandidate> unansweredAt(const ServerId &server) const;
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
    /** Shared with the requests that were admitted under it. */
    std::shared_ptr<const RouteTable> table_;
    std::map<ServiceId, ServiceState> services_;
    /** Newest epoch in which each group was seen open. */
    std::map<GroupId, std::uint64_t> groupEpochs_;
    /** Longest time that a caller of each route has stated. */
    std::unordered_map<RouteId, std::chrono::milliseconds> longestTimeLeft_;
    std::unordered_map<ForwardedRequest *, std::shared_ptr<ForwardedRequest>> requests_;
    RequestNumber lastRequest_;
    /** Bytes of answers that all requests together have collected. */
    std::size_t collectedBytes_ = 0;
    Http1Server callers_;
    Http1Server status_;
    Timer sweepTimer_;
    Timer waitTimer_;
    Timer heldTimer_;
    Timer rateTimer_;
    Timer drainTimer_;
    std::function<void()> drained_;
    bool isWatchingRateLimits_ = false;
    bool isStopping_ = false;
    bool hasStoppedAccepting_ = false;
    TimePoint stopAcceptingAt_;
    TimePoint cutOffAt_;
    TimePoint stateLoggedAt_;
    std::uint32_t entryCount_ = 0;
};

} // namespace hornbeamlane
