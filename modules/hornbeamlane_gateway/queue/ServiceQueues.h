#pragma once

#include "hornbeamlane_dispatch/hornbeamlane_dispatch.h"
#include "hornbeamlane_gateway/GatewaySettings.h"
#include "hornbeamlane_gateway/peers/PeerExchange.h"
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

/** Number of a request that waits. */
using TicketNumber = Number<struct TicketTag>;

/** Requests that wait for a server, by service, and what decides how many may run and how many may wait. */
class ServiceQueues final
{
public:
    struct State
    {
        /** Requests that wait for a place at a server. */
        FairQueue<TicketNumber> queue;
        TicketNumber lastTicket;
        std::unordered_map<TicketNumber, std::weak_ptr<ForwardedRequest>> waiting;
        RetryAllowance retries;
        RateMeter starts;
        /** Usual time from sending to the first event of a stream. */
        Duration firstEventLatency = std::chrono::milliseconds(150);
        TimePoint paceUpdatedAt;
        ArrivalAdmission admission;
        /** What the servers offered when it was last looked at. */
        ArrivalAdmission::Places places;
        TimePoint placesAt;
    };

    /** The references must outlive this. */
    ServiceQueues(EventLoop &loop, RandomSource &random, const GatewaySettings &settings, const BackendBook &backends,
                  const RateLimitGuard &rateLimits);

    /** A service that is asked for the first time is added. */
    State &of(const ServiceId &service);

    /** What decides when a waiting request is served. */
    struct Turn
    {
        /** 0 is served first. */
        std::uint32_t rank = 0;
        /** Teams of one rank take turns. */
        TeamId team;
        /** When waiting longer makes no sense. */
        TimePoint latestStart;
    };

    TicketNumber join(const ServiceId &service, const Turn &turn, std::weak_ptr<ForwardedRequest> request);
    void leave(const ServiceId &service, TicketNumber ticket);

    /** Whether requests of this rank or a lower one wait. */
    bool isAnyWaiting(const ServiceId &service, std::uint32_t rank);

    /** Sends on what can be sent on, the most urgent request first. */
    void serve(const ServiceId &service);
    void serveAll();

    /** Takes the loads of the service's pace units, before a server is chosen for a stream. */
    void updatePace(const ServiceId &service);

    /** Part of the bound of a pace unit that a stream may fill; late ones leave room for those that are not. */
    static double shareOfPaceBound(bool isLate);

    PaceBook &paces()
    {
        return paces_;
    }

    /** A first event came so long after its request was sent. */
    void onFirstEvent(const ServiceId &service, Duration latency);

    /** Whether more requests wait for the service than can start before their callers give up. */
    bool isBacklogTooLong(const ServiceId &service);

    /** Counts a request that has come; a time to come back if it is beyond the share of its priority and team while the
        capacity of the service does not suffice. */
    std::optional<Duration> rejectionOf(const ServiceId &service, const ArrivalClass &arrivals, Duration timeLeft,
                                        const PeerExchange &peers);

    /** A request has left its place at a server after that time. */
    void onPlaceFreed(const ServiceId &service, Duration taken);

    /** Requests that come to this entry, for the others. */
    std::vector<ServiceArrivals> arrivals();

    /** Sets gauges of the services whose capacity does not suffice, and of their shares. */
    void setGauges(MetricsRegistry &metrics) const;

    /** Requests a second that this entry may send to a service all of whose servers name limits; empty if one does not.
     */
    std::optional<double> ownRate(const ServiceId &service) const;

    /** Whether such limits leave no fair chance to a request that comes now and may wait so long. */
    bool isRateTooLow(const ServiceId &service, Duration wait);

    /** Time after which to come back: callers that were refused together come back spread out. */
    Duration drawRetryAfter(GatewayRefusal refusal, const ServiceId &service);

    /** Forgets the pace of a group that has formed again or is seen for the first time. */
    void noteGroupEpoch(const GroupPlace &place);

    /** Entries that share the budgets of retries. */
    void setEntryCount(std::uint32_t count);

    /** Takes over the bounds that the other entries tell. */
    void notePeerBounds(const PeerLoads &loads);

    /** Bounds that this entry keeps at units whose pace it has seen. */
    std::vector<std::pair<PaceUnitHash, std::uint32_t>> bounds() const;

    /** Requests that this entry has to send to each service at once, while any server may have a limit. */
    std::vector<std::pair<ServiceHash, std::uint32_t>> demands() const;

    /** Forgets pace units that are gone. */
    void sweep();

    /** Writes a line for each service and each pace unit. */
    void logStates();

private:
    /** Whether streams of all units of the service are late with however few requests. */
    bool isTargetOutOfReach(const ServiceId &service) const;
    /** Takes the places of the service's servers, at most once in a short time. */
    const ArrivalAdmission::Places &placesOf(const ServiceId &service);
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
    PaceBook paces_;
    /** Newest epoch in which each group was seen open. */
    std::map<GroupId, std::uint64_t> groupEpochs_;
    std::uint32_t entryCount_ = assumedEntries;
    Timer waitTimer_;
    Timer rateTimer_;
    bool isWatchingRateLimits_ = false;
};

} // namespace hornbeamlane
