#pragma once

#include "hornbeamlane_dispatch/hornbeamlane_dispatch.h"
#include "hornbeamlane_gateway/GatewaySettings.h"
#include "hornbeamlane_gateway/peers/PeerLoads.h"
#include "hornbeamlane_gateway/ratelimits/RateLimitGuard.h"
#include "hornbeamlane_gateway/request/GatewayRefusal.h"
#include "hornbeamlane_network/loop/Timer.h"

#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hornbeamlane {

class ForwardedRequest;

/** Requests that wait for a server, by service, and what decides how many may run and how many may wait. */
class ServiceQueues final
{
public:
    struct State
    {
        AdmissionQueue queue;
        std::unordered_map<TicketNumber, std::weak_ptr<ForwardedRequest>> waiting;
        RetryAllowance retries;
        ConcurrencyGovernor governor;
        RateMeter starts;
    };

    /** The references must outlive this. */
    ServiceQueues(EventLoop &loop, RandomSource &random, const GatewaySettings &settings, const BackendBook &backends,
                  const RateLimitGuard &rateLimits);

    /** A service that is asked for the first time is added. */
    State &of(const ServiceId &service);

    TicketNumber join(const ServiceId &service, std::uint32_t rank, TimePoint latestStart,
                      std::weak_ptr<ForwardedRequest> request);
    void leave(const ServiceId &service, TicketNumber ticket);

    /** Sends on what can be sent on, the most urgent request first. */
    void serve(const ServiceId &service);
    void serveAll();

    /** Whether the service has as many requests as its pace allows; late ones leave room for those that are not. */
    bool isAtLimit(const ServiceId &service, bool isLate);

    /** Whether more requests wait for the service than can start before their callers give up. */
    bool isBacklogTooLong(const ServiceId &service);

    /** Requests a second that this entry may send to a service all of whose servers name limits; empty if one does not.
     */
    std::optional<double> ownRate(const ServiceId &service) const;

    /** Whether such limits leave no fair chance to a request that comes now and may wait so long. */
    bool isRateTooLow(const ServiceId &service, Duration wait);

    /** Time after which to come back: callers that were refused together come back spread out. */
    Duration drawRetryAfter(GatewayRefusal refusal, const ServiceId &service);

    /** Restarts the governor of the service when a group has formed again or is seen for the first time. */
    void noteGroupEpoch(const ServiceId &service, const GroupPlace &place);

    /** Entries that share the budgets of retries. */
    void setEntryCount(std::uint32_t count);

    /** Takes over the bounds that the other entries tell. */
    void notePeerBounds(const PeerLoads &loads);

    /** Bounds that this entry keeps at services whose pace it has seen. */
    std::vector<std::pair<ServiceHash, std::uint32_t>> bounds() const;

    /** Requests that this entry has to send to each service at once, while any server may have a limit. */
    std::vector<std::pair<ServiceHash, std::uint32_t>> demands() const;

    /** Writes a line for each service. */
    void logStates();

private:
    void armWaitTimer();
    void expireWaiting();
    /** Looks at waiting requests again when the limits of servers may leave room, as long as there are both. */
    void watchRateLimits();
    void checkRateLimited();

    EventLoop &loop_;
    RandomSource &random_;
    const GatewaySettings &settings_;
    const BackendBook &backends_;
    const RateLimitGuard &rateLimits_;
    std::map<ServiceId, State> services_;
    /** Newest epoch in which each group was seen open. */
    std::map<GroupId, std::uint64_t> groupEpochs_;
    std::uint32_t entryCount_ = assumedEntries;
    Timer waitTimer_;
    Timer rateTimer_;
    bool isWatchingRateLimits_ = false;
};

} // namespace hornbeamlane
