#include "hornbeamlane_gateway/Gateway.h"

#include "hornbeamlane_observability/hornbeamlane_observability.h"

#include <algorithm>
#include <utility>

namespace hornbeamlane {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds sweepInterval{250};
constexpr milliseconds stateLogInterval{1000};

/** The balancer takes an entry out after two missed checks, one a second; new connections come until then. */
constexpr milliseconds acceptAfterStop{2600};

constexpr milliseconds drainCheckInterval{20};

/** Time between two looks at requests that wait for a suspect like them. */
constexpr milliseconds heldInterval{20};

/** Time before the end of the grace period at which what still runs is cut off in an orderly way. */
constexpr milliseconds shutdownMargin{400};

/** Times after which a refused caller should come back, drawn between two bounds so that callers return spread out. */
struct RetryAfterRange
{
    milliseconds from;
    milliseconds to;
};

constexpr RetryAfterRange afterOverload{.from = milliseconds(300), .to = milliseconds(1200)};

/** A lost rank is seldom back within two seconds; callers wait a third of their time at most, here 2.7 s. */
constexpr RetryAfterRange afterBrokenGroup{.from = milliseconds(2300), .to = milliseconds(2660)};

constexpr milliseconds longestRetryAfter{3000};

/** Requests that the limits of servers let through while one waits, for each one up to it, so that waiting makes sense.
 */
constexpr double fairChance = 0.5;

/** Part of the bound that late requests may fill: entries do not see each other's queues, but they see the load. */
constexpr double lateShareOfLimit = 0.9;

/** Requests that wait are started within this time at the present rate; further ones are refused. */
constexpr milliseconds longestBacklog{1000};
constexpr double minBacklog = 4;

/** Callers' patience differs by some 15 %; one with less time than this share of the longest has come back. */
constexpr double comeBackShare = 0.8;

/** Entries assumed until the others have been heard. */
constexpr std::uint32_t assumedEntries = 16;

} // namespace

Gateway::Gateway(EventLoop &loop, RandomSource &random, GatewaySettings settings, GatewayHooks hooks)
    : loop_(loop)
    , random_(random)
    , settings_(std::move(settings))
    , backends_({.entryCount = assumedEntries,
                 .isRateLimited = [this](const Backend &backend) { return rateLimits_.isLimited(backend); }})
    , pool_(loop, {})
    , peers_(loop, {.name = settings_.name, .incarnation = random.incarnation(), .address = settings_.peerAddress},
             {.ownLoad =
                  [this] {
                      std::vector<std::pair<ServerHash, std::uint32_t>> load;
                      for (const auto &[id, backend] : backends_.all()) {
                          if (backend.ownInFlight > 0) {
                              load.emplace_back(hashOfServer(id), backend.ownInFlight);
                          }
                      }
                      return load;
                  },
              .bounds = [this] { return ownBounds(); },
              .isMapHolder = std::move(hooks.isMapHolder),
              .tableVersions = std::move(hooks.tableVersions),
              .peerVersions = std::move(hooks.peerVersions),
              .changed = [this] { peerLoadsChanged(); },
              .crashDigest = [this] { return crashes_.digest(); },
              .peerCrashDigest = [this](const std::string &address,
                                        std::uint64_t digest) { crashes_.exchange().onPeerDigest(address, digest); },
              .rateLimits = [this](bool all) { return rateLimits_.reports(all); },
              .demands = [this] { return ownDemands(); },
              .peerRateLimits = [this](Incarnation sender,
                                       const auto &reports) { rateLimits_.onPeerReports(sender, reports); },
              .otherMessage = [this](std::string_view bytes) { return crashes_.exchange().onMessage(bytes); }})
    , crashes_(
          loop, random, backends_, {.incarnation = random.incarnation()},
          {.unanswered = [this](const ServerId &server) { return unansweredAt(server); },
           .changed = [this] { heldTimer_.startOnce(Duration::zero()); },
           .sendToAll =
               [this](const std::string &bytes) {
                   peers_.sendToAll(bytes);
                   // The digest has changed too.
                   peers_.markChanged();
               },
           .sendTo = [this](const std::string &address, const std::string &bytes) { peers_.sendTo(address, bytes); },
           .writeRow = std::move(hooks.writeCrashRow)})
    , rateLimits_(loop, random, metrics_, settings_.headers,
                  {.waiting = [this](const ServiceId &service) { return stateOf(service).queue.size(); },
                   .demandOfPeers =
                       [this](const ServiceId &service) { return peers_.loads().demandFor(hashOfService(service)); },
                   .tellingTime = [this] { return peers_.tellingTime(); },
                   .heardShare =
                       [this] {
                           return std::min(1.0,
                                           (1.0 + static_cast<double>(peers_.loads().activePeers()))
                                               / peers_.entryCount(loop_.now()));
                       },
                   .serverOf = [this](ServerStartHash server) { return serverOf(server); }})
    , callers_(loop,
               {.limits =
                    [this] {
                        if (!table_) {
                            return Http1Server::Limits{};
                        }
                        const auto &limits = table_->catalogue().limits;
                        return Http1Server::Limits{
                            .request = {.maxHeaderBytes = limits.maxHeaderBytes, .maxBodyBytes = limits.maxBodyBytes},
                            .headerTimeout = limits.headerTimeout,
                            .idleTimeout = limits.idleTimeout};
                    },
                .maxConnections = settings_.maxConnections},
               [this](const std::shared_ptr<Http1Exchange> &exchange) { handle(exchange); })
    , status_(loop, {.limits = [] { return Http1Server::Limits{}; }},
              [this](const std::shared_ptr<Http1Exchange> &exchange) { handleStatusRequest(exchange); })
    , sweepTimer_(loop, [this] { sweep(); })
    , waitTimer_(loop, [this] { expireWaiting(); })
    , heldTimer_(loop, [this] { crashesChanged(); })
    , rateTimer_(loop, [this] { checkRateLimited(); })
    , drainTimer_(loop, [this] { checkDrained(); })
{
}

Gateway::~Gateway() = default;

bool Gateway::start()
{
    for (const auto &seed : settings_.peerSeeds) {
        peers_.addPeer(seed);
    }
    sweepTimer_.startRepeating(sweepInterval);
    return callers_.listen(settings_.callerAddress) && status_.listen(settings_.readyAddress) && peers_.start();
}

void Gateway::handle(const std::shared_ptr<Http1Exchange> &exchange)
{
    lastRequest_ = lastRequest_.next();
    auto request = std::make_shared<ForwardedRequest>(*this, lastRequest_, exchange);
    requests_.emplace(request.get(), request);
    request->start();
}

void Gateway::handleStatusRequest(const std::shared_ptr<Http1Exchange> &exchange)
{
    const auto path = exchange->request().path();
    if (path == settings_.readyPath) {
        exchange->reply(isReady() ? 200 : 503, {}, isReady() ? "ready\n" : "not ready\n");
        return;
    }
    if (path == settings_.metricsPath) {
        exchange->reply(200, {{"Content-Type", "text/plain; version=0.0.4"}}, renderMetrics());
        return;
    }
    exchange->reply(404, {}, "");
}

bool Gateway::isReady() const
{
    return !isStopping_ && table_ != nullptr && !backends_.all().empty();
}

std::uint16_t Gateway::callerPort() const
{
    return callers_.port();
}

std::size_t Gateway::bufferedBytes() const
{
    std::size_t bytes = 0;
    for (const auto &[key, request] : requests_) {
        bytes += request->bufferedBytes();
    }
    return bytes;
}

std::optional<EngineModel> Gateway::engineOf(const ServiceId &service) const
{
    const auto *spec = table_ ? table_->findService(service) : nullptr;
    return spec == nullptr ? std::nullopt : spec->engine;
}

void Gateway::applyCatalogue(DispatchCatalogue catalogue)
{
    if (table_ && catalogue.version <= table_->version()) {
        return;
    }
    table_ = std::make_shared<const RouteTable>(std::move(catalogue));
    for (const auto &service : table_->catalogue().services) {
        backends_.setWarmup(service.name, service.warmup, service.warmupRate);
    }
    logEvent(LogLevel::Info, "catalogue_in_force",
             {{"version", std::to_string(table_->version().value())},
              {"routes", std::to_string(table_->catalogue().routes.size())},
              {"services", std::to_string(table_->catalogue().services.size())}});
}

Gateway::ServiceState &Gateway::stateOf(const ServiceId &service)
{
    const auto found = services_.find(service);
    if (found != services_.end()) {
        return found->second;
    }
    return services_
        .emplace(
            service,
            ServiceState{.queue = {},
                         .waiting = {},
                         .retries = RetryAllowance({.ratio = settings_.retryRatio,
                                                    .allowance = settings_.retryAllowance,
                                                    .window = settings_.retryWindow,
                                                    .entryCount = entryCount_ == 0 ? assumedEntries : entryCount_})})
        .first->second;
}

void Gateway::serversChanged()
{
    for (const auto &[id, backend] : backends_.all()) {
        if (backend.spec.group && backend.spec.group->isOpen) {
            noteGroupEpoch(backend.spec.service, *backend.spec.group);
        }
    }
    peerLoadsChanged();
}

void Gateway::peerLoadsChanged()
{
    for (const auto &[id, backend] : backends_.all()) {
        backends_.setPeersInFlight(id, peers_.loads().sumFor(hashOfServer(id)));
    }
    serveQueues();
}

void Gateway::serveQueues()
{
    for (auto &[service, state] : services_) {
        serveQueue(service);
    }
}

void Gateway::noteGroupEpoch(const ServiceId &service, const GroupPlace &place)
{
    const auto [known, isNew] = groupEpochs_.try_emplace(place.group, place.epoch);
    if (!isNew && place.epoch <= known->second) {
        return;
    }
    known->second = place.epoch;
    stateOf(service).governor.restart(isNew ? ConcurrencyGovernor::RestartCause::FirstSight
                                            : ConcurrencyGovernor::RestartCause::NewEngines);
}

bool Gateway::isAtLimit(const ServiceId &service, bool isLate)
{
    auto &governor = stateOf(service).governor;
    const auto now = loop_.now();
    const auto occupancy = backends_.occupancy(service, now);
    governor.update(occupancy.inFlight, occupancy.places, now);
    const double share = isLate ? lateShareOfLimit : 1.0;
    return occupancy.inFlight >= share * governor.limit(occupancy.places);
}

bool Gateway::isBacklogTooLong(const ServiceId &service)
{
    auto &state = stateOf(service);
    const auto startable = state.starts.perSecond(loop_.now()) * std::chrono::duration<double>(longestBacklog).count();
    return static_cast<double>(state.queue.size()) >= std::max(startable, minBacklog);
}

bool Gateway::isShortened(const RouteSpec &route, milliseconds timeLeft)
{
    auto &longest = longestTimeLeft_[route.name];
    longest = std::max(longest, timeLeft);
    return timeLeft < longest * comeBackShare;
}

void Gateway::serveQueue(const ServiceId &service)
{
    auto &state = stateOf(service);
    while (const auto ticket = state.queue.front()) {
        const auto found = state.waiting.find(ticket->number);
        const auto request = found == state.waiting.end() ? nullptr : found->second.lock();
        if (request == nullptr) {
            state.waiting.erase(ticket->number);
            state.queue.remove(ticket->number);
            continue;
        }
        if (!request->tryLeaveQueue()) {
            return;
        }
    }
}

void Gateway::armWaitTimer()
{
    std::optional<TimePoint> next;
    for (const auto &[service, state] : services_) {
        if (const auto expiry = state.queue.nextExpiry(); expiry && (!next || *expiry < *next)) {
            next = expiry;
        }
    }
    if (next) {
        waitTimer_.startOnce(std::max(Duration::zero(), *next - loop_.now()));
    }
}

void Gateway::expireWaiting()
{
    const auto now = loop_.now();
    for (auto &[service, state] : services_) {
        for (const auto &ticket : state.queue.takeExpired(now)) {
            const auto found = state.waiting.find(ticket.number);
            const auto request = found == state.waiting.end() ? nullptr : found->second.lock();
            state.waiting.erase(ticket.number);
            if (request != nullptr) {
                request->onWaitExpired();
            }
        }
    }
    armWaitTimer();
}

std::optional<ServerId> Gateway::serverOf(ServerStartHash start) const
{
    for (const auto &[id, backend] : backends_.all()) {
        if (hashOfStart(id, backend.spec.incarnation) == start) {
            return id;
        }
    }
    return std::nullopt;
}

std::vector<std::pair<ServiceHash, std::uint32_t>> Gateway::ownDemands() const
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

std::vector<std::pair<ServiceHash, std::uint32_t>> Gateway::ownBounds() const
{
    std::vector<std::pair<ServiceHash, std::uint32_t>> bounds;
    for (const auto &[service, state] : services_) {
        if (const auto share = state.governor.measuredShare()) {
            bounds.emplace_back(hashOfService(service), static_cast<std::uint32_t>(*share * boundScale));
        }
    }
    return bounds;
}

void Gateway::sweep()
{
    const auto now = loop_.now();
    for (const auto &server : backends_.sweep(now)) {
        pool_.forget(server);
        logEvent(LogLevel::Info, "server_forgotten", {{"server", server.name()}});
    }
    pool_.sweep(now);
    crashes_.sweep();
    rateLimits_.sweep();
    setEntryCount(peers_.entryCount(now));
    for (auto &[service, state] : services_) {
        state.governor.onPeerShare(peers_.loads().boundFor(hashOfService(service)));
    }
    if (now - stateLoggedAt_ >= stateLogInterval) {
        stateLoggedAt_ = now;
        logServiceStates();
    }
    serveQueues();
}

void Gateway::logServiceStates()
{
    const auto now = loop_.now();
    for (const auto &[service, state] : services_) {
        const auto occupancy = backends_.occupancy(service, now);
        logEvent(
            LogLevel::Info, "service_state",
            {{"service", service.name()},
             {"places", std::to_string(occupancy.places)},
             {"in_flight", std::to_string(occupancy.inFlight)},
             {"limit", std::to_string(state.governor.limit(occupancy.places))},
             {"pause_percent", std::to_string(static_cast<int>(state.governor.lastPressure() * 100))},
             {"first_event_ms",
              std::to_string(std::chrono::duration_cast<milliseconds>(state.governor.firstEventLatency()).count())},
             {"waiting", std::to_string(state.queue.size())}});
    }
}

void Gateway::setEntryCount(std::uint32_t count)
{
    // The first count after a start may miss entries that have not been heard yet.
    const auto safeCount = std::max(count, 3U);
    if (safeCount == entryCount_) {
        return;
    }
    entryCount_ = safeCount;
    backends_.setEntryCount(safeCount);
    for (auto &[service, state] : services_) {
        state.retries.setEntryCount(safeCount);
    }
    logEvent(LogLevel::Info, "entry_count", {{"entries", std::to_string(safeCount)}});
}

void Gateway::shutDown(std::function<void()> done)
{
    isStopping_ = true;
    drained_ = std::move(done);
    callers_.announceClose();
    peers_.stop();
    const auto startedAt = loop_.now();
    const auto stop = std::min<milliseconds>(acceptAfterStop, settings_.shutdownBound / 2);
    stopAcceptingAt_ = startedAt + stop;
    cutOffAt_ = startedAt + settings_.shutdownBound - shutdownMargin;
    drainTimer_.startRepeating(drainCheckInterval);
}

void Gateway::checkDrained()
{
    const auto now = loop_.now();
    if (now < stopAcceptingAt_) {
        return;
    }
    if (!std::exchange(hasStoppedAccepting_, true)) {
        callers_.stopAccepting();
        return;
    }
    if (now >= cutOffAt_ || (callers_.openExchanges() == 0 && callers_.connectionCount() == 0)) {
        drainTimer_.stop();
        logEvent(LogLevel::Info, "drained", {{"cut_off", std::to_string(callers_.openExchanges())}});
        drained_();
    }
}

Duration Gateway::drawRetryAfter(GatewayRefusal refusal, const ServiceId &service)
{
    const auto &range = refusal == GatewayRefusal::GroupBroken ? afterBrokenGroup : afterOverload;
    const auto drawn =
        range.from + milliseconds(random_.below(static_cast<std::uint64_t>((range.to - range.from).count())));
    const auto rate = refusal == GatewayRefusal::RateLimited ? ownRate(service) : std::nullopt;
    if (!rate || *rate <= 0) {
        return drawn;
    }
    // Those that wait already take the next turns.
    const std::chrono::duration<double> backlog(static_cast<double>(stateOf(service).queue.size()) / *rate);
    return std::min<Duration>(drawn + std::chrono::duration_cast<milliseconds>(backlog), longestRetryAfter);
}

std::optional<double> Gateway::ownRate(const ServiceId &service) const
{
    return rateLimits_.isActive() ? rateLimits_.ownRate(service, backends_.usable(service, loop_.now())) : std::nullopt;
}

bool Gateway::isRateTooLow(const ServiceId &service, Duration wait)
{
    const auto rate = ownRate(service);
    const auto position = static_cast<double>(stateOf(service).queue.size() + 1);
    return rate && *rate * std::chrono::duration<double>(wait).count() < position * fairChance;
}

void Gateway::watchRateLimits()
{
    if (rateLimits_.isActive() && !std::exchange(isWatchingRateLimits_, true)) {
        rateTimer_.startOnce(rateLimits_.checkInterval());
    }
}

void Gateway::checkRateLimited()
{
    isWatchingRateLimits_ = false;
    serveQueues();
    const bool isAnyWaiting = std::any_of(services_.begin(), services_.end(),
                                          [](const auto &entry) { return entry.second.queue.size() > 0; });
    if (isAnyWaiting) {
        watchRateLimits();
    }
}

std::vector<CrashCandidate> Gateway::unansweredAt(const ServerId &server) const
{
    std::vector<CrashCandidate> candidates;
    for (const auto &[key, request] : requests_) {
        if (auto candidate = request->unansweredAt(server)) {
            candidates.push_back(std::move(*candidate));
        }
    }
    return candidates;
}

void Gateway::crashesChanged()
{
    std::vector<std::shared_ptr<ForwardedRequest>> requests;
    requests.reserve(requests_.size());
    for (const auto &[key, request] : requests_) {
        requests.push_back(request);
    }
    for (const auto &request : requests) {
        request->onCrashesChanged();
    }
}

void Gateway::watchHeldRequests()
{
    heldTimer_.startOnce(heldInterval);
}

void Gateway::countOutcome(std::string_view outcome, Duration total)
{
    metrics_.addToCounter("requests_total", {{"outcome", std::string(outcome)}});
    metrics_.observe("request_seconds", {{"outcome", std::string(outcome)}}, total);
}

void Gateway::forget(ForwardedRequest *request)
{
    const auto found = requests_.find(request);
    if (found == requests_.end()) {
        return;
    }
    loop_.post([kept = std::move(found->second)] {});
    requests_.erase(found);
}

std::string Gateway::renderMetrics()
{
    metrics_.setGauge("requests_running", {}, static_cast<double>(requests_.size()));
    metrics_.setGauge("buffered_bytes", {}, static_cast<double>(bufferedBytes()));
    metrics_.setGauge("connections_opened", {}, static_cast<double>(pool_.counters().opened));
    metrics_.setGauge("connections_reused", {}, static_cast<double>(pool_.counters().reused));
    metrics_.setGauge("crashes_known", {}, static_cast<double>(crashes_.crashCount()));
    metrics_.setGauge("culprits_quarantined", {}, static_cast<double>(crashes_.culpritCount()));
    metrics_.setGauge("peers_active", {}, static_cast<double>(peers_.loads().activePeers()));
    return metrics_.renderPrometheus();
}

} // namespace hornbeamlane
