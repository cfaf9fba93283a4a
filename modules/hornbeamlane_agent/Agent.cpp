#include "hornbeamlane_agent/Agent.h"

#include "hornbeamlane_observability/hornbeamlane_observability.h"

namespace hornbeamlane {

namespace {

/** Concurrency before the catalogue is known. */
constexpr std::uint32_t initialConcurrency = 2;

} // namespace

Agent::Agent(EventLoop &loop, RandomSource &random, AgentSettings settings)
    : loop_(loop)
    , settings_(std::move(settings))
    , incarnation_(random.incarnation())
    , listener_(loop, [this](std::intptr_t socket) { acceptSession(socket); })
    , loadTimer_(loop, [this] { broadcastLoad(); })
{
}

Agent::~Agent() = default;

bool Agent::start()
{
    if (!listener_.listen(settings_.linkAddress)) {
        return false;
    }
    loadTimer_.startRepeating(settings_.loadReportInterval);
    logEvent(LogLevel::Info, "listening", {{"link_port", std::to_string(listener_.port())}});
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
    broadcastLoad();
    if (running_.empty()) {
        loop_.post(whenIdle_);
    }
}

std::chrono::milliseconds Agent::localTime() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(loop_.now().time_since_epoch());
}

Hello Agent::hello() const
{
    return {.role = ProcessRole::Agent,
            .name = settings_.server.name(),
            .incarnation = incarnation_,
            .dataCentre = settings_.dataCentre,
            .localTime = localTime()};
}

Heartbeat Agent::heartbeat() const
{
    return {.localTime = localTime(), .leaving = isLeaving_};
}

void Agent::acceptSession(std::intptr_t socket)
{
    const auto session = ++lastSession_;
    Link::Callbacks callbacks;
    callbacks.received = [this, session](const Message &message) { handleMessage(session, message); };
    callbacks.closed = [this, session](LinkEnd end, DecodeFailure) { handleSessionClosed(session, end); };
    callbacks.opened = [this, session](const Hello &peer) {
        logEvent(LogLevel::Info, "link_opened", {{"peer", peer.name}, {"session", std::to_string(session)}});
    };
    sessions_[session].link =
        Link::accept(loop_, socket, {.hello = [this] { return hello(); }, .heartbeat = [this] { return heartbeat(); }},
                     std::move(callbacks));
}

void Agent::handleSessionClosed(SessionId session, LinkEnd end)
{
    logEvent(LogLevel::Info, "link_closed",
             {{"session", std::to_string(session)}, {"reason", std::string(toString(end))}});
    loop_.post([this, session] { sessions_.erase(session); });
    std::vector<AttemptId> abandoned;
    for (auto &[id, running] : running_) {
        if (running.session == session) {
            abandoned.push_back(id);
        }
    }
    for (const auto &id : abandoned) {
        removeAttempt(id);
    }
}

void Agent::handleMessage(SessionId session, const Message &message)
{
    if (const auto *dispatch = std::get_if<Dispatch>(&message)) {
        handleDispatch(session, *dispatch);
    } else if (const auto *cancel = std::get_if<Cancel>(&message)) {
        removeAttempt(cancel->attempt);
    } else if (const auto *credit = std::get_if<Credit>(&message)) {
        const auto found = running_.find(credit->attempt);
        if (found != running_.end()) {
            found->second.attempt->addCredit(credit->bytes);
        }
    }
}

void Agent::handleDispatch(SessionId session, const Dispatch &dispatch)
{
    if (isLeaving_) {
        reject(session, dispatch.attempt,
               {.reason = RefusalReason::Draining, .execution = ExecutionState::NotRun, .detail = "agent is leaving"});
        return;
    }
    if (running_.size() >= initialConcurrency) {
        reject(session, dispatch.attempt,
               {.reason = RefusalReason::Overloaded, .execution = ExecutionState::NotRun, .detail = "server is full"});
        return;
    }
    startAttempt(session, dispatch);
}

void Agent::startAttempt(SessionId session, const Dispatch &dispatch)
{
    const auto id = dispatch.attempt;
    EngineAttempt::Callbacks callbacks;
    callbacks.message = [this, session](const Message &message) { sendTo(session, message); };
    callbacks.firstByte = [] {};
    callbacks.data = [](std::size_t) {};
    callbacks.finished = [this, id](const EngineAttempt::Result &result) { handleFinished(id, result); };
    auto &running = running_[id];
    running.session = session;
    running.attempt = std::make_unique<EngineAttempt>(
        loop_, EngineAttempt::Options{.engineAddress = settings_.engineAddress}, dispatch, std::move(callbacks));
}

void Agent::handleFinished(const AttemptId &attempt, const EngineAttempt::Result &result)
{
    const auto found = running_.find(attempt);
    if (found == running_.end()) {
        return;
    }
    if (!result.isComplete) {
        reject(found->second.session, attempt, result.refusal);
    }
    removeAttempt(attempt);
}

void Agent::removeAttempt(const AttemptId &attempt)
{
    const auto found = running_.find(attempt);
    if (found == running_.end()) {
        return;
    }
    // The attempt may be in the middle of its own callback, so it is destroyed on the next turn.
    std::shared_ptr<EngineAttempt> keep = std::move(found->second.attempt);
    running_.erase(found);
    loop_.post([keep] {});
    if (isLeaving_ && running_.empty() && whenIdle_) {
        loop_.post(whenIdle_);
    }
}

void Agent::reject(SessionId session, const AttemptId &attempt, const Refusal &refusal)
{
    logEvent(LogLevel::Info, "attempt_rejected",
             {{"attempt", attempt.toString()},
              {"reason", std::string(toString(refusal.reason))},
              {"execution", std::string(toString(refusal.execution))}});
    sendTo(session, Rejected{.attempt = attempt, .refusal = refusal});
}

void Agent::sendTo(SessionId session, const Message &message)
{
    const auto found = sessions_.find(session);
    if (found != sessions_.end() && found->second.link) {
        found->second.link->send(message);
    }
}

void Agent::broadcastLoad()
{
    const LoadReport report{
        .inFlight = static_cast<std::uint32_t>(running_.size()), .limit = initialConcurrency, .leaving = isLeaving_};
    for (const auto &[id, session] : sessions_) {
        sendTo(id, report);
    }
}

} // namespace hornbeamlane
