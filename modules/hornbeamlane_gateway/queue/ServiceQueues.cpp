#include "hornbeamlane_gateway/queue/ServiceQueues.h"

#include "hornbeamlane_gateway/request/ForwardedRequest.h"
#include "hornbeamlane_observability/hornbeamlane_observability.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace hornbeamlane {

namespace {

using std::chrono::milliseconds;

/** Times after which a refused caller should come back, drawn between two bounds so that callers return spread out. */
struct RetryAfterRange
{
    milliseconds from;
    milliseconds to;
};

constexpr RetryAfterRange afterOverload{.from = milliseconds(300), .to = milliseconds(1200)};

/** A lost rank is seldom back within two seconds, nor is a slow one normal again; callers wait a third of their time at
    most, here 2.7 s. */
constexpr RetryAfterRange afterBrokenGroup{.from = milliseconds(2300), .to = milliseconds(2660)};

/** Another entry takes the caller at once; a crowd should not come in the same moment. */
constexpr RetryAfterRange afterStop{.from = milliseconds(20), .to = milliseconds(200)};

constexpr milliseconds longestRetryAfter{3000};

/** Requests that the limits of servers let through while one waits, for each one up to it, so that waiting makes sense.
 */
constexpr double fairChance = 0.5;

/** Part of the bound that late requests may fill: entries do not see each other's queues, but they see the load. */
constexpr double lateShareOfLimit = 0.9;

/** Loads of pace units are sums over all servers; within this time they hardly change. */
constexpr milliseconds paceUpdateInterval{10};

/** The same for the places that shares of the capacity are computed from. */
constexpr milliseconds placesInterval{20};

/** Requests over the bound of a service from which on its arrivals are told: below it nothing is rejected by them, and
    with 44 entries they are most of the bytes that entries send each other. */
constexpr double fillToTellArrivals = 0.6;

/** Weight of one first event in the moving average of their latency. */
constexpr double latencyWeight = 0.08;

/** Requests that wait are started within this time at the present rate; further ones are refused. */
constexpr milliseconds longestBacklog{1000};
constexpr double minBacklog = 4;

/** Teams of one rank take turns by requests; the length of the queue is bounded by what can start in time. */
FairQueue<TicketNumber>::Options waitingOptions()
{
    return {.capacity = std::numeric_limits<std::size_t>::max(),
            .quantum = 1,
            .isLate = [](TimePoint predicted, TimePoint latestStart) { return predicted >= latestStart; }};
}

std::uint32_t queuePriority(std::uint32_t rank)
{
    return std::numeric_limits<std::uint32_t>::max() - rank;
}

const RetryAfterRange &rangeFor(GatewayRefusal refusal)
{
    switch (refusal) {
    case GatewayRefusal::GroupBroken:
        return afterBrokenGroup;
    case GatewayRefusal::Stopping:
        return afterStop;
    default:
        return afterOverload;
    }
}

void logShares(const ServiceId &service, const ServiceQueues::State &state)
{
    const auto &admission = state.admission;
    const auto &shares = admission.shares();
    std::string admitted;
    std::string demand;
    for (std::uint32_t priority = 0; priority <= leastUrgentPriority; ++priority) {
        if (const double perSecond = shares.demandOf(priority); perSecond > 0) {
            const auto name = (admitted.empty() ? "" : ",") + std::to_string(priority) + ":";
            demand += name + std::to_string(std::llround(perSecond));
            admitted += name + std::to_string(std::llround(shares.admittedPartOf(priority) * 100));
        }
    }
    logEvent(LogLevel::Info, "capacity_short",
             {{"service", service.name()},
              {"capacity_per_second", std::to_string(std::llround(admission.capacityPerSecond()))},
              {"demand_per_second", demand},
              {"admitted_percent", admitted},
              {"fill_percent", std::to_string(std::llround(state.places.fill() * 100))}});
}

} // namespace

ServiceQueues::ServiceQueues(EventLoop &loop, RandomSource &random, const GatewaySettings &settings,
                             const BackendBook &backends, const RateLimitGuard &rateLimits)
    : loop_(loop)
    , random_(random)
    , settings_(settings)
    , backends_(backends)
    , rateLimits_(rateLimits)
    , waitTimer_(loop, [this] { expireWaiting(); })
    , rateTimer_(loop, [this] { checkRateLimited(); })
{
}

ServiceQueues::State &ServiceQueues::of(const ServiceId &service)
{
    const auto found = services_.find(service);
    if (found != services_.end()) {
        return found->second;
    }
    return services_
        .emplace(service,
                 State{.queue = FairQueue<TicketNumber>(waitingOptions()),
                       .lastTicket = {},
                       .waiting = {},
                       .retries = RetryAllowance({.ratio = settings_.retryRatio,
                                                  .allowance = settings_.retryAllowance,
                                                  .window = settings_.retryWindow,
                                                  .entryCount = entryCount_})})
        .first->second;
}

TicketNumber ServiceQueues::join(const ServiceId &service, const Turn &turn, std::weak_ptr<ForwardedRequest> request)
{
    auto &state = of(service);
    const auto ticket = state.lastTicket = state.lastTicket.next();
    state.queue.push(
        {.id = ticket, .team = turn.team, .priority = queuePriority(turn.rank), .deadline = turn.latestStart});
    state.waiting.emplace(ticket, std::move(request));
    armWaitTimer();
    watchRateLimits();
    return ticket;
}

void ServiceQueues::leave(const ServiceId &service, TicketNumber ticket)
{
    auto &state = of(service);
    state.queue.cancel(ticket);
    state.waiting.erase(ticket);
}

bool ServiceQueues::isAnyWaiting(const ServiceId &service, std::uint32_t rank)
{
    const auto highest = of(service).queue.highestPriority();
    return highest && *highest >= queuePriority(rank);
}

void ServiceQueues::serve(const ServiceId &service)
{
    auto &state = of(service);
    while (const auto *front = state.queue.front()) {
        const auto item = *front;
        const auto found = state.waiting.find(item.id);
        const auto request = found == state.waiting.end() ? nullptr : found->second.lock();
        if (request == nullptr) {
            leave(service, item.id);
            continue;
        }
        if (!request->tryLeaveQueue()) {
            return;
        }
        state.queue.charge(item);
    }
}

void ServiceQueues::serveAll()
{
    for (const auto &[service, state] : services_) {
        serve(service);
    }
}

void ServiceQueues::armWaitTimer()
{
    std::optional<TimePoint> next;
    for (const auto &[service, state] : services_) {
        if (const auto expiry = state.queue.earliestDeadline(); expiry && (!next || *expiry < *next)) {
            next = expiry;
        }
    }
    if (next) {
        waitTimer_.startOnce(std::max(Duration::zero(), *next - loop_.now()));
    }
}

void ServiceQueues::expireWaiting()
{
    const auto now = loop_.now();
    for (auto &[service, state] : services_) {
        for (const auto &item : state.queue.dropLate(now, Duration::zero())) {
            const auto found = state.waiting.find(item.id);
            const auto request = found == state.waiting.end() ? nullptr : found->second.lock();
            state.waiting.erase(item.id);
            if (request != nullptr) {
                request->onWaitExpired();
            }
        }
    }
    armWaitTimer();
}

void ServiceQueues::updatePace(const ServiceId &service)
{
    auto &state = of(service);
    const auto now = loop_.now();
    if (now - state.paceUpdatedAt < paceUpdateInterval) {
        return;
    }
    state.paceUpdatedAt = now;
    for (const auto &[unit, load] : backends_.paceUnits(service, now)) {
        paces_.update(unit, load, now);
    }
}

const ArrivalAdmission::Places &ServiceQueues::placesOf(const ServiceId &service)
{
    auto &state = of(service);
    const auto now = loop_.now();
    if (now - state.placesAt < placesInterval) {
        return state.places;
    }
    state.placesAt = now;
    state.places = {};
    for (const auto &[unit, load] : backends_.paceUnits(service, now)) {
        state.places.bound += paces_.limitOf(unit, load.places).value_or(load.takesWell);
        state.places.inFlight += load.inFlight;
    }
    return state.places;
}

std::optional<Duration> ServiceQueues::rejectionOf(const ServiceId &service, const ArrivalClass &arrivals,
                                                   Duration timeLeft, const PeerExchange &peers)
{
    auto &admission = of(service).admission;
    const auto now = loop_.now();
    admission.onArrival(arrivals, now);
    if (admission.isUpdateDue(now)) {
        admission.update(placesOf(service),
                         {.arrivals = peers.loads().arrivalsFor(hashOfService(service)),
                          .heard = peers.loads().activePeers(),
                          .entryCount = peers.entryCount(now)},
                         now);
    }
    if (!admission.shares().isShort()) {
        return std::nullopt;
    }
    return admission.rejectionOf(arrivals, placesOf(service).fill(), timeLeft, now, random_);
}

void ServiceQueues::onPlaceFreed(const ServiceId &service, Duration taken)
{
    of(service).admission.onPlaceFreed(taken);
}

std::vector<ServiceArrivals> ServiceQueues::arrivals()
{
    std::vector<ServiceArrivals> arrivals;
    for (auto &[service, state] : services_) {
        if (placesOf(service).fill() < fillToTellArrivals) {
            continue;
        }
        if (auto rates = state.admission.ratesToTell(loop_.now()); !rates.empty()) {
            arrivals.push_back({.service = hashOfService(service), .rates = std::move(rates)});
        }
    }
    return arrivals;
}

double ServiceQueues::shareOfPaceBound(bool isLate)
{
    return isLate ? lateShareOfLimit : 1.0;
}

void ServiceQueues::onFirstEvent(const ServiceId &service, Duration latency)
{
    auto &usual = of(service).firstEventLatency;
    usual += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(latency - usual) * latencyWeight);
}

bool ServiceQueues::isTargetOutOfReach(const ServiceId &service) const
{
    const auto units = backends_.paceUnits(service, loop_.now());
    return !units.empty() && std::all_of(units.begin(), units.end(), [this](const auto &entry) {
        return paces_.isOutOfReach(entry.first);
    });
}

bool ServiceQueues::isBacklogTooLong(const ServiceId &service)
{
    auto &state = of(service);
    const auto startable = state.starts.perSecond(loop_.now()) * std::chrono::duration<double>(longestBacklog).count();
    return static_cast<double>(state.queue.size()) >= std::max(startable, minBacklog);
}

std::optional<double> ServiceQueues::ownRate(const ServiceId &service) const
{
    return rateLimits_.isActive() ? rateLimits_.ownRate(service, backends_.usable(service, loop_.now())) : std::nullopt;
}

bool ServiceQueues::isRateTooLow(const ServiceId &service, Duration wait)
{
    const auto rate = ownRate(service);
    const auto position = static_cast<double>(of(service).queue.size() + 1);
    return rate && *rate * std::chrono::duration<double>(wait).count() < position * fairChance;
}

Duration ServiceQueues::drawRetryAfter(GatewayRefusal refusal, const ServiceId &service)
{
    const bool isLateForLong = refusal == GatewayRefusal::Overloaded && isTargetOutOfReach(service);
    const auto &range = isLateForLong ? afterBrokenGroup : rangeFor(refusal);
    const auto drawn =
        range.from + milliseconds(random_.below(static_cast<std::uint64_t>((range.to - range.from).count())));
    if (refusal == GatewayRefusal::Stopping) {
        return drawn;
    }
    if (const auto pause = backends_.pauseLeft(service, loop_.now()); pause > Duration::zero()) {
        return pause + drawn;
    }
    const auto rate = refusal == GatewayRefusal::RateLimited ? ownRate(service) : std::nullopt;
    if (!rate || *rate <= 0) {
        return drawn;
    }
    // Those that wait already take the next turns.
    const std::chrono::duration<double> backlog(static_cast<double>(of(service).queue.size()) / *rate);
    return std::min<Duration>(drawn + std::chrono::duration_cast<milliseconds>(backlog), longestRetryAfter);
}

void ServiceQueues::watchRateLimits()
{
    if (rateLimits_.isActive() && !std::exchange(isWatchingRateLimits_, true)) {
        rateTimer_.startOnce(rateLimits_.checkInterval());
    }
}

void ServiceQueues::checkRateLimited()
{
    isWatchingRateLimits_ = false;
    serveAll();
    const bool isAnyWaiting = std::any_of(services_.begin(), services_.end(),
                                          [](const auto &entry) { return entry.second.queue.size() > 0; });
    if (isAnyWaiting) {
        watchRateLimits();
    }
}

void ServiceQueues::noteGroupEpoch(const GroupPlace &place)
{
    const auto [known, isNew] = groupEpochs_.try_emplace(place.group, place.epoch);
    if (!isNew && place.epoch <= known->second) {
        return;
    }
    known->second = place.epoch;
    paces_.restart(paceUnitOf(place.group),
                   isNew ? StreamGovernor::RestartCause::FirstSight : StreamGovernor::RestartCause::NewEngines);
}

void ServiceQueues::setEntryCount(std::uint32_t count)
{
    entryCount_ = count;
    for (auto &[service, state] : services_) {
        state.retries.setEntryCount(count);
    }
}

void ServiceQueues::notePeerBounds(const PeerLoads &loads)
{
    paces_.onPeerBounds([&loads](const PaceUnitId &unit) { return loads.boundFor(hashOfPaceUnit(unit)); });
}

std::vector<std::pair<PaceUnitHash, std::uint32_t>> ServiceQueues::bounds() const
{
    std::vector<std::pair<PaceUnitHash, std::uint32_t>> bounds;
    for (const auto &[unit, share] : paces_.bounds()) {
        bounds.emplace_back(hashOfPaceUnit(unit), static_cast<std::uint32_t>(share * boundScale));
    }
    return bounds;
}

void ServiceQueues::sweep()
{
    // A unit without streams is listed all the same, and its old bound must not be told.
    for (const auto &[service, state] : services_) {
        if (state.paceUpdatedAt != TimePoint{}) {
            updatePace(service);
        }
    }
    paces_.sweep(loop_.now());
}

std::vector<std::pair<ServiceHash, std::uint32_t>> ServiceQueues::demands() const
{
    std::vector<std::pair<ServiceHash, std::uint32_t>> demands;
    if (!rateLimits_.isActive()) {
        return demands;
    }
    for (const auto &[service, state] : services_) {
        demands.emplace_back(hashOfService(service),
                             static_cast<std::uint32_t>(rateLimits_.demand(service) * demandScale));
    }
    return demands;
}

void ServiceQueues::logStates()
{
    const auto now = loop_.now();
    for (const auto &[service, state] : services_) {
        const auto occupancy = backends_.occupancy(service, now);
        logEvent(LogLevel::Info, "service_state",
                 {{"service", service.name()},
                  {"places", std::to_string(occupancy.places)},
                  {"in_flight", std::to_string(occupancy.inFlight)},
                  {"first_event_ms",
                   std::to_string(std::chrono::duration_cast<milliseconds>(state.firstEventLatency).count())},
                  {"waiting", std::to_string(state.queue.size())}});
    }
    for (const auto &[service, state] : services_) {
        if (state.admission.isShort(now)) {
            logShares(service, state);
        }
    }
    paces_.forEach([](const PaceUnitId &unit, const StreamGovernor &governor, const PaceUnitLoad &load) {
        if (!governor.measuredShare()) {
            return;
        }
        logEvent(LogLevel::Info, "pace_unit_state",
                 {{"unit", unit.name()},
                  {"places", std::to_string(load.places)},
                  {"in_flight", std::to_string(load.inFlight)},
                  {"limit", std::to_string(governor.limit(load.places))},
                  {"pause_percent", std::to_string(static_cast<int>(governor.meanPressure() * 100))},
                  {"in_time_percent", std::to_string(static_cast<int>(governor.inTimeShare() * 100))},
                  {"out_of_reach", governor.isTargetOutOfReach() ? "yes" : "no"}});
    });
}

void ServiceQueues::setGauges(MetricsRegistry &metrics) const
{
    for (const auto &[service, state] : services_) {
        const auto &shares = state.admission.shares();
        metrics.setGauge("capacity_per_second", {{"service", service.name()}}, state.admission.capacityPerSecond());
        metrics.setGauge("demand_per_second", {{"service", service.name()}}, shares.demandPerSecond());
        for (std::uint32_t priority = 0; priority <= leastUrgentPriority; ++priority) {
            if (shares.demandOf(priority) > 0) {
                metrics.setGauge("admitted_part", {{"service", service.name()}, {"priority", std::to_string(priority)}},
                                 shares.admittedPartOf(priority));
            }
        }
    }
}

} // namespace hornbeamlane
