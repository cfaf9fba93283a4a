#include "hornbeamlane_agent/Agent.h"

#include "hornbeamlane_observability/hornbeamlane_observability.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hornbeamlane {

namespace {

using namespace std::chrono_literals;

/** Bound for prefixes that wait for the next load report; more are left out, which only costs locality. */
constexpr std::size_t maxNewPrefixes = 256;

/** Adds to a running request's deadline, so that the entry's own deadline strikes first. */
constexpr auto engineTimeoutMargin = 5s;

/** Longest status of an engine. */
constexpr std::size_t maxStatusBytes = 1024 * 1024;

/** Header of an engine's answer: requests a second that it takes, a decimal number. */
constexpr std::string_view rateLimitHeader = "X-Rate-Limit";

std::string formatRate(std::optional<double> perSecond)
{
    return perSecond ? std::to_string(*perSecond) : "-";
}

} // namespace

Agent::Agent(EventLoop &loop, RandomSource &random, AgentSettings settings)
    : loop_(loop)
    , settings_(std::move(settings))
    , incarnation_(random.incarnation())
    , table_(loop, {.address = settings_.platformAddress})
    , listener_(loop, [this](std::intptr_t socket) { acceptSession(socket); })
    , admission_(settings_.server, incarnation_, {}, loop.now())
    , ledger_(AttemptLedger::Options{.incarnation = incarnation_})
    , membership_(loop,
                  {.name = settings_.server.name(), .role = ProcessRole::Agent, .dataCentre = settings_.dataCentre},
                  {.send = [this](const std::string &peer, const Message &message) { sendToPeer(peer, message); },
                   .inForce = [this](CatalogueVersion version,
                                     const Catalogue &catalogue) { applyCatalogue(version, catalogue); },
                   .drainsChanged =
                       [this](const DrainSet &) {
                           admission_.setDraining(!membership_.mayStartWork(settings_.host, settings_.server));
                       },
                   .mayConfirm =
                       [this](CatalogueVersion version) {
                           const auto confirmable = admission_.confirmableVersion(loop_.now());
                           return confirmable && *confirmable >= version;
                       }})
    , admissionTimer_(loop, [this] { runAdmission(); })
    , engineTimer_(loop, [this] { pollEngine(); })
    , housekeepingTimer_(loop, [this] { housekeep(); })
{
}

Agent::~Agent() = default;

bool Agent::start()
{
    if (!listener_.listen(settings_.linkAddress)) {
        return false;
    }
    logEvent(LogLevel::Info, "listening", {{"link_port", std::to_string(listener_.port())}});
    membership_.start();
    pollEngine();
    engineTimer_.startRepeating(settings_.engineStatusInterval);
    housekeepingTimer_.startRepeating(settings_.loadReportInterval);
    return true;
}

std::uint16_t Agent::linkPort() const
{
    return listener_.port();
}

void Agent::shutDown(std::function<void()> done)
{
    isLeaving_ = true;
    whenIdle_ = std::move(done);
    admission_.leave();
    housekeep();
    reportIfIdle();
}

void Agent::reportIfIdle()
{
    if (isLeaving_ && work_.empty() && whenIdle_) {
        // Leaves the loop a turn to send the last answers.
        loop_.post(whenIdle_);
    }
}

std::chrono::milliseconds Agent::localTime() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(loop_.now().time_since_epoch());
}

bool Agent::isKeyed(const Dispatch &dispatch)
{
    return !dispatch.isRepeatable && !dispatch.idempotencyKey.empty();
}

void Agent::acceptSession(std::intptr_t socket)
{
    const auto session = ++lastSession_;
    Link::Callbacks callbacks;
    callbacks.opened = [this, session](const Hello &hello) { handleOpened(session, hello); };
    callbacks.received = [this, session](const Message &message) { handleMessage(session, message); };
    callbacks.closed = [this, session](LinkEnd end, DecodeFailure) { handleSessionClosed(session, end); };
    Link::Options options;
    options.hello = [this] {
        return Hello{.role = ProcessRole::Agent,
                     .name = settings_.server.name(),
                     .incarnation = incarnation_,
                     .dataCentre = settings_.dataCentre,
                     .catalogueVersion = membership_.version(),
                     .localTime = localTime()};
    };
    options.heartbeat = [this] { return membership_.heartbeat(isLeaving_); };
    sessions_[session].link = Link::accept(loop_, socket, std::move(options), std::move(callbacks));
}

void Agent::handleOpened(SessionId session, const Hello &hello)
{
    logEvent(LogLevel::Info, "link_opened", {{"peer", hello.name}, {"session", std::to_string(session)}});
    sessions_[session].peer = hello.name;
    membership_.linkUp(hello.name, hello);
    sendTo(session, makeLoadReport());
}

void Agent::handleSessionClosed(SessionId session, LinkEnd end)
{
    const auto peer = sessions_[session].peer;
    logEvent(LogLevel::Info, "link_closed", {{"peer", peer}, {"reason", std::string(toString(end))}});
    loop_.post([this, session] { sessions_.erase(session); });
    sessions_[session].peer.clear();
    const bool hasOtherLink =
        std::any_of(sessions_.begin(), sessions_.end(), [&](const auto &entry) { return entry.second.peer == peer; });
    if (!peer.empty() && !hasOtherLink) {
        membership_.linkDown(peer);
    }
    std::vector<AttemptId> abandoned;
    for (const auto &[id, work] : work_) {
        if (work.session == session) {
            abandoned.push_back(id);
        }
    }
    for (const auto &id : abandoned) {
        abandonAttempt(id);
    }
    runAdmission();
}

void Agent::handleMessage(SessionId session, const Message &message)
{
    if (const auto *dispatch = std::get_if<Dispatch>(&message)) {
        handleDispatch(session, *dispatch);
    } else if (const auto *cancel = std::get_if<Cancel>(&message)) {
        handleCancel(cancel->attempt);
    } else if (const auto *credit = std::get_if<Credit>(&message)) {
        const auto found = work_.find(credit->attempt);
        if (found != work_.end() && found->second.attempt) {
            const auto attempt = found->second.attempt;
            attempt->addCredit(credit->bytes);
        }
    } else if (const auto *query = std::get_if<QueryAttempt>(&message)) {
        sendTo(session, ledger_.query(*query, localTime()));
    } else if (const auto *recorded = std::get_if<ResultRecorded>(&message)) {
        ledger_.onRecorded(*recorded);
    } else {
        membership_.onMessage(sessions_[session].peer, message);
    }
}

void Agent::handleDispatch(SessionId session, const Dispatch &dispatch)
{
    // The ledger comes first: an attempt that is refused here must stay refused when a late copy of it arrives.
    const auto decision = ledger_.accept(dispatch, localTime());
    if (decision.verdict == AttemptLedger::Verdict::Ignored) {
        return;
    }
    if (decision.verdict == AttemptLedger::Verdict::Refused) {
        reject(session, dispatch.attempt, dispatch.team, decision.refusal);
        return;
    }
    work_[dispatch.attempt] = Work{.session = session, .dispatch = dispatch};
    if (!membership_.isReady()) {
        refuseWork(dispatch.attempt,
                   {.reason = RefusalReason::NotReady,
                    .execution = ExecutionState::NotRun,
                    .retryAfter = 1s,
                    .detail = "the agent has no catalogue yet"});
        return;
    }
    const auto admitted = admission_.submit({.attempt = dispatch.attempt,
                                             .team = dispatch.team,
                                             .requestClass = dispatch.requestClass,
                                             .priority = dispatch.priority,
                                             .remainingDeadline = dispatch.remainingDeadline,
                                             .tokens = dispatch.maxTokens},
                                            loop_.now());
    if (const auto *refusal = std::get_if<Refusal>(&admitted)) {
        refuseWork(dispatch.attempt, *refusal);
    } else if (std::holds_alternative<AdmissionController::Admitted>(admitted)) {
        startAttempt(dispatch.attempt);
    }
    runAdmission();
}

void Agent::startAttempt(const AttemptId &id)
{
    const auto found = work_.find(id);
    if (found == work_.end()) {
        return;
    }
    auto &work = found->second;
    work.engineLossesAtStart = engineLosses_;
    admission_.started(id, loop_.now());
    EngineAttempt::Callbacks callbacks;
    callbacks.message = [this, session = work.session](const Message &message) { sendTo(session, message); };
    callbacks.head = [this, sentAt = loop_.now()](const HttpResponse &head) { readRateLimit(head, sentAt); };
    callbacks.firstByte = [this, id] { admission_.firstToken(id, loop_.now()); };
    callbacks.tokens = [this, id](std::uint32_t count) { admission_.tokens(id, count, loop_.now()); };
    callbacks.finished = [this, id](const EngineAttempt::Result &result) { handleFinished(id, result); };
    const auto timeout = std::chrono::ceil<std::chrono::seconds>(work.dispatch.remainingDeadline) + engineTimeoutMargin;
    logEvent(LogLevel::Debug, "attempt_started",
             {{"attempt", id.toString()}, {"team", work.dispatch.team.name()}, {"target", work.dispatch.target}});
    work.attempt = std::make_shared<EngineAttempt>(loop_,
                                                   EngineAttempt::Options{.engineAddress = settings_.engineAddress,
                                                                          .timeout = timeout,
                                                                          .isResultKept = isKeyed(work.dispatch)},
                                                   work.dispatch, std::move(callbacks));
}

void Agent::handleFinished(const AttemptId &id, const EngineAttempt::Result &result)
{
    const auto found = work_.find(id);
    if (found == work_.end()) {
        return;
    }
    using Outcome = AdmissionController::Outcome;
    const auto &work = found->second;
    if (result.isComplete) {
        ledger_.complete(id,
                         {.status = result.status,
                          .contentType = result.contentType,
                          .body = result.body,
                          .isBodyOmitted = result.isBodyOmitted},
                         localTime());
        const auto &prefixes = work.dispatch.prefixes;
        if (newPrefixes_.size() + prefixes.size() <= maxNewPrefixes) {
            newPrefixes_.insert(newPrefixes_.end(), prefixes.begin(), prefixes.end());
        }
        endWork(id, result.status < 500 ? Outcome::Succeeded : Outcome::Failed);
        return;
    }
    std::uint64_t engineLoss = 0;
    if (result.refusal.execution == ExecutionState::NotRun) {
        ledger_.refuse(id, localTime());
    } else {
        ledger_.lose(id, localTime());
        // All attempts that were started between two losses end by the same one.
        engineLoss = work.engineLossesAtStart + 1;
        engineLosses_ = std::max(engineLosses_, engineLoss);
    }
    reject(work.session, id, work.dispatch.team, result.refusal, engineLoss);
    endWork(id, Outcome::ConnectionLost);
    if (result.refusal.execution == ExecutionState::NotRun) {
        setEngineDown(true);
    }
}

void Agent::endWork(const AttemptId &id, AdmissionController::Outcome outcome)
{
    const auto found = work_.find(id);
    if (found == work_.end()) {
        return;
    }
    // The attempt may be in the middle of its own callback, so it is destroyed on the next turn.
    loop_.post([keep = std::move(found->second.attempt)] {});
    work_.erase(found);
    admission_.finished(id, outcome, loop_.now());
    runAdmission();
    reportIfIdle();
}

void Agent::refuseWork(const AttemptId &id, const Refusal &refusal)
{
    const auto found = work_.find(id);
    if (found == work_.end()) {
        return;
    }
    HORNBEAMLANE_ASSERT(!found->second.attempt);
    ledger_.refuse(id, localTime());
    reject(found->second.session, id, found->second.dispatch.team, refusal);
    work_.erase(found);
    reportIfIdle();
}

void Agent::handleCancel(const AttemptId &id)
{
    abandonAttempt(id);
    runAdmission();
}

void Agent::abandonAttempt(const AttemptId &id)
{
    const auto found = work_.find(id);
    if (found == work_.end()) {
        return;
    }
    if (!found->second.attempt) {
        admission_.cancelled(id, loop_.now());
        ledger_.refuse(id, localTime());
        work_.erase(found);
        reportIfIdle();
        return;
    }
    // A keyed call goes on: its caller will ask for the result again, and the service cannot take it back.
    if (isKeyed(found->second.dispatch)) {
        const auto attempt = found->second.attempt;
        attempt->detach();
        return;
    }
    ledger_.lose(id, localTime());
    endWork(id, AdmissionController::Outcome::Cancelled);
}

void Agent::reject(SessionId session, const AttemptId &attempt, const TeamId &team, const Refusal &refusal,
                   std::uint64_t engineLoss)
{
    logEvent(LogLevel::Info, "attempt_rejected",
             {{"attempt", attempt.toString()},
              {"team", team.name()},
              {"reason", std::string(toString(refusal.reason))},
              {"execution", std::string(toString(refusal.execution))}});
    sendTo(session,
           Rejected{.attempt = attempt,
                    .refusal = refusal,
                    .freeTeamConcurrency = admission_.freeConcurrency(team, loop_.now()),
                    .engineLoss = engineLoss});
}

void Agent::runAdmission()
{
    const auto actions = admission_.takeActions(loop_.now());
    for (const auto &id : actions.start) {
        startAttempt(id);
    }
    for (const auto &[id, refusal] : actions.refuse) {
        refuseWork(id, refusal);
    }
    for (const auto &id : actions.cancelInEngine) {
        const auto found = work_.find(id);
        if (found != work_.end() && !isKeyed(found->second.dispatch)) {
            reject(found->second.session, id, found->second.dispatch.team,
                   {.reason = RefusalReason::DeadlineExceeded,
                    .execution = ExecutionState::Unknown,
                    .detail = "the request ran until its deadline"});
            ledger_.lose(id, localTime());
            endWork(id, AdmissionController::Outcome::Cancelled);
        }
    }
    for (const auto &action : actions.table) {
        runTableAction(action);
    }
    armAdmissionTimer();
}

void Agent::armAdmissionTimer()
{
    const auto next = admission_.nextTimer();
    if (next) {
        admissionTimer_.startOnce(std::max<Duration>(*next - loop_.now(), 1ms));
    }
}

void Agent::runTableAction(const TeamLimits::TableAction &action)
{
    const auto team = action.team;
    if (const auto *read = std::get_if<LeaseRead>(&action.action)) {
        table_.read(read->key, [this, team](const TableReply &reply) {
            admission_.leaseReadFinished(team, reply, loop_.now());
            runAdmission();
        });
    } else if (const auto *write = std::get_if<LeaseWrite>(&action.action)) {
        table_.write(write->write, [this, team](const TableReply &reply) {
            admission_.leaseWriteFinished(team, reply, loop_.now());
            runAdmission();
        });
    }
}

void Agent::pollEngine()
{
    if (isPollingEngine_) {
        return;
    }
    isPollingEngine_ = true;
    engineAskedAt_ = loop_.now();
    sendHttpRequest(loop_,
                    {.address = settings_.engineAddress,
                     .target = "/status",
                     .timeout = 2s,
                     .totalTime = 4s,
                     .maxResponseBytes = maxStatusBytes},
                    [this](HttpCallEnd end, const HttpResponse &response) { handleEngineStatus(end, response); });
}

void Agent::handleEngineStatus(HttpCallEnd end, const HttpResponse &response)
{
    isPollingEngine_ = false;
    if (end != HttpCallEnd::Complete) {
        admission_.connectionFailed(loop_.now());
        runAdmission();
        setEngineDown(end == HttpCallEnd::ConnectFailed);
        return;
    }
    readRateLimit(response, engineAskedAt_);
    // A plain service need not offer a status; that it answers at all is then all there is to know.
    EngineReport report{.engine = Incarnation(1), .running = 0};
    const auto status = nlohmann::json::parse(response.body, nullptr, false);
    if (response.status == 200 && status.is_object()) {
        report.engine = Incarnation(status.value("incarnation", std::uint64_t{1}));
        report.running = status.value("running", 0U);
    }
    admission_.engineReported(report, loop_.now());
    runAdmission();
    setEngineDown(false);
}

void Agent::readRateLimit(const HttpResponse &answer, TimePoint sentAt)
{
    const auto *named = findHeader(answer.headers, rateLimitHeader);
    const auto perSecond = named == nullptr ? std::nullopt : parseRate(*named);
    if (named != nullptr && !perSecond) {
        logEvent(LogLevel::Warning, "engine_limit_malformed", {{"value", named->substr(0, 32)}});
        return;
    }
    const auto before = admission_.engineRate();
    if (admission_.engineAnswered(perSecond, sentAt, loop_.now())) {
        logEvent(LogLevel::Warning, "engine_limit", {{"per_s", formatRate(perSecond)}, {"before", formatRate(before)}});
        armAdmissionTimer();
    }
}

void Agent::setEngineDown(bool isDown)
{
    if (isDown != isEngineDown_) {
        isEngineDown_ = isDown;
        logEvent(LogLevel::Warning, isDown ? "engine_down" : "engine_up");
        // Entries must not send more until the next report is due: each request would cost them a retry.
        housekeep();
    }
}

void Agent::applyCatalogue(CatalogueVersion version, const Catalogue &catalogue)
{
    const auto settled = membership_.settledVersion();
    appliedSettled_ = settled;
    admission_.applyCatalogue(version, catalogue, settled, loop_.now());
    admission_.setDraining(!membership_.mayStartWork(settings_.host, settings_.server));
    fetchMissingVersions();
    runAdmission();
}

void Agent::fetchMissingVersions()
{
    const auto missing = admission_.missingVersions();
    if (missing.empty() || isFetchingVersions_) {
        return;
    }
    isFetchingVersions_ = true;
    const auto version = missing.front();
    table_.read(catalogueRowKey(version), [this, version](const TableReply &reply) {
        isFetchingVersions_ = false;
        DocumentFaults faults;
        const auto catalogue = reply.status == TableStatus::Ok ? readCatalogue(reply.row->value, faults) : std::nullopt;
        if (catalogue) {
            admission_.applyCatalogue(version, *catalogue, membership_.settledVersion(), loop_.now());
            fetchMissingVersions();
            runAdmission();
        }
    });
}

void Agent::housekeep()
{
    ledger_.expire(localTime());
    if (const auto &catalogue = membership_.catalogue(); catalogue && membership_.settledVersion() != appliedSettled_) {
        applyCatalogue(membership_.version(), *catalogue);
    }
    fetchMissingVersions();
    runAdmission();
    const auto report = makeLoadReport();
    for (const auto &[id, session] : sessions_) {
        sendTo(id, report);
    }
}

LoadReport Agent::makeLoadReport()
{
    auto report = admission_.loadReport(loop_.now());
    if (!newPrefixes_.empty()) {
        ++cacheSequence_;
        report.cachedPrefixes = std::exchange(newPrefixes_, {});
    }
    report.cacheSequence = cacheSequence_;
    report.isEngineDown = isEngineDown_;
    return report;
}

void Agent::sendTo(SessionId session, const Message &message)
{
    const auto found = sessions_.find(session);
    if (found != sessions_.end() && found->second.link) {
        found->second.link->send(message);
    }
}

void Agent::sendToPeer(const std::string &peer, const Message &message)
{
    for (const auto &[id, session] : sessions_) {
        if (session.peer == peer) {
            sendTo(id, message);
            return;
        }
    }
}

} // namespace hornbeamlane
