#include "fault_matrix/OrderWorld.h"

#include "hornbeamlane_orders/hornbeamlane_orders.h"

#include <algorithm>
#include <array>
#include <memory>

namespace hornbeamlane::testing {

namespace {

using std::chrono::milliseconds;
using namespace std::chrono_literals;

constexpr auto hop = 1ms;
/** Longer than the dispatch window. */
constexpr auto late = 13'000ms;
constexpr auto tableTimeout = 100ms;
constexpr auto tableFaultTime = 3'000ms;
constexpr auto executionTime = 20ms;
constexpr auto callDeadline = 1'000ms;
constexpr auto agentClockOffset = 1'000'000ms;
constexpr auto heartbeatInterval = 1'000ms;
constexpr auto restartTime = 50ms;
const ServerId server("server");

std::string bodyFor(const Hash128 &digest)
{
    return "answer to " + digest.toString();
}

/** An entry or the agent. */
struct Process
{
    Incarnation incarnation;
    std::uint64_t lastSequence = 0;
    milliseconds frozenUntil{0};
    bool isDown = false;
    /** Of an entry: the agent's incarnation on its link; zero if there is no link. */
    Incarnation linkedTo{};
};

/** One send by the caller, with the entry's state for it. */
struct Call
{
    Process &entry;
    Hash128 digest;
    Incarnation entryIncarnation = entry.incarnation;
    std::unique_ptr<ClaimCoordinator> coordinator{};
    std::unique_ptr<ResponseAssembler> assembler{};
    std::vector<AttemptId> attempts{};
    std::string received{};
    int answers = 0;
    bool isToldNotRun = false;
    std::optional<TimePoint> wakeUp{};

    bool isAlive() const
    {
        return !entry.isDown && entry.incarnation == entryIncarnation;
    }
};

using CallPointer = std::shared_ptr<Call>;
using Input = std::function<ClaimActions(ClaimCoordinator &)>;

struct Message
{
    std::string kind;
    Process &entry;
    bool isTable = false;
    std::function<void()> deliver;
    /** Response frames only: delivers the frame as one of another attempt. */
    std::function<void()> deliverCrossed{};
    milliseconds delay = hop;
};

class OrderWorld final
{
public:
    OrderWorld(const std::vector<OrderFaultAt> &faults, const DisabledMechanisms &disabled)
        : faults_(faults)
        , disabled_(disabled)
    {
        startAgent();
        first_.linkedTo = second_.linkedTo = agent_.incarnation;
    }

    OrderRun run()
    {
        at(0ms, [this] { call(first_, "order"); });
        at(1'500ms, [this] { call(second_, "order"); });
        at(16s, [this] { call(first_, "order"); });
        at(40s, [this] { call(second_, "order"); });
        while (!events_.empty()) {
            time_ = events_.begin()->first;
            events_.extract(events_.begin()).mapped()();
        }
        for (const auto &call : calls_) {
            if (call->answers > 1 || (call->answers == 0 && call->isAlive())) {
                violate("C4", std::to_string(call->answers) + " answers to one send");
            }
        }
        return run_;
    }

    void delay(Message &message, milliseconds delay)
    {
        message.delay = delay;
    }

    void lose(Message &message)
    {
        message.deliver = nullptr;
        if (!message.isTable) {
            loseLink(message.entry, 200ms);
        }
    }

    void repeat(const std::function<void()> &deliver, milliseconds after)
    {
        if (deliver) {
            at(time_ + after, deliver);
        }
    }

    void kill(Process &process)
    {
        process.isDown = true;
        at(time_ + restartTime, [&process] {
            process = {.incarnation = Incarnation(process.incarnation.value() + 10), .linkedTo = process.linkedTo};
        });
    }

    void killAgent()
    {
        kill(agent_);
        at(time_ + restartTime, [this] { startAgent(); });
        loseLink(first_, 20ms);
        loseLink(second_, 20ms);
    }

    void freeze(Process &process, milliseconds duration)
    {
        process.frozenUntil = time_ + duration;
    }

    void freezeAgent(milliseconds duration)
    {
        freeze(agent_, duration);
    }

    void refuseNext()
    {
        agentRefuses_ = true;
    }

    void disturbTable(milliseconds &until)
    {
        until = time_ + tableFaultTime;
    }

    void callOther(const Process &entry, const std::string &content)
    {
        at(time_, [this, &other = &entry == &first_ ? second_ : first_, content] { call(other, content); });
    }

    milliseconds tableDownUntil{0};
    milliseconds tableSlowUntil{0};
    milliseconds tableSilentUntil{0};
    milliseconds tableStaleUntil{0};

private:
    TimePoint now() const
    {
        return TimePoint(time_);
    }

    milliseconds agentTime() const
    {
        return time_ + agentClockOffset;
    }

    void violate(const std::string &invariant, const std::string &detail)
    {
        run_.violations.emplace(invariant, detail + " at " + std::to_string(time_.count()) + " ms");
    }

    /** Makes the hook of a disabled mechanism always give the same result. */
    template <class... Arguments>
    void disable(const char *mechanism, std::function<bool(Arguments...)> &hook, bool result) const
    {
        if (disabled_.contains(mechanism)) {
            hook = [result](const Arguments &...) { return result; };
        }
    }

    void at(milliseconds time, std::function<void()> event)
    {
        events_.emplace(time, std::move(event));
    }

    void atProcess(Process &process, milliseconds time, std::function<void()> event)
    {
        at(time, [this, &process, event = std::move(event)] {
            if (process.frozenUntil > time_) {
                atProcess(process, process.frozenUntil, event);
            } else if (!process.isDown) {
                event();
            }
        });
    }

    void send(Message message);

    void sendToAgent(Process &entry, const char *kind, std::function<void()> receive)
    {
        send({kind, entry, false, [this, receive = std::move(receive)] { atProcess(agent_, time_, receive); }});
    }

    void sendToEntry(Process &entry, const char *kind, const Input &receive)
    {
        send({kind, entry, false, [this, &entry, receive] {
                  atProcess(entry, time_, [this, &entry, receive] { eachCall(entry, receive); });
              }});
    }

    void loseLink(Process &entry, milliseconds after)
    {
        atProcess(entry, time_ + after, [this, &entry] {
            entry.linkedTo = Incarnation();
            eachCall(entry, [this](auto &coordinator) { return coordinator.onLinkLost(server, now()); });
        });
        atProcess(entry, time_ + after + 100ms, [this, &entry] {
            entry.linkedTo = agent_.incarnation;
            eachCall(entry, [&](auto &coordinator) { return coordinator.onLinkUp(server, entry.linkedTo, now()); });
        });
    }

    // Entry

    void call(Process &entry, const std::string &content)
    {
        if (entry.isDown) {
            return;
        }
        auto call = std::make_shared<Call>(Call{.entry = entry, .digest = hash128(content)});
        ClaimCoordinator::Options options{.request = {.team = TeamId("team"),
                                                      .idempotencyKey = "key",
                                                      .digest = call->digest,
                                                      .deadline = now() + callDeadline}};
        options.nextAttempt = [&entry] { return AttemptId{entry.incarnation, ++entry.lastSequence}; };
        options.chooseTarget = [this, &entry]() -> std::optional<ClaimCoordinator::Target> {
            const auto heard = agentTime() - agentTime() % heartbeatInterval;
            const bool isLinked = entry.linkedTo != Incarnation();
            return isLinked ? std::optional(ClaimCoordinator::Target{server, entry.linkedTo, heard}) : std::nullopt;
        };
        // The first send has no retry left, so that refusals and retries both occur.
        options.takeRetry = [isFirst = calls_.empty()](TimePoint) { return !isFirst; };
        disable("claim-before-dispatch", options.claimsBeforeDispatch, false);
        disable("claim-read-back", options.isOwnClaim, true);
        disable("digest-check", options.isSameRequest, true);
        disable("removal-before-refusal", options.removesBeforeRefusal, false);
        disable("earlier-send-check", options.isFirstSend, true);
        disable("deadline-check", options.isCallerWaiting, true);
        call->coordinator = std::make_unique<ClaimCoordinator>(std::move(options));
        calls_.push_back(call);
        atProcess(entry, time_, [this, call] { step(call, [this](auto &c) { return c.start(now()); }); });
    }

    void step(const CallPointer &call, const Input &input)
    {
        if (!call->isAlive()) {
            return;
        }
        for (const auto &action : input(*call->coordinator)) {
            std::visit([&](const auto &value) { carryOut(call, value); }, action);
        }
        const auto wakeUp = call->coordinator->nextWakeUp();
        if (!wakeUp || wakeUp == call->wakeUp) {
            return;
        }
        call->wakeUp = wakeUp;
        const auto time = std::chrono::duration_cast<milliseconds>(wakeUp->time_since_epoch());
        atProcess(call->entry, std::max(time, time_), [this, call, wakeUp] {
            if (call->wakeUp == wakeUp) {
                call->wakeUp.reset();
                step(call, [this](auto &c) { return c.onTime(now()); });
            }
        });
    }

    void eachCall(const Process &entry, const Input &input)
    {
        for (const auto &call : std::vector(calls_)) {
            if (&call->entry == &entry) {
                step(call, input);
            }
        }
    }

    void carryOut(const CallPointer &call, const WriteClaimRow &action)
    {
        // Decoding the row would double the run time of a cell.
        const auto has = [&](const char *state) { return action.write.value.find(state) != std::string::npos; };
        requestTable(call, action.operation,
                     has("\"claimed\"") ? "claim write" : (has("\"done\"") ? "record write" : "unknown write"),
                     [this, write = action.write] { return writeTable(write); });
    }

    void carryOut(const CallPointer &call, const ReadClaimRow &action)
    {
        requestTable(call, action.operation, "row read", [this] { return readTable(); });
    }

    void carryOut(const CallPointer &call, const RemoveClaimRow &action)
    {
        requestTable(call, action.operation, "claim removal", [this, action] {
            return writeTable({action.key, action.expectedVersion, ""});
        });
    }

    void carryOut(const CallPointer &call, const DispatchAttempt &action)
    {
        auto &entry = call->entry;
        call->attempts.push_back(action.attempt);
        call->received.clear();
        ResponseAssembler::Options options{.attempt = action.attempt};
        disable("attempt-match", options.isSameAttempt, true);
        disable("sequence-check", options.isNextSequence, true);
        call->assembler = std::make_unique<ResponseAssembler>(std::move(options));
        if (action.targetIncarnation != entry.linkedTo) {
            atProcess(entry, time_, [this, call, action] {
                step(call, [&](auto &c) { return c.onDispatchNotSent(action.attempt, now()); });
            });
            return;
        }
        const Dispatch dispatch{.attempt = action.attempt,
                                .targetIncarnation = action.targetIncarnation,
                                .validUntil = action.validUntil,
                                .fingerprint = call->digest,
                                .idempotencyKey = "key"};
        sendToAgent(entry, "dispatch", [this, &entry, dispatch] { receiveDispatch(entry, dispatch); });
    }

    void carryOut(const CallPointer &call, const QueryAttemptState &action)
    {
        sendToAgent(call->entry, "query", [this, &entry = call->entry, query = action.query] {
            const auto status = ledger_->query(query, agentTime());
            sendToEntry(entry, "attempt status", [=, this](auto &c) { return c.onAttemptStatus(status, now()); });
        });
    }

    void carryOut(const CallPointer &call, const ConfirmRecorded &action)
    {
        sendToAgent(call->entry, "result recorded", [this, action] { ledger_->onRecorded(action.recorded); });
    }

    void carryOut(const CallPointer &call, const AnswerCaller &action)
    {
        ++call->answers;
        if (action.response.body != bodyFor(call->digest)) {
            violate("C4", "answer '" + action.response.body + "'");
        }
    }

    void carryOut(const CallPointer &call, const RefuseCaller &action)
    {
        ++call->answers;
        call->isToldNotRun = action.refusal.execution == ExecutionState::NotRun;
        if (call->isToldNotRun && std::find(executed_.begin(), executed_.end(), call->digest) != executed_.end()) {
            violate("C5", "told not run (" + action.refusal.detail + ") after it ran");
        }
    }

    // Table

    TableReply writeTable(const TableWrite &write)
    {
        if (write.expectedVersion != (versions_.empty() ? RowVersion() : versions_.back().version)) {
            return {TableStatus::Conflict, std::nullopt};
        }
        const bool isRemoval = write.value.empty();
        versions_.push_back({write.key, RowVersion(isRemoval ? 0 : versions_.size() + 1), write.value});
        return {TableStatus::Ok, TableRow{write.key, versions_.back().version, ""}};
    }

    TableReply readTable() const
    {
        const std::size_t age = tableStaleUntil > time_ ? 2 : 1;
        if (versions_.size() < age || versions_[versions_.size() - age].version == RowVersion()) {
            return {TableStatus::NotFound, std::nullopt};
        }
        return {TableStatus::Ok, versions_[versions_.size() - age]};
    }

    void requestTable(const CallPointer &call, TableOperation operation, const std::string &kind,
                      std::function<TableReply()> apply)
    {
        const auto reply = [this, call, operation,
                            isReplied = std::make_shared<bool>(false)](const TableReply &result) {
            atProcess(call->entry, time_, [=, this] {
                if (!std::exchange(*isReplied, true)) {
                    step(call, [&](auto &c) { return c.onTableReply(operation, result, now()); });
                }
            });
        };
        at(time_ + tableTimeout, [reply] { reply({TableStatus::NoReply, std::nullopt}); });
        send({kind, call->entry, true, [this, call, kind, reply, apply = std::move(apply)] {
                  const auto result =
                      tableDownUntil > time_ ? TableReply{TableStatus::Unavailable, std::nullopt} : apply();
                  if (tableSilentUntil <= time_) {
                      send({kind + " reply", call->entry, true, [reply, result] { reply(result); }});
                  }
              }});
    }

    // Agent

    void startAgent()
    {
        AttemptLedger::Options options{.incarnation = agent_.incarnation};
        disable("incarnation-check", options.isOwnIncarnation, true);
        disable("dispatch-window", options.isWithinWindow, true);
        disable("single-use-attempt", options.acceptsAgain, true);
        disable("void-on-query", options.voidsOnQuery, false);
        ledger_ = std::make_unique<AttemptLedger>(std::move(options));
    }

    void receiveDispatch(Process &entry, const Dispatch &dispatch)
    {
        auto decision = ledger_->accept(dispatch, agentTime());
        if (decision.verdict == AttemptLedger::Verdict::Accepted && std::exchange(agentRefuses_, false)) {
            ledger_->refuse(dispatch.attempt, agentTime());
            decision = {AttemptLedger::Verdict::Refused, {RefusalReason::Overloaded, ExecutionState::NotRun}};
        }
        if (decision.verdict == AttemptLedger::Verdict::Refused) {
            const Rejected rejected{dispatch.attempt, decision.refusal};
            sendToEntry(entry, "rejected", [this, rejected, sender = agent_.incarnation](auto &c) {
                return c.onRejected(rejected, sender, now());
            });
        }
        if (decision.verdict != AttemptLedger::Verdict::Accepted) {
            return;
        }
        executed_.push_back(dispatch.fingerprint);
        if (executed_.size() > 1) {
            violate("C6", "ran again as " + dispatch.attempt.toString());
        }
        for (const auto &call : calls_) {
            const auto &own = call->attempts;
            if (call->isToldNotRun && std::find(own.begin(), own.end(), dispatch.attempt) != own.end()) {
                violate("C5", "an attempt ran after its caller was told not run");
            }
        }
        atProcess(agent_, time_ + executionTime, [this, &entry, dispatch, incarnation = agent_.incarnation] {
            if (agent_.incarnation == incarnation) {
                const auto body = bodyFor(dispatch.fingerprint);
                ledger_->complete(dispatch.attempt, {.status = 200, .body = body}, agentTime());
                respond(entry, dispatch.attempt, body);
            }
        });
    }

    using Frame = std::function<ResponseAssembler::Result(Call &, const AttemptId &, bool isCrossed)>;

    void receiveFrame(Process &entry, const Frame &frame, const AttemptId &attempt, bool isCrossed)
    {
        for (const auto &call : std::vector(calls_)) {
            if (&call->entry != &entry || !call->isAlive() || !call->assembler) {
                continue;
            }
            const auto result = frame(*call, attempt, isCrossed);
            if (result == ResponseAssembler::Result::Failed) {
                step(call, [this](auto &c) { return c.onLinkLost(server, now()); });
            } else if (result == ResponseAssembler::Result::Completed) {
                step(call, [&](auto &c) {
                    return c.onResponse(call->attempts.back(), {.status = 200, .body = call->received}, now());
                });
            }
        }
    }

    void sendFrame(Process &entry, const char *kind, const AttemptId &attempt, const Frame &frame)
    {
        const auto deliverAs = [&](const AttemptId &id, bool isCrossed) {
            return [=, this, &entry] {
                atProcess(entry, time_, [=, this, &entry] { receiveFrame(entry, frame, id, isCrossed); });
            };
        };
        send({kind, entry, false, deliverAs(attempt, false), deliverAs({Incarnation(99), 1}, true)});
    }

    void respond(Process &entry, const AttemptId &attempt, const std::string &body)
    {
        sendFrame(entry, "response head", attempt, [](Call &call, const AttemptId &id, bool) {
            return call.assembler->onHead({id, 0});
        });
        const auto half = body.size() / 2;
        for (std::uint64_t part = 0; part < 2; ++part) {
            const auto sent = part == 0 ? body.substr(0, half) : body.substr(half);
            sendFrame(entry, "response data", attempt, [=](Call &call, const AttemptId &id, bool isCrossed) {
                const auto bytes = isCrossed ? "another caller's answer" : sent;
                const auto result = call.assembler->onData({id, part + 1, bytes});
                if (result == ResponseAssembler::Result::Accepted) {
                    call.received += bytes;
                    call.assembler->passToCaller(bytes.size());
                }
                return result;
            });
        }
        sendFrame(entry, "response end", attempt, [](Call &call, const AttemptId &id, bool) {
            return call.assembler->onEnd({id, 3});
        });
    }

    const std::vector<OrderFaultAt> &faults_;
    const DisabledMechanisms &disabled_;
    OrderRun run_;
    milliseconds time_{0};
    std::multimap<milliseconds, std::function<void()>> events_;
    /** All versions of the only row; a removed row has the version of an absent one. */
    std::vector<TableRow> versions_;
    Process first_{.incarnation = Incarnation(1)};
    Process second_{.incarnation = Incarnation(2)};
    Process agent_{.incarnation = Incarnation(3)};
    std::unique_ptr<AttemptLedger> ledger_;
    bool agentRefuses_ = false;
    std::vector<CallPointer> calls_;
    /** Digest of each request that reached the executor. */
    std::vector<Hash128> executed_;
};

struct Fault
{
    const char *name;
    void (*strike)(OrderWorld &world, Message &message);
};

constexpr Fault faultTable[] = {
    {"message lost", [](OrderWorld &world, Message &message) { world.lose(message); }},
    {"message doubled", [](OrderWorld &world, Message &message) { world.repeat(message.deliver, 150ms); }},
    {"message doubled late", [](OrderWorld &world, Message &message) { world.repeat(message.deliver, late); }},
    {"message delayed", [](OrderWorld &world, Message &message) { world.delay(message, 300ms); }},
    {"message delayed late", [](OrderWorld &world, Message &message) { world.delay(message, late); }},
    {"message reordered", [](OrderWorld &world, Message &message) { world.delay(message, 4 * hop); }},
    {"message crossed", [](OrderWorld &world, Message &message) { world.repeat(message.deliverCrossed, hop); }},
    {"entry killed", [](OrderWorld &world, Message &message) { world.kill(message.entry); }},
    {"entry frozen", [](OrderWorld &world, Message &message) { world.freeze(message.entry, 400ms); }},
    {"entry frozen late", [](OrderWorld &world, Message &message) { world.freeze(message.entry, late); }},
    {"agent killed", [](OrderWorld &world, Message &) { world.killAgent(); }},
    {"agent frozen", [](OrderWorld &world, Message &) { world.freezeAgent(400ms); }},
    {"agent frozen late", [](OrderWorld &world, Message &) { world.freezeAgent(late); }},
    {"agent refuses", [](OrderWorld &world, Message &) { world.refuseNext(); }},
    {"table down", [](OrderWorld &world, Message &) { world.disturbTable(world.tableDownUntil); }},
    {"table slow", [](OrderWorld &world, Message &) { world.disturbTable(world.tableSlowUntil); }},
    {"table replies lost", [](OrderWorld &world, Message &) { world.disturbTable(world.tableSilentUntil); }},
    {"table stale", [](OrderWorld &world, Message &) { world.disturbTable(world.tableStaleUntil); }},
    {"sent to other entry", [](OrderWorld &world, Message &message) { world.callOther(message.entry, "order"); }},
    {"key reused", [](OrderWorld &world, Message &message) { world.callOther(message.entry, "another order"); }},
};

void OrderWorld::send(Message message)
{
    const auto step = run_.steps.size();
    run_.steps.push_back(message.kind);
    if (message.isTable && tableSlowUntil > time_) {
        message.delay = 150ms;
    }
    for (const auto &fault : faults_) {
        for (const auto &known : faultTable) {
            if (fault.step == step && fault.fault == known.name) {
                known.strike(*this, message);
            }
        }
    }
    repeat(message.deliver, message.delay);
}

} // namespace

std::vector<std::string> orderFaults()
{
    std::vector<std::string> names;
    for (const auto &fault : faultTable) {
        names.emplace_back(fault.name);
    }
    return names;
}

OrderRun runOrderWorld(const std::vector<OrderFaultAt> &faults, const DisabledMechanisms &disabled)
{
    return OrderWorld(faults, disabled).run();
}

} // namespace hornbeamlane::testing
