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

/** Balancers and collectors of metrics together keep a few connections. */
constexpr std::size_t maxStatusConnections = 64;

/** Time between two looks at requests that wait for a suspect like them. */
constexpr milliseconds heldInterval{20};

/** Time before the end of the grace period at which what still runs is cut off in an orderly way. */
constexpr milliseconds shutdownMargin{400};

/** Time in which the last answers leave the process; the process ends before the grace period does. */
constexpr milliseconds lastAnswersTime{250};

/** Time of a pass of an engine without requests. */
Duration fixedPassTime(const EngineModel &engine)
{
    return std::chrono::duration_cast<Duration>(engine.stepTime * engine.stepsPerPass);
}

} // namespace

Gateway::Gateway(EventLoop &loop, RandomSource &random, GatewaySettings settings, GatewayHooks hooks)
    : loop_(loop)
    , random_(random)
    , settings_(std::move(settings))
    , backends_({.entryCount = assumedEntries,
                 .unseenRequests = [this](const ServiceId &service) { return unseenRequests(service); },
                 .isRateLimited = [this](const Backend &backend) { return rateLimits_.isLimited(backend); },
                 .paceFill = [this](const PaceUnitId &unit,
                                    const PaceUnitLoad &load) { return queues_.paces().fillOf(unit, load); },
                 .isPaceOutOfReach = [this](const PaceUnitId &unit) { return queues_.paces().isOutOfReach(unit); },
                 .findingOf = [this](const Backend &backend) { return serverLimits_.findingOf(backend); }})
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
              .bounds = [this] { return queues_.bounds(); },
              .isMapHolder = std::move(hooks.isMapHolder),
              .tableVersions = std::move(hooks.tableVersions),
              .peerVersions = std::move(hooks.peerVersions),
              .changed = [this] { peerLoadsChanged(); },
              .crashDigest = [this] { return crashes_.digest(); },
              .peerCrashDigest = [this](const std::string &address,
                                        std::uint64_t digest) { crashes_.exchange().onPeerDigest(address, digest); },
              .rateLimits = [this](bool all) { return rateLimits_.reports(all); },
              .demands = [this] { return queues_.demands(); },
              .arrivals = [this] { return queues_.arrivals(); },
              .peerRateLimits = [this](Incarnation sender,
                                       const auto &reports) { rateLimits_.onPeerReports(sender, reports); },
              .latencies = [this] { return serverLimits_.reports(peers_.isRelaying()); },
              .peerLatencies = [this](const auto &reports) { serverLimits_.onPeerReports(reports); },
              .otherMessage = [this](std::string_view bytes) { return crashes_.exchange().onMessage(bytes); }})
    , crashes_(
          loop, random, metrics_, backends_,
          {.incarnation = random.incarnation(), .learningTime = settings_.crashLearningTime},
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
                  {.waiting = [this](const ServiceId &service) { return queues_.of(service).queue.size(); },
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
    , notices_(loop, metrics_, settings_.headers, backends_)
    , serverLimits_(loop, metrics_, backends_)
    , queues_(loop, random, settings_, backends_, rateLimits_)
    , groupProbe_(loop, random, backends_, {},
                  {.readReport = std::move(hooks.readReport),
                   .hasFormed = [this](const ServerId &rank) { groupHasFormed(rank); }})
    , memory_({.limit = settings_.memoryLimit})
    , refusedConnections_(metrics_, memory_, "")
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
                .maxConnections = settings_.maxConnections,
                .memory = &memory_,
                .onRefused = [this](int status, std::string_view cause) { refusedConnections_.note(status, cause); }},
               [this](const std::shared_ptr<Http1Exchange> &exchange) { handle(exchange); })
    , status_(loop, {.limits = [] { return Http1Server::Limits{}; }, .maxConnections = maxStatusConnections},
              [this](const std::shared_ptr<Http1Exchange> &exchange) { handleStatusRequest(exchange); })
    , sweepTimer_(loop, [this] { sweep(); })
    , heldTimer_(loop, [this] { crashesChanged(); })
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

bool Gateway::isServiceNamed(const ServiceId &service) const
{
    return table_ && table_->findService(service) != nullptr;
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

void Gateway::serversChanged()
{
    for (const auto &[id, backend] : backends_.all()) {
        if (backend.spec.group && backend.spec.group->isOpen) {
            queues_.noteGroupEpoch(*backend.spec.group);
        }
        if (const auto engine = engineOf(backend.spec.service)) {
            queues_.paces().setFixedPassTime(backend.paceUnit, fixedPassTime(*engine));
        }
    }
    serverLimits_.serversChanged();
    peerLoadsChanged();
}

void Gateway::peerLoadsChanged()
{
    for (const auto &[id, backend] : backends_.all()) {
        backends_.setPeersInFlight(id, peers_.loads().sumFor(hashOfServer(id)));
    }
    queues_.serveAll();
}

void Gateway::groupHasFormed(const ServerId &rank)
{
    const auto *backend = backends_.find(rank);
    auto place = *backend->spec.group;
    place.epoch = backends_.groupEpochOf(rank);
    logEvent(LogLevel::Info, "group_has_formed",
             {{"server", rank.name()}, {"group", place.group.name()}, {"entry_epoch", std::to_string(place.epoch)}});
    // Engines form again in a later epoch, with the uniform map.
    ++place.epoch;
    queues_.noteGroupEpoch(place);
    loop_.post([this] { queues_.serveAll(); });
}

double Gateway::unseenRequests(const ServiceId &service)
{
    const auto now = loop_.now();
    const auto perSecond = queues_.of(service).starts.perSecond(now) * peers_.entryCount(now);
    return perSecond * std::chrono::duration<double>(peers_.usualDelay()).count();
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
    notices_.sweep();
    serverLimits_.sweep();
    groupProbe_.sweep(now);
    setEntryCount(peers_.entryCount(now));
    queues_.notePeerBounds(peers_.loads());
    queues_.sweep();
    refusedConnections_.report(now);
    if (now - stateLoggedAt_ >= stateLogInterval) {
        stateLoggedAt_ = now;
        queues_.logStates();
        serverLimits_.logStates();
    }
    queues_.serveAll();
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
    queues_.setEntryCount(safeCount);
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
    stopKnownAt_ = startedAt + settings_.stopNoticeTime;
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
    if (now >= cutOffAt_ && !std::exchange(hasCutOff_, true)) {
        cutOff();
    }
    if (callers_.connectionCount() == 0 || now >= cutOffAt_ + lastAnswersTime) {
        drainTimer_.stop();
        logEvent(LogLevel::Info, "drained", {{"connections_left", std::to_string(callers_.connectionCount())}});
        drained_();
    }
}

std::optional<TimePoint> Gateway::cutOffAt() const
{
    return isStopping_ ? std::optional(cutOffAt_) : std::nullopt;
}

bool Gateway::isStopKnownAt(TimePoint time) const
{
    return isStopping_ && time >= stopKnownAt_;
}

void Gateway::cutOff()
{
    logEvent(LogLevel::Warning, "cut_off", {{"requests", std::to_string(callers_.openExchanges())}});
    for (const auto &request : openRequests()) {
        request->onCutOff();
    }
    callers_.refuseUnread();
}

std::vector<std::shared_ptr<ForwardedRequest>> Gateway::openRequests() const
{
    std::vector<std::shared_ptr<ForwardedRequest>> requests;
    requests.reserve(requests_.size());
    for (const auto &[key, request] : requests_) {
        requests.push_back(request);
    }
    return requests;
}

std::vector<LostRequest> Gateway::unansweredAt(const ServerId &server) const
{
    std::vector<LostRequest> unanswered;
    for (const auto &[key, request] : requests_) {
        if (auto lost = request->unansweredAt(server)) {
            unanswered.push_back(std::move(*lost));
        }
    }
    return unanswered;
}

void Gateway::crashesChanged()
{
    for (const auto &request : openRequests()) {
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
    metrics_.setGauge("collected_bytes", {}, static_cast<double>(collectedBytes_));
    metrics_.setGauge("caller_connections", {}, static_cast<double>(callers_.connectionCount()));
    metrics_.setGauge("connections_opened", {}, static_cast<double>(pool_.counters().opened));
    metrics_.setGauge("connections_reused", {}, static_cast<double>(pool_.counters().reused));
    metrics_.setGauge("crashes_known", {}, static_cast<double>(crashes_.crashCount()));
    metrics_.setGauge("culprits_quarantined", {}, static_cast<double>(crashes_.culpritCount()));
    metrics_.setGauge("peers_active", {}, static_cast<double>(peers_.loads().activePeers()));
    queues_.setGauges(metrics_);
    return metrics_.renderPrometheus();
}

} // namespace hornbeamlane
