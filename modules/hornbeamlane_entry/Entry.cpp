#include "hornbeamlane_entry/Entry.h"

#include "hornbeamlane_entry/HostListReader.h"
#include "hornbeamlane_entry/RefusalReply.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hornbeamlane {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t megabyte = 1024 * 1024;

constexpr auto housekeepingInterval = 200ms;
constexpr auto hostListInterval = 2s;
constexpr auto reselectTeamsInterval = 60s;

/** Granularity of flow timers; deadlines and retries are this much late at most. */
constexpr auto flowTimerInterval = 20ms;

HttpResponse textReply(int status, std::string text)
{
    return {.status = status, .contentType = "text/plain", .body = std::move(text)};
}

/** Answer to a request that the HTTP library refuses before this entry sees it. */
HttpResponse makeLibraryRefusal(int status)
{
    const bool isTooLarge = status == 413 || status == 431;
    return makeRefusalReply({.reason = isTooLarge ? RefusalReason::RequestTooLarge : RefusalReason::MalformedRequest,
                             .execution = ExecutionState::NotRun,
                             .detail = isTooLarge ? "the body or the headers are too large" : "not valid HTTP"});
}

/** Attempt that a message of an agent belongs to. */
std::optional<AttemptId> attemptOf(const Message &message)
{
    return std::visit(
        []<class T>(const T &value) -> std::optional<AttemptId> {
            if constexpr (requires { value.attempt; }) {
                return value.attempt;
            } else {
                return std::nullopt;
            }
        },
        message);
}

} // namespace

Entry::Entry(EventLoop &loop, RandomSource &random, EntrySettings settings)
    : loop_(loop)
    , settings_(std::move(settings))
    , incarnation_(random.incarnation())
    , memory_({.limit = memoryLimitOf(std::size_t{settings_.hostMemoryMegabytes} * megabyte)})
    , server_(loop,
              {.maxConnections = settings_.maxConnections,
               .memory = &memory_,
               .onRefused = [this](int status, std::string_view cause) { refusedConnections_.note(status, cause); },
               .refusalPage = &makeLibraryRefusal},
              [this](const Exchange &exchange) { handleHttp(exchange); })
    , table_(loop, {.address = settings_.platformAddress})
    , agents_(
          loop, random,
          {.hello = [this] { return hello(); }, .heartbeat = [this] { return membership_.heartbeat(isLeaving_); }},
          {.opened = [this](const ServerId &server, const Hello &hello) { handleAgentLinkUp(server, hello); },
           .received = [this](const ServerId &server, const Message &message) { handleAgentMessage(server, message); },
           .closed = [this](const ServerId &server, Incarnation incarnation,
                            LinkEnd end) { handleAgentLinkDown(server, incarnation, end); }})
    , peers_(
          loop, random,
          {.name = settings_.name,
           .dataCentre = settings_.dataCentre,
           .link = {.hello = [this] { return hello(); },
                    .heartbeat = [this] { return membership_.heartbeat(isLeaving_); }}},
          {.up =
               [this](const std::string &peer, const Hello &hello) {
                   membership_.linkUp(peer, hello);
                   updatePeers();
                   peers_.send(peer, routing_.crashes().everything(loop_.now()));
               },
           .down =
               [this](const std::string &peer, Incarnation) {
                   membership_.linkDown(peer);
                   updatePeers();
               },
           .received = [this](const std::string &peer, const Message &message) { handlePeerMessage(peer, message); }})
    , membership_(
          loop,
          {.name = settings_.name.name(),
           .role = ProcessRole::Entry,
           .dataCentre = settings_.dataCentre,
           .table = &table_},
          {.send = [this](const std::string &peer, const Message &message) { sendToPeer(peer, message); },
           .inForce = [this](CatalogueVersion, const Catalogue &catalogue) { applyCatalogue(catalogue); },
           .drainsChanged = [this](const DrainSet &drains) { routing_.applyDrains(drains.inForce(), loop_.now()); }})
    , routing_(settings_.dataCentre, incarnation_, random,
               [this](const Message &message) {
                   for (const auto &[name, incarnation] : peers_.peers()) {
                       peers_.send(name, message);
                   }
               })
    , contact_({}, loop.now())
    , refusedConnections_(metrics_, memory_, "hornbeamlane_")
    , housekeepingTimer_(loop, [this] { housekeep(); })
    , hostsTimer_(loop, [this] { pollHosts(); })
    , flowTimer_(loop, [this] { wakeFlows(); })
    , shutdownTimer_(loop, [this] { stopAccepting(); })
{
}

Entry::~Entry() = default;

bool Entry::start()
{
    const auto address = splitAddress(settings_.httpAddress);
    if (!address || !server_.listen(address->first, address->second) || !peers_.listen(settings_.linkAddress)) {
        return false;
    }
    logEvent(LogLevel::Info, "listening",
             {{"http_port", std::to_string(server_.port())}, {"link_port", std::to_string(peers_.port())}});
    pollHosts();
    hostsTimer_.startRepeating(hostListInterval);
    membership_.start();
    housekeepingTimer_.startRepeating(housekeepingInterval);
    flowTimer_.startRepeating(flowTimerInterval);
    return true;
}

std::uint16_t Entry::httpPort() const
{
    return server_.port();
}

void Entry::shutDown(std::function<void()> done)
{
    isLeaving_ = true;
    whenIdle_ = std::move(done);
    shutdownTimer_.startOnce(settings_.shutdownDelay);
}

void Entry::stopAccepting()
{
    server_.stopAccepting();
    hasStoppedAccepting_ = true;
    reportIfIdle();
}

void Entry::reportIfIdle()
{
    if (hasStoppedAccepting_ && flows_.empty() && whenIdle_) {
        loop_.post(whenIdle_);
    }
}

Hello Entry::hello() const
{
    const auto localTime = std::chrono::duration_cast<std::chrono::milliseconds>(loop_.now().time_since_epoch());
    return {.role = ProcessRole::Entry,
            .name = settings_.name.name(),
            .incarnation = incarnation_,
            .dataCentre = settings_.dataCentre,
            .catalogueVersion = membership_.version(),
            .localTime = localTime};
}

// HTTP of callers and operators

void Entry::handleHttp(const Exchange &exchange)
{
    const auto &path = exchange->request().path;
    if (path == "/healthz") {
        exchange->reply(textReply(200, "ok\n"));
    } else if (path == "/readyz") {
        exchange->reply(readiness());
    } else if (path == "/metrics") {
        exchange->reply(textReply(200, metrics_.renderPrometheus()));
    } else if (path == "/admin/status") {
        replyStatus(exchange);
    } else if (path == "/admin/drains") {
        handleAdminDrain(exchange);
    } else {
        handleCall(exchange);
    }
}

bool Entry::mayServe() const
{
    const auto &catalogue = membership_.catalogue();
    const auto found =
        catalogue ? catalogue->dataCentres.find(settings_.dataCentre) : decltype(catalogue->dataCentres.end())();
    const bool isListed = catalogue && found != catalogue->dataCentres.end();
    return contact_.mayServe(isListed ? found->second.whenCutOff : CutOffPolicy::Serve, loop_.now());
}

bool Entry::isReady() const
{
    return membership_.isReady() && mayServe();
}

HttpResponse Entry::readiness() const
{
    if (isLeaving_) {
        return textReply(503, "leaving\n");
    }
    if (!isReady()) {
        return textReply(503, "not ready\n");
    }
    if (!membership_.mayStartWork(HostId(settings_.name.name()), ServerId())) {
        return textReply(503, "drained\n");
    }
    return textReply(200, "ready\n");
}

void Entry::handleCall(const Exchange &exchange)
{
    if (!isReady()) {
        exchange->reply(makeRefusalReply({.reason = RefusalReason::NotReady,
                                          .execution = ExecutionState::NotRun,
                                          .retryAfter = 1s,
                                          .detail = "the entry has no catalogue in force or is cut off"}));
        return;
    }
    Refusal refusal;
    auto request = readCallerRequest(exchange->request(), *membership_.catalogue(), refusal);
    if (!request) {
        metrics_.onRefusal(ClassId("none"), refusal.reason);
        exchange->reply(makeRefusalReply(refusal));
        return;
    }
    auto &dispatch = request->dispatch;
    dispatch.fingerprint = routing_.quarantine().fingerprint(dispatch.team, dispatch.target, dispatch.body);
    if (dispatch.kind == WorkKind::Model) {
        dispatch.prefixes = prefixHasher_.prefixes(dispatch.target, request->prompt);
        request->traits = traitsOf({.target = dispatch.target,
                                    .team = dispatch.team,
                                    .method = dispatch.method,
                                    .path = dispatch.path,
                                    .body = dispatch.body,
                                    .sharedParts = std::move(request->sharedMessages)});
    }
    startFlow(std::move(*request), exchange);
}

void Entry::replyStatus(const Exchange &exchange)
{
    nlohmann::ordered_json status;
    status["process"] = settings_.name.name();
    status["dataCentre"] = settings_.dataCentre.name();
    status["ready"] = isReady();
    status["version"] = membership_.version().value();
    status["settled"] = membership_.settledVersion().value();
    status["drains"] = nlohmann::json::array();
    for (const auto &drain : membership_.drains().inForce()) {
        status["drains"].push_back({{"id", drain.id.name()}, {"scope", toString(drain.scope)}, {"name", drain.name}});
    }
    status["confirmed"] = nlohmann::json::object();
    for (const auto &[process, version] : membership_.confirmations()) {
        status["confirmed"][process] = version.value();
    }
    status["requests"] = flows_.size();
    exchange->reply({.status = 200, .contentType = "application/json", .body = status.dump(2) + "\n"});
}

void Entry::handleAdminDrain(const Exchange &exchange)
{
    const auto json = nlohmann::json::parse(exchange->request().body, nullptr, false);
    const auto text = [&json](const char *name) {
        return json.is_object() && json.contains(name) && json[name].is_string() ? json[name].get<std::string>()
                                                                                 : std::string();
    };
    const auto scope = drainScopeFromString(text("scope"));
    const DrainId id(text("id"));
    const bool isRemoval = json.is_object() && json.contains("remove") && json["remove"] == true;
    if (exchange->request().method != "POST" || id.isEmpty() || (!isRemoval && (!scope || text("name").empty()))) {
        exchange->reply(makeRefusalReply({.reason = RefusalReason::MalformedRequest,
                                          .execution = ExecutionState::NotRun,
                                          .detail = "POST an object with id, scope and name"}));
        return;
    }
    if (isRemoval) {
        membership_.removeLocalDrain(id);
    } else {
        membership_.addLocalDrain({.id = id, .scope = *scope, .name = text("name")});
    }
    replyStatus(exchange);
}

// Flows

void Entry::startFlow(CallerRequest request, const Exchange &exchange)
{
    retryBudget_.countRequest(loop_.now());
    const auto id = ++lastFlow_;
    request.number = RequestNumber(id);
    CallerReply reply(exchange, replyHooks(request));
    const bool isClaimed = !request.dispatch.isRepeatable && !request.dispatch.idempotencyKey.empty();
    exchange->onClosed([this, id] {
        if (const auto found = flows_.find(id); found != flows_.end()) {
            found->second->onCallerGone();
            settleFlow(id);
        }
    });
    exchange->onDrained([this, id] {
        if (const auto found = flows_.find(id); found != flows_.end()) {
            found->second->onCallerDrained();
        }
    });
    auto &flow = flows_[id];
    if (isClaimed) {
        flow = std::make_unique<ClaimedFlow>(std::move(request), std::move(reply), flowHooks(id), tableHooks(id));
    } else {
        flow = std::make_unique<DirectFlow>(std::move(request), std::move(reply), flowHooks(id));
    }
    flow->start();
    settleFlow(id);
}

RequestFlow::Hooks Entry::flowHooks(FlowId flow)
{
    RequestFlow::Hooks hooks;
    hooks.chooseTarget = [this](const CallerRequest &request, const std::vector<ServerId> &tried,
                                RequestFlow::NoTarget &none) { return chooseTarget(request, tried, none); };
    hooks.nextAttempt = [this, flow] {
        const AttemptId attempt{.entry = incarnation_, .sequence = ++lastAttempt_};
        flowOfAttempt_[attempt] = flow;
        return attempt;
    };
    hooks.send = [this, flow](const RequestFlow::Target &target, const Message &message) {
        if (const auto *query = std::get_if<QueryAttempt>(&message)) {
            flowOfAttempt_[query->attempt] = flow;
        }
        return agents_.send(target.server, message);
    };
    hooks.dispatched = [this](const RequestFlow::Target &target, const Dispatch &dispatch,
                              const CallerRequest &request) {
        logEvent(LogLevel::Info, "dispatched",
                 {{"attempt", dispatch.attempt.toString()},
                  {"team", dispatch.team.name()},
                  {"target", dispatch.target},
                  {"server", target.server.name()}});
        metrics_.onDecision("server_choice", target.server.name());
        routing_.onDispatched({.server = target.server, .incarnation = target.incarnation}, dispatch, loop_.now());
        routing_.crashes().onDispatched(dispatch.attempt, request, target.incarnation, loop_.now());
    };
    hooks.ended = [this](const RequestFlow::Target &target, const Dispatch &dispatch, bool isAnswered) {
        routing_.onEnded({.server = target.server, .incarnation = target.incarnation}, dispatch, isAnswered,
                         loop_.now());
        if (isAnswered) {
            routing_.crashes().onAnswerBegun(dispatch.attempt, loop_.now());
        }
        routing_.crashes().onEnded(dispatch.attempt, loop_.now());
    };
    hooks.engineLost = [this](const RequestFlow::Target &target, std::uint64_t engineLoss) {
        routing_.crashes().onEngineLost(target.incarnation, engineLoss, loop_.now());
        routing_.quarantine().onEngineLost(target.incarnation, engineLoss, loop_.now());
        shareQuarantine();
    };
    hooks.takeRetry = [this](TimePoint now) {
        const bool isAllowed = retryBudget_.takeRetry(now);
        metrics_.onDecision("retry", isAllowed ? "allowed" : "budget_exhausted");
        return isAllowed;
    };
    hooks.now = [this] { return loop_.now(); };
    return hooks;
}

ClaimedFlow::TableHooks Entry::tableHooks(FlowId flow)
{
    const auto replyTo = [this, flow](TableOperation operation) {
        return [this, flow, operation](const TableReply &reply) {
            const auto found = flows_.find(flow);
            if (found != flows_.end()) {
                static_cast<ClaimedFlow &>(*found->second).onTableReply(operation, reply);
                settleFlow(flow);
            }
        };
    };
    ClaimedFlow::TableHooks hooks;
    hooks.write = [this, replyTo](TableOperation operation, const TableWrite &write) {
        table_.write(write, replyTo(operation));
    };
    hooks.read = [this, replyTo](TableOperation operation, const std::string &key) {
        table_.read(key, replyTo(operation));
    };
    hooks.remove = [this, replyTo](TableOperation operation, const std::string &key, RowVersion version) {
        table_.remove(key, version, replyTo(operation));
    };
    return hooks;
}

CallerReply::Hooks Entry::replyHooks(const CallerRequest &request)
{
    const auto team = request.dispatch.team;
    const auto requestClass = request.dispatch.requestClass;
    const auto receivedAt = loop_.now();
    const auto lastTokenAt = std::make_shared<TimePoint>(receivedAt);
    CallerReply::Hooks hooks;
    hooks.refused = [this, team, requestClass](const Refusal &refusal) {
        metrics_.onRefusal(requestClass, refusal.reason);
        logEvent(LogLevel::Info, "refused",
                 {{"team", team.name()},
                  {"reason", std::string(toString(refusal.reason))},
                  {"execution", std::string(toString(refusal.execution))},
                  {"detail", refusal.detail}});
    };
    hooks.firstByte = [this, team, requestClass, receivedAt, lastTokenAt] {
        *lastTokenAt = loop_.now();
        metrics_.onFirstToken(team, requestClass, *lastTokenAt - receivedAt);
    };
    hooks.tokens = [this, team, requestClass, lastTokenAt](std::size_t tokens) {
        const auto now = loop_.now();
        const auto interval = (now - *lastTokenAt) / static_cast<Duration::rep>(tokens);
        metrics_.onTokenInterval(team, requestClass, interval);
        *lastTokenAt = now;
    };
    return hooks;
}

std::optional<RequestFlow::Target> Entry::chooseTarget(const CallerRequest &request, const std::vector<ServerId> &tried,
                                                       RequestFlow::NoTarget &none)
{
    EntryRouting::NoChoice noChoice;
    const auto choice = routing_.choose(request, tried, loop_.now(), noChoice);
    const auto agentTime = choice ? agents_.agentTime(choice->server) : std::nullopt;
    if (!agentTime) {
        if (!choice) {
            none = {.refusal = noChoice.refusal, .isTemporary = noChoice.isTemporary};
        }
        return std::nullopt;
    }
    return RequestFlow::Target{.server = choice->server, .incarnation = choice->incarnation, .agentTime = *agentTime};
}

void Entry::settleFlow(FlowId flow)
{
    const auto found = flows_.find(flow);
    if (found == flows_.end() || !found->second->isFinished()) {
        return;
    }
    // The flow may be in the middle of its own callback, so it is destroyed on the next turn.
    loop_.post([this, flow] {
        routing_.crashes().onRequestEnded(RequestNumber(flow), loop_.now());
        flows_.erase(flow);
        std::erase_if(flowOfAttempt_, [flow](const auto &entry) { return entry.second == flow; });
        reportIfIdle();
    });
}

void Entry::forEachFlow(const std::function<void(RequestFlow &)> &visitor)
{
    std::vector<FlowId> ids;
    ids.reserve(flows_.size());
    for (const auto &[id, flow] : flows_) {
        ids.push_back(id);
    }
    for (const auto id : ids) {
        if (const auto found = flows_.find(id); found != flows_.end()) {
            visitor(*found->second);
            settleFlow(id);
        }
    }
}

void Entry::wakeFlows()
{
    const auto now = loop_.now();
    forEachFlow([now](RequestFlow &flow) {
        const auto wakeUp = flow.nextWakeUp();
        if (wakeUp && *wakeUp <= now) {
            flow.onTime();
        }
    });
}

// Agents

void Entry::handleAgentLinkUp(const ServerId &server, const Hello &hello)
{
    if (hello.name != server.name() || hello.role != ProcessRole::Agent) {
        // The catalogue's address belongs to another process; work sent there would run on the wrong server.
        logEvent(LogLevel::Error, "agent_name_mismatch", {{"server", server.name()}, {"peer", hello.name}});
        return;
    }
    logEvent(LogLevel::Info, "agent_link_opened", {{"server", server.name()}});
    routing_.onLinkUp(server, hello.incarnation, loop_.now());
    membership_.linkUp(server.name(), hello);
    forEachFlow([&](RequestFlow &flow) { flow.onLinkUp(server, hello.incarnation); });
}

void Entry::handleAgentLinkDown(const ServerId &server, Incarnation incarnation, LinkEnd end)
{
    logEvent(LogLevel::Info, "agent_link_closed", {{"server", server.name()}, {"reason", std::string(toString(end))}});
    if (incarnation == Incarnation()) {
        return;
    }
    // A link that this entry closes itself follows a change of the catalogue, not a crash.
    routing_.onLinkDown(server, incarnation, end == LinkEnd::ClosedLocally, loop_.now());
    shareQuarantine();
    membership_.linkDown(server.name());
    forEachFlow([&](RequestFlow &flow) { flow.onLinkLost(server, incarnation); });
}

void Entry::handleAgentMessage(const ServerId &server, const Message &message)
{
    const auto incarnation = agents_.incarnation(server).value_or(Incarnation());
    if (const auto *heartbeat = std::get_if<Heartbeat>(&message)) {
        routing_.onHeartbeat(server, incarnation, *heartbeat);
        membership_.onMessage(server.name(), message);
        return;
    }
    if (const auto *report = std::get_if<LoadReport>(&message)) {
        routing_.onReport(server, incarnation, *report, loop_.now());
        return;
    }
    const auto attempt = attemptOf(message);
    if (!attempt) {
        membership_.onMessage(server.name(), message);
        return;
    }
    const auto found = flowOfAttempt_.find(*attempt);
    if (found == flowOfAttempt_.end() || !flows_.contains(found->second)) {
        return;
    }
    const auto flow = found->second;
    if (const auto *head = std::get_if<ResponseHead>(&message)) {
        routing_.crashes().onHead(*attempt, head->status);
    } else if (std::holds_alternative<ResponseData>(message)) {
        routing_.crashes().onAnswerBegun(*attempt, loop_.now());
    }
    if (const auto *rejected = std::get_if<Rejected>(&message)) {
        metrics_.onDecision("agent_rejected", std::string(toString(rejected->refusal.reason)));
    }
    flows_.at(flow)->onMessage(server, incarnation, message);
    settleFlow(flow);
}

// Other entries

void Entry::sendToPeer(const std::string &peer, const Message &message)
{
    // Names of servers and entry hosts are distinct in the catalogue; a server's agent is reached over its own link.
    if (agents_.isOpen(ServerId(peer))) {
        agents_.send(ServerId(peer), message);
    } else {
        peers_.send(peer, message);
    }
}

void Entry::handlePeerMessage(const std::string &peer, const Message &message)
{
    const auto peers = peers_.peers();
    const auto found = peers.find(peer);
    if (const auto *update = std::get_if<QuarantineUpdate>(&message); update != nullptr && found != peers.end()) {
        routing_.quarantine().merge(*update, found->second, loop_.now());
        shareQuarantine();
        return;
    }
    if (const auto *crashes = std::get_if<CrashUpdate>(&message)) {
        routing_.crashes().merge(*crashes, loop_.now());
        return;
    }
    if (const auto *trials = std::get_if<TrialUpdate>(&message)) {
        routing_.crashes().merge(*trials, loop_.now());
        return;
    }
    // Entries that are cut off together must not take each other for contact with the outside.
    if (peers_.isInOtherDataCentre(peer)) {
        contact_.noteContact(loop_.now());
    }
    membership_.onMessage(peer, message);
}

void Entry::updatePeers()
{
    std::vector<Incarnation> incarnations;
    for (const auto &[name, incarnation] : peers_.peers()) {
        incarnations.push_back(incarnation);
    }
    routing_.setPeers(incarnations);
}

void Entry::shareQuarantine()
{
    for (const auto &[name, incarnation] : peers_.peers()) {
        if (const auto update = routing_.quarantine().updateFor(incarnation, loop_.now())) {
            peers_.send(name, *update);
        }
    }
}

// Configuration

void Entry::applyCatalogue(const Catalogue &catalogue)
{
    routing_.applyCatalogue(membership_.catalogue());
    routing_.applyDrains(membership_.drains().inForce(), loop_.now());
    agents_.applyCatalogue(catalogue);
}

void Entry::pollHosts()
{
    sendHttpRequest(loop_, {.address = settings_.platformAddress, .target = "/v1/hosts", .timeout = 2s},
                    [this](HttpCallEnd end, const HttpResponse &response) {
                        if (end == HttpCallEnd::Complete && response.status == 200) {
                            handleHosts(response);
                        }
                    });
}

void Entry::handleHosts(const HttpResponse &response)
{
    const auto hosts = readHostList(response.body);
    if (!hosts) {
        logEvent(LogLevel::Warning, "host_list_unreadable");
        return;
    }
    contact_.noteContact(loop_.now());
    HostView view;
    view.update(*hosts, loop_.now());
    membership_.updateHosts(view);
    peers_.updateHosts(view);
}

void Entry::housekeep()
{
    shareQuarantine();
    routing_.crashes().sweep(loop_.now());
    const auto now = loop_.now();
    refusedConnections_.report(now);
    metrics_.setGauge("hornbeamlane_requests_running", {}, static_cast<double>(flows_.size()));
    metrics_.setGauge("hornbeamlane_catalogue_version", {}, static_cast<double>(membership_.version().value()));
    if (now >= reselectTeamsAt_) {
        reselectTeamsAt_ = now + reselectTeamsInterval;
        metrics_.reselectTeams();
    }
}

} // namespace hornbeamlane
