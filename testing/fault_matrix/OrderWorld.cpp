#include "fault_matrix/OrderWorld.h"

#include <algorithm>

namespace hornbeamlane::testing {

using std::chrono::milliseconds;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t agentIndex = 2;
constexpr auto hop = 1ms;
constexpr auto late = 13'000ms;
constexpr auto tableTimeout = 100ms;
constexpr auto executionTime = 20ms;
constexpr auto callDeadline = 1'000ms;
constexpr auto agentClockOffset = 1'000'000ms;
constexpr auto heartbeatInterval = 1'000ms;
const TeamId team("team");
const ServerId server("server");

std::string bodyFor(const Hash128 &digest)
{
    return "answer to " + digest.toString();
}

constexpr std::array<const char *, orderFaultCount> faultNames = {
    "message lost",      "message doubled",    "message doubled late", "message delayed",     "message delayed late",
    "message reordered", "message crossed",    "entry killed",         "entry frozen",        "entry frozen late",
    "agent killed",      "agent frozen",       "agent frozen late",    "agent refuses",       "table down",
    "table slow",        "table replies lost", "table stale",          "sent to other entry", "key reused",
};

} // namespace

std::string toString(OrderFault fault)
{
    return faultNames.at(static_cast<std::size_t>(fault));
}

/** An entry or the agent. A new incarnation drops what was meant for its predecessor's memory. */
struct OrderWorld::Process
{
    std::size_t index = 0;
    Incarnation incarnation;
    std::uint64_t lastSequence = 0;
    milliseconds frozenUntil{0};
    bool isDown = false;
    /** Of an entry: the agent's incarnation on its link; zero if there is no link. */
    Incarnation linkedTo;

    void start(std::uint64_t number)
    {
        incarnation = Incarnation(number);
        lastSequence = 0;
        isDown = false;
    }
};

/** One send by the caller, with the entry's state for it. */
struct OrderWorld::Call
{
    Process *entry = nullptr;
    Incarnation entryIncarnation;
    Hash128 digest;
    std::unique_ptr<ClaimCoordinator> coordinator;
    std::unique_ptr<ResponseAssembler> assembler;
    AttemptId attempt;
    std::string received;
    std::vector<AttemptId> attempts;
    int answers = 0;
    bool isToldNotRun = false;
    std::optional<TimePoint> wakeUp;

    bool isAlive() const
    {
        return !entry->isDown && entry->incarnation == entryIncarnation;
    }
};

struct OrderWorld::Execution
{
    AttemptId attempt;
    Hash128 digest;
};

struct OrderWorld::Message
{
    std::string kind;
    Process &entry;
    bool isTable = false;
    std::function<void()> deliver;
    /** Response frames only: delivers the frame as one of another attempt. */
    std::function<void()> deliverCrossed;
    milliseconds delay = hop;
};

OrderWorld::OrderWorld(std::vector<OrderFaultAt> faults, const DisabledMechanisms &disabled)
    : faults_(std::move(faults))
    , disabled_(disabled)
{
    for (std::size_t i = 0; i < processes_.size(); ++i) {
        processes_.at(i) = std::make_unique<Process>();
        processes_.at(i)->index = i;
        processes_.at(i)->start(i + 1);
    }
    restartAgent();
}

OrderWorld::~OrderWorld() = default;

/** Makes the hook of a disabled mechanism always give the same result. */
template <class... Arguments>
void OrderWorld::disable(const char *mechanism, std::function<bool(Arguments...)> &hook, bool result) const
{
    if (disabled_.contains(mechanism)) {
        hook = [result](const Arguments &...) { return result; };
    }
}

TimePoint OrderWorld::now() const
{
    return TimePoint(time_);
}

milliseconds OrderWorld::agentTime() const
{
    return time_ + agentClockOffset;
}

void OrderWorld::violate(const std::string &invariant, const std::string &detail)
{
    violations_.emplace(invariant, detail + " at " + std::to_string(time_.count()) + " ms");
}

void OrderWorld::at(milliseconds time, std::function<void()> event)
{
    events_.emplace(time, std::move(event));
}

void OrderWorld::atProcess(Process &process, milliseconds time, std::function<void()> event)
{
    at(time, [this, &process, event = std::move(event)] {
        if (process.frozenUntil > time_) {
            atProcess(process, process.frozenUntil, event);
        } else if (!process.isDown) {
            event();
        }
    });
}

void OrderWorld::run()
{
    constexpr std::array<std::pair<milliseconds, std::size_t>, 4> sends = {
        {{0ms, 0}, {1'500ms, 1}, {16s, 0}, {40s, 1}}};
    for (const auto &[time, entry] : sends) {
        at(time, [this, index = entry] { call(index, "order"); });
    }
    while (!events_.empty()) {
        const auto first = events_.begin();
        time_ = first->first;
        const auto event = std::move(first->second);
        events_.erase(first);
        event();
    }
    for (const auto &call : calls_) {
        if (call->answers > 1 || (call->answers == 0 && call->isAlive())) {
            violate("C4", std::to_string(call->answers) + " answers to one send");
        }
    }
}

// Faults --------------------------------------------------------------------------------------------------------------

void OrderWorld::send(Message message)
{
    const auto step = steps_.size();
    steps_.push_back(message.kind);
    if (message.isTable && tableFaultUntil_[OrderFault::TableSlow] > time_) {
        message.delay = 150ms;
    }
    for (const auto &fault : faults_) {
        if (fault.step == step) {
            strike(fault.fault, message);
        }
    }
    if (message.deliver) {
        at(time_ + message.delay, message.deliver);
    }
}

void OrderWorld::strike(OrderFault fault, Message &message)
{
    auto &entry = message.entry;
    auto &agent = *processes_.at(agentIndex);
    switch (fault) {
    case OrderFault::MessageLost:
        message.deliver = nullptr;
        if (!message.isTable) {
            loseLink(entry, 200ms);
        }
        break;
    case OrderFault::MessageDoubled:
    case OrderFault::MessageDoubledLate:
        if (message.deliver) {
            at(time_ + (fault == OrderFault::MessageDoubled ? 150ms : late), message.deliver);
        }
        break;
    case OrderFault::MessageDelayed:
        message.delay = 300ms;
        break;
    case OrderFault::MessageDelayedLate:
        message.delay = late;
        break;
    case OrderFault::MessageReordered:
        message.delay = 4 * hop;
        break;
    case OrderFault::MessageCrossed:
        if (message.deliverCrossed) {
            at(time_ + message.delay, message.deliverCrossed);
        }
        break;
    case OrderFault::EntryKilled:
        entry.isDown = true;
        at(time_ + 50ms, [&entry] { entry.start(entry.incarnation.value() + 10); });
        break;
    case OrderFault::EntryFrozen:
    case OrderFault::EntryFrozenLate:
        entry.frozenUntil = time_ + (fault == OrderFault::EntryFrozen ? 400ms : late);
        break;
    case OrderFault::AgentKilled:
        agent.isDown = true;
        ledger_.reset();
        for (std::size_t i = 0; i < agentIndex; ++i) {
            loseLink(*processes_.at(i), 20ms);
        }
        at(time_ + 50ms, [this, &agent] {
            agent.start(agent.incarnation.value() + 10);
            restartAgent();
        });
        break;
    case OrderFault::AgentFrozen:
    case OrderFault::AgentFrozenLate:
        agent.frozenUntil = time_ + (fault == OrderFault::AgentFrozen ? 400ms : late);
        break;
    case OrderFault::AgentRefuses:
        agentRefuses_ = true;
        break;
    case OrderFault::TableDown:
    case OrderFault::TableSlow:
    case OrderFault::TableRepliesLost:
    case OrderFault::TableStale:
        tableFaultUntil_[fault] = time_ + 3'000ms;
        break;
    case OrderFault::SentToOtherEntry:
    case OrderFault::KeyReused:
        at(time_, [this, &entry, fault] {
            call(1 - entry.index, fault == OrderFault::KeyReused ? "another order" : "order");
        });
        break;
    }
}

void OrderWorld::loseLink(Process &entry, milliseconds after)
{
    atProcess(entry, time_ + after, [this, &entry] {
        entry.linkedTo = Incarnation();
        eachCall(entry,
                 [this](ClaimCoordinator &coordinator, Call &) { return coordinator.onLinkLost(server, now()); });
    });
    atProcess(entry, time_ + after + 100ms, [this, &entry] {
        entry.linkedTo = processes_.at(agentIndex)->incarnation;
        eachCall(entry, [this, &entry](ClaimCoordinator &coordinator, Call &) {
            return coordinator.onLinkUp(server, entry.linkedTo, now());
        });
    });
}

void OrderWorld::restartAgent()
{
    AttemptLedger::Options options{.incarnation = processes_.at(agentIndex)->incarnation};
    disable("incarnation-check", options.isOwnIncarnation, true);
    disable("dispatch-window", options.isWithinWindow, true);
    disable("single-use-attempt", options.acceptsAgain, true);
    disable("void-on-query", options.voidsOnQuery, false);
    ledger_ = std::make_unique<AttemptLedger>(std::move(options));
    if (steps_.empty()) {
        processes_.at(0)->linkedTo = processes_.at(1)->linkedTo = processes_.at(agentIndex)->incarnation;
    }
}

// Entry ---------------------------------------------------------------------------------------------------------------

void OrderWorld::call(std::size_t entryIndex, const std::string &content)
{
    auto &entry = *processes_.at(entryIndex);
    if (entry.isDown) {
        return;
    }
    auto call = std::make_shared<Call>();
    call->entry = &entry;
    call->entryIncarnation = entry.incarnation;
    call->digest = hash128(content);
    ClaimCoordinator::Options options{
        .request = {.team = team, .idempotencyKey = "key", .digest = call->digest, .deadline = now() + callDeadline}};
    options.nextAttempt = [&entry] { return AttemptId{entry.incarnation, ++entry.lastSequence}; };
    options.chooseTarget = [this, &entry]() -> std::optional<ClaimCoordinator::Target> {
        if (entry.linkedTo == Incarnation()) {
            return std::nullopt;
        }
        const auto heard = agentTime() - agentTime() % heartbeatInterval;
        return ClaimCoordinator::Target{server, entry.linkedTo, heard};
    };
    // The first send has no retry left, so that refusals and retries both occur.
    options.takeRetry = [isFirst = calls_.empty()](TimePoint) { return !isFirst; };
    disable("claim-before-dispatch", options.claimsBeforeDispatch, false);
    disable("claim-read-back", options.isOwnClaim, true);
    disable("digest-check", options.isSameRequest, true);
    disable("removal-before-refusal", options.removesBeforeRefusal, false);
    disable("earlier-send-check", options.isFirstSend, true);
    call->coordinator = std::make_unique<ClaimCoordinator>(std::move(options));
    calls_.push_back(call);
    atProcess(entry, time_,
              [this, call] { step(call, [this](ClaimCoordinator &coordinator) { return coordinator.start(now()); }); });
}

void OrderWorld::step(const std::shared_ptr<Call> &call, const std::function<ClaimActions(ClaimCoordinator &)> &input)
{
    if (!call->isAlive()) {
        return;
    }
    for (const auto &action : input(*call->coordinator)) {
        carryOut(call, action);
    }
    const auto wakeUp = call->coordinator->nextWakeUp();
    if (wakeUp && wakeUp != call->wakeUp) {
        call->wakeUp = wakeUp;
        const auto time = std::chrono::duration_cast<milliseconds>(wakeUp->time_since_epoch());
        atProcess(*call->entry, std::max(time, time_), [this, call, wakeUp] {
            if (call->wakeUp == wakeUp) {
                call->wakeUp.reset();
                step(call, [this](ClaimCoordinator &coordinator) { return coordinator.onTime(now()); });
            }
        });
    }
}

void OrderWorld::eachCall(const Process &entry, const std::function<ClaimActions(ClaimCoordinator &, Call &)> &input)
{
    const auto calls = calls_;
    for (const auto &call : calls) {
        if (call->entry == &entry) {
            step(call, [&](ClaimCoordinator &coordinator) { return input(coordinator, *call); });
        }
    }
}

void OrderWorld::sendToAgent(Process &entry, const char *kind, std::function<void()> receive)
{
    send({kind, entry, false,
          [this, receive = std::move(receive)] { atProcess(*processes_.at(agentIndex), time_, receive); }});
}

void OrderWorld::sendToEntry(Process &entry, const char *kind, std::function<ClaimActions(ClaimCoordinator &)> receive)
{
    send({kind, entry, false, [this, &entry, receive = std::move(receive)] {
              atProcess(entry, time_, [this, &entry, receive] {
                  eachCall(entry, [&receive](ClaimCoordinator &coordinator, Call &) { return receive(coordinator); });
              });
          }});
}

void OrderWorld::carryOut(const std::shared_ptr<Call> &call, const ClaimAction &action)
{
    auto &entry = *call->entry;
    if (const auto *write = std::get_if<WriteClaimRow>(&action)) {
        constexpr std::array kinds = {"claim write", "record write", "unknown write"};
        ClaimDecodeFailure failure = ClaimDecodeFailure::None;
        const auto state = decodeClaim(write->write.value, failure)->state;
        requestTable(call, write->operation, kinds.at(static_cast<std::size_t>(state)),
                     [this, write = write->write] { return writeTable(write); });
    } else if (const auto *removal = std::get_if<RemoveClaimRow>(&action)) {
        requestTable(call, removal->operation, "claim removal", [this, removal = *removal] {
            return writeTable({removal.key, removal.expectedVersion, ""});
        });
    } else if (const auto *readRow = std::get_if<ReadClaimRow>(&action)) {
        requestTable(call, readRow->operation, "row read", [this] { return readTable(); });
    } else if (const auto *dispatched = std::get_if<DispatchAttempt>(&action)) {
        dispatch(call, *dispatched);
    } else if (const auto *query = std::get_if<QueryAttemptState>(&action)) {
        sendToAgent(entry, "query", [this, &entry, query = query->query] {
            sendToEntry(entry, "attempt status",
                        [this, status = ledger_->query(query, agentTime())](ClaimCoordinator &coordinator) {
                            return coordinator.onAttemptStatus(status, now());
                        });
        });
    } else if (const auto *confirmed = std::get_if<ConfirmRecorded>(&action)) {
        sendToAgent(entry, "result recorded",
                    [this, recorded = confirmed->recorded] { ledger_->onRecorded(recorded); });
    } else if (const auto *answer = std::get_if<AnswerCaller>(&action)) {
        ++call->answers;
        if (answer->response.body != bodyFor(call->digest)) {
            violate("C4", "answer '" + answer->response.body + "'");
        }
    } else if (const auto *refused = std::get_if<RefuseCaller>(&action)) {
        ++call->answers;
        call->isToldNotRun = refused->refusal.execution == ExecutionState::NotRun;
        const bool hasRun = std::any_of(executions_.begin(), executions_.end(),
                                        [&](const Execution &execution) { return execution.digest == call->digest; });
        if (call->isToldNotRun && hasRun) {
            violate("C5", "told not run (" + refused->refusal.detail + ") after it ran");
        }
    }
}

void OrderWorld::dispatch(const std::shared_ptr<Call> &call, const DispatchAttempt &action)
{
    auto &entry = *call->entry;
    call->attempt = action.attempt;
    call->attempts.push_back(action.attempt);
    call->received.clear();
    ResponseAssembler::Options options{.attempt = action.attempt};
    disable("attempt-match", options.isSameAttempt, true);
    disable("sequence-check", options.isNextSequence, true);
    call->assembler = std::make_unique<ResponseAssembler>(std::move(options));
    if (action.targetIncarnation != entry.linkedTo) {
        atProcess(entry, time_, [this, call, attempt = action.attempt] {
            step(call, [&](ClaimCoordinator &coordinator) { return coordinator.onDispatchNotSent(attempt, now()); });
        });
        return;
    }
    sendToAgent(entry, "dispatch",
                [this, &entry,
                 dispatch = Dispatch{.attempt = action.attempt,
                                     .targetIncarnation = action.targetIncarnation,
                                     .validUntil = action.validUntil,
                                     .fingerprint = call->digest,
                                     .idempotencyKey = "key"}] { receiveDispatch(entry, dispatch); });
}

// Table ---------------------------------------------------------------------------------------------------------------

TableReply OrderWorld::writeTable(const TableWrite &write)
{
    const auto version = versions_.empty() ? RowVersion() : versions_.back().version;
    if (version != write.expectedVersion) {
        return {TableStatus::Conflict, std::nullopt};
    }
    const bool isRemoval = write.value.empty();
    versions_.push_back({write.key, isRemoval ? RowVersion() : RowVersion(versions_.size() + 1), write.value});
    return {TableStatus::Ok, TableRow{write.key, versions_.back().version, ""}};
}

TableReply OrderWorld::readTable()
{
    const std::size_t age = tableFaultUntil_[OrderFault::TableStale] > time_ ? 2 : 1;
    if (versions_.size() < age || versions_[versions_.size() - age].version == RowVersion()) {
        return {TableStatus::NotFound, std::nullopt};
    }
    return {TableStatus::Ok, versions_[versions_.size() - age]};
}

void OrderWorld::requestTable(const std::shared_ptr<Call> &call, TableOperation operation, const std::string &kind,
                              std::function<TableReply()> apply)
{
    const auto isReplied = std::make_shared<bool>(false);
    const auto reply = [this, call, operation, isReplied](const TableReply &received) {
        atProcess(*call->entry, time_, [this, call, operation, isReplied, received] {
            if (!std::exchange(*isReplied, true)) {
                step(call, [&](ClaimCoordinator &c) { return c.onTableReply(operation, received, now()); });
            }
        });
    };
    at(time_ + tableTimeout, [reply] { reply({TableStatus::NoReply, std::nullopt}); });
    send({kind, *call->entry, true, [this, call, kind, reply, apply = std::move(apply)] {
              const bool isDown = tableFaultUntil_[OrderFault::TableDown] > time_;
              const auto result = isDown ? TableReply{TableStatus::Unavailable, std::nullopt} : apply();
              if (tableFaultUntil_[OrderFault::TableRepliesLost] <= time_) {
                  send({kind + " reply", *call->entry, true, [reply, result] { reply(result); }});
              }
          }});
}

// Agent ---------------------------------------------------------------------------------------------------------------

void OrderWorld::receiveDispatch(Process &entry, const Dispatch &dispatch)
{
    auto &agent = *processes_.at(agentIndex);
    auto decision = ledger_->accept(dispatch, agentTime());
    if (decision.verdict == AttemptLedger::Verdict::Accepted && std::exchange(agentRefuses_, false)) {
        ledger_->refuse(dispatch.attempt, agentTime());
        decision = {AttemptLedger::Verdict::Refused, {RefusalReason::Overloaded, ExecutionState::NotRun}};
    }
    if (decision.verdict == AttemptLedger::Verdict::Refused) {
        sendToEntry(entry, "rejected",
                    [this, sender = agent.incarnation, rejected = Rejected{dispatch.attempt, decision.refusal}](
                        ClaimCoordinator &coordinator) { return coordinator.onRejected(rejected, sender, now()); });
        return;
    }
    if (decision.verdict == AttemptLedger::Verdict::Ignored) {
        return;
    }
    executions_.push_back({dispatch.attempt, dispatch.fingerprint});
    if (executions_.size() > 1) {
        violate("C6", "ran as " + executions_.front().attempt.toString() + " and " + dispatch.attempt.toString());
    }
    for (const auto &call : calls_) {
        const auto &own = call->attempts;
        if (call->isToldNotRun && std::find(own.begin(), own.end(), dispatch.attempt) != own.end()) {
            violate("C5", "an attempt ran after its caller was told not run");
        }
    }
    atProcess(agent, time_ + executionTime, [this, &entry, &agent, dispatch, incarnation = agent.incarnation] {
        if (agent.incarnation == incarnation) {
            const auto body = bodyFor(dispatch.fingerprint);
            ledger_->complete(dispatch.attempt, {.status = 200, .contentType = "text/plain", .body = body},
                              agentTime());
            respond(entry, dispatch.attempt, body);
        }
    });
}

void OrderWorld::respond(Process &entry, const AttemptId &attempt, const std::string &body)
{
    using Result = ResponseAssembler::Result;
    const auto sendFrame = [&](const char *kind, auto receive) {
        const auto deliverAs = [this, &entry, receive](const AttemptId &id, bool isCrossed) {
            return [this, &entry, receive, id, isCrossed] {
                atProcess(entry, time_, [this, &entry, receive, id, isCrossed] {
                    eachCall(entry, [&](ClaimCoordinator &coordinator, Call &call) -> ClaimActions {
                        const auto result = call.assembler ? receive(call, id, isCrossed) : Result::Dropped;
                        if (result == Result::Failed) {
                            return coordinator.onLinkLost(server, now());
                        }
                        return result == Result::Completed
                            ? coordinator.onResponse(call.attempt, {200, "text/plain", call.received}, now())
                            : ClaimActions();
                    });
                });
            };
        };
        send({kind, entry, false, deliverAs(attempt, false), deliverAs({Incarnation(99), 1}, true)});
    };
    sendFrame("response head", [](Call &call, const AttemptId &id, bool) {
        return call.assembler->onHead({.attempt = id, .sequence = 0});
    });
    const auto half = body.size() / 2;
    for (std::uint64_t part = 0; part < 2; ++part) {
        const auto bytes = part == 0 ? body.substr(0, half) : body.substr(half);
        sendFrame("response data", [bytes, part](Call &call, const AttemptId &id, bool isCrossed) {
            const auto sent = isCrossed ? std::string("another caller's answer") : bytes;
            const auto result = call.assembler->onData({.attempt = id, .sequence = part + 1, .bytes = sent});
            if (result == Result::Accepted) {
                call.received += sent;
                call.assembler->passToCaller(sent.size());
            }
            return result;
        });
    }
    sendFrame("response end", [](Call &call, const AttemptId &id, bool) {
        return call.assembler->onEnd({.attempt = id, .sequence = 3});
    });
}

} // namespace hornbeamlane::testing
