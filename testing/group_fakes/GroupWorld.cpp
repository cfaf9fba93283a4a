#include "group_fakes/GroupWorld.h"

#include <algorithm>
#include <utility>

namespace hornbeamlane::testing {

namespace {

constexpr int stepTicks = 4;
constexpr int loadTicks = 3;
/** An agent reads the lease row through an entry. */
constexpr int rowReadTicks = 15;
constexpr int switchStart = 60;
constexpr int secondSwitchStart = 160;
constexpr int runTicks = 1500;
/** A group that completes no step for this long at the end of the run has not recovered. */
constexpr int quietTicks = 150;
constexpr int leaseTicks = 200;
const GroupId group("g");

Duration ticks(int count)
{
    return std::chrono::milliseconds(count);
}

} // namespace

GroupWorld::GroupWorld(Options options, Strike strike)
    : options_(std::move(options))
    , strike_(std::move(strike))
    , ranks_(options_.ranks)
    , entries_(2)
{
    for (RankIndex rank = 0; rank < options_.ranks; ++rank) {
        startAgent(rank);
        startEngine(rank);
    }
    for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
        startEntry(entry);
    }
}

std::string GroupWorld::run()
{
    for (now_ = 1; now_ < runTicks && violation_.empty() && !hasSettled(); ++now_) {
        std::vector<Envelope> due;
        std::erase_if(inFlight_, [this, &due](const Envelope &envelope) {
            if (envelope.dueAt > now_) {
                return false;
            }
            due.push_back(envelope);
            return true;
        });
        for (const auto &envelope : due) {
            deliver(envelope);
        }
        for (RankIndex rank = 0; rank < options_.ranks; ++rank) {
            runRank(rank);
        }
        for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
            runEntry(entry);
        }
    }
    if (!violation_.empty()) {
        return violation_;
    }
    if (lastProgressAt_ < now_ - quietTicks) {
        return "no step completed since tick " + std::to_string(lastProgressAt_);
    }
    for (const auto &rank : ranks_) {
        if (rank.gate->status().activeMap != wantedMap()) {
            return "the switch was not completed after the fault";
        }
    }
    return {};
}

void GroupWorld::killRank(RankIndex rank, int downTicks)
{
    ranks_[rank].deadUntil = now_ + downTicks;
    // The others discard what the dead rank had contributed to steps that are not complete.
    for (auto &[step, maps] : entered_) {
        maps.erase(rank);
    }
    startEngine(rank);
}

void GroupWorld::doubleOrders(RankIndex rank, int copyDelay)
{
    ranks_[rank].copyDelay = copyDelay;
}

void GroupWorld::stallRank(RankIndex rank, int stalledTicks)
{
    ranks_[rank].stalledUntil = now_ + stalledTicks;
}

void GroupWorld::restartAgent(RankIndex rank)
{
    startAgent(rank);
    ranks_[rank].guard->noteEngine(ranks_[rank].gate->status().engine);
}

void GroupWorld::pauseController(int pausedTicks)
{
    for (auto &entry : entries_) {
        if (entry.controller && now_ >= entry.pausedUntil) {
            entry.pausedUntil = now_ + pausedTicks;
            entry.ignoresLease = true;
            return;
        }
    }
}

void GroupWorld::resumeController()
{
    for (auto &entry : entries_) {
        entry.pausedUntil = std::min(entry.pausedUntil, now_);
    }
}

void GroupWorld::releaseSlowOrders()
{
    for (auto &envelope : inFlight_) {
        if (envelope.isAtEngine) {
            envelope.dueAt = now_ + 1;
        }
    }
}

void GroupWorld::killController()
{
    for (std::size_t index = 0; index < entries_.size(); ++index) {
        if (entries_[index].controller) {
            startEntry(index);
            entries_[index].deadUntil = now_ + 2 * leaseTicks;
            return;
        }
    }
}

void GroupWorld::takeTableDown(int downTicks)
{
    tableDownUntil_ = now_ + downTicks;
}

void GroupWorld::loseNextWriteReply()
{
    losesWriteReply_ = true;
}

void GroupWorld::delayAtEngine(RankIndex rank, int delayTicks)
{
    ranks_[rank].engineDelay = delayTicks;
}

TimePoint GroupWorld::time() const
{
    return TimePoint(std::chrono::hours(1)) + ticks(now_);
}

bool GroupWorld::hasSettled() const
{
    constexpr int checkInterval = 50;
    constexpr int shortestRun = 250;
    if (now_ % checkInterval != 0 || now_ < shortestRun || messages_ <= options_.leastMessages + checkInterval
        || now_ < tableDownUntil_ || lastProgressAt_ < now_ - 2 * stepTicks) {
        return false;
    }
    const bool hasLateMessage = std::any_of(inFlight_.begin(), inFlight_.end(),
                                            [this](const Envelope &envelope) { return envelope.dueAt > now_ + 1; });
    const bool hasStoppedEntry = std::any_of(entries_.begin(), entries_.end(), [this](const Entry &entry) {
        return now_ < entry.pausedUntil || now_ < entry.deadUntil || entry.ignoresLease;
    });
    return !hasLateMessage && !hasStoppedEntry && std::all_of(ranks_.begin(), ranks_.end(), [this](const Rank &rank) {
        return now_ >= rank.deadUntil && now_ >= rank.stalledUntil && rank.gate->status().activeMap == wantedMap();
    });
}

void GroupWorld::startEngine(RankIndex rank)
{
    RankGate::Options options{.group = group,
                              .rank = rank,
                              .engine = random_.incarnation(),
                              .enforcesFencing = options_.engineEnforcesFencing};
    if (isOff("fencing-token")) {
        options.acceptsToken = [](FencingToken, FencingToken) { return true; };
    }
    if (isOff("engine-incarnation")) {
        options.acceptsEngine = [](const MapOrder &, Incarnation) { return true; };
    }
    if (isOff("order-names-arm")) {
        options.namesArm = [](const MapOrder &, const MapStatus &) { return true; };
    }
    if (isOff("hold-before-step")) {
        options.mayEnter = [](StepNumber, const MapStatus &) { return true; };
    }
    if (isOff("hold-before-join")) {
        options.mayJoinWithoutGo = [](const MapStatus &) { return true; };
    }
    const auto engine = options.engine;
    ranks_[rank].gate = std::make_unique<RankGate>(std::move(options));
    ranks_[rank].guard->noteEngine(engine);
    ranks_[rank].loadedAt = 0;
}

void GroupWorld::startAgent(RankIndex rank)
{
    FencingGuard::Options options{.group = group, .rank = rank};
    // Engines that check tokens themselves are tested without the help of the agent.
    if (isOff("agent-fencing-guard") || options_.engineEnforcesFencing) {
        options.acceptsToken = [](FencingToken, FencingToken) { return true; };
    }
    if (isOff("engine-incarnation")) {
        options.acceptsEngine = [](const MapOrder &, Incarnation) { return true; };
    }
    if (isOff("read-row-after-restart") || options_.engineEnforcesFencing) {
        options.mayPassUnread = [] { return true; };
    }
    if (isOff("one-order-at-a-time") || options_.engineEnforcesFencing) {
        options.mayOvertake = [] { return true; };
    }
    ranks_[rank].guard = std::make_unique<FencingGuard>(std::move(options));
    ranks_[rank].agentStartedAt = now_;
}

void GroupWorld::startEntry(std::size_t entry)
{
    entries_[entry] = {};
    entries_[entry].lease = std::make_unique<LeaseKeeper>(LeaseKeeper::Options{.key = "lease",
                                                                               .holder = random_.incarnation(),
                                                                               .duration = ticks(leaseTicks),
                                                                               .renewInterval = ticks(leaseTicks / 5),
                                                                               .readInterval = ticks(leaseTicks / 10)});
}

void GroupWorld::send(Envelope envelope)
{
    const auto &sender = entries_[envelope.entry];
    if (envelope.order && (now_ < sender.deadUntil || now_ < sender.pausedUntil)) {
        return; // The entry was stopped before it had sent all orders of this tick.
    }
    Delivery delivery;
    if (now_ >= switchStart) {
        envelope.number = messages_++;
        const auto rank = envelope.order ? envelope.order->rank : envelope.status->rank;
        if (envelope.order) {
            delivery.copyDelay = ranks_[rank].copyDelay;
        }
        if (strike_) {
            strike_(*this, envelope.number, rank, delivery);
        }
    }
    envelope.dueAt = now_ + delivery.delay;
    if (!delivery.isLost) {
        inFlight_.push_back(envelope);
    }
    if (delivery.copyDelay > 0) {
        envelope.dueAt = now_ + delivery.copyDelay;
        inFlight_.push_back(envelope);
    }
}

void GroupWorld::deliver(const Envelope &envelope)
{
    if (envelope.status) {
        auto &entry = entries_[envelope.entry];
        if (now_ < entry.pausedUntil) {
            inFlight_.push_back(envelope);
            inFlight_.back().dueAt = now_ + 1;
        } else if (entry.controller && now_ >= entry.deadUntil) {
            entry.controller->handle(*envelope.status, time());
        }
        return;
    }
    auto &rank = ranks_[envelope.order->rank];
    if (now_ < rank.stalledUntil) {
        inFlight_.push_back(envelope);
        inFlight_.back().dueAt = rank.stalledUntil;
        return;
    }
    if (envelope.isAtEngine) {
        passToEngine(envelope);
        return;
    }
    if (now_ < rank.deadUntil) {
        return;
    }
    if (const auto refusal = rank.guard->refuse(*envelope.order)) {
        send({.entry = envelope.entry, .order = std::nullopt, .status = *refusal});
        return;
    }
    auto passed = envelope;
    passed.isAtEngine = true;
    passed.engine = rank.gate->status().engine;
    const int delay = std::exchange(rank.engineDelay, 0);
    if (delay == 0) {
        passToEngine(passed);
    } else {
        passed.dueAt = now_ + delay;
        inFlight_.push_back(passed);
    }
}

void GroupWorld::passToEngine(const Envelope &envelope)
{
    auto &rank = ranks_[envelope.order->rank];
    // A connection to an engine ends with the engine.
    if (envelope.engine != rank.gate->status().engine) {
        return;
    }
    auto status = rank.gate->handle(*envelope.order);
    status = rank.guard->noteAnswer(status);
    send({.entry = envelope.entry, .order = std::nullopt, .status = status});
}

void GroupWorld::answerTableRequest(Entry &entry)
{
    while (const auto request = entry.lease->poll(time())) {
        if (now_ < tableDownUntil_) {
            entry.lease->handleReply({.status = TableStatus::Unavailable, .row = std::nullopt}, time());
            continue;
        }
        auto reply = table_.apply(*request);
        if (request->write && std::exchange(losesWriteReply_, false)) {
            reply = {.status = TableStatus::NoReply, .row = std::nullopt};
        }
        entry.lease->handleReply(reply, time());
    }
}

std::unique_ptr<MapSwitchController> GroupWorld::makeController(FencingToken token) const
{
    MapSwitchController::Options options{.group = group,
                                         .ranks = options_.ranks,
                                         .token = token,
                                         .resendInterval = ticks(8),
                                         .queryInterval = ticks(40),
                                         .armLead = ticks(4),
                                         .stepTime = ticks(stepTicks),
                                         .armPatience = ticks(30),
                                         .stagePatience = ticks(300)};
    if (isOff("go-after-all-armed")) {
        options.mayGo = [](std::size_t armed, std::size_t) { return armed > 0; };
    }
    if (isOff("fence-all-before-recovery")) {
        options.mayRecover = [](std::size_t answered, std::size_t) { return answered > 0; };
    }
    if (isOff("recovery-completes-switch")) {
        options.completesSwitch = [](const std::vector<MapStatus> &) { return false; };
    }
    auto controller = std::make_unique<MapSwitchController>(std::move(options));
    for (std::uint64_t version = 1; version <= 3; ++version) {
        controller->addMap(ExpertMap::uniform(ExpertMapVersion(version), options_.ranks, 1, 4));
    }
    return controller;
}

ExpertMapVersion GroupWorld::wantedMap() const
{
    if (now_ < switchStart) {
        return ExpertMapVersion(1);
    }
    return ExpertMapVersion(options_.hasSecondSwitch && now_ >= secondSwitchStart ? 3 : 2);
}

void GroupWorld::runEntry(std::size_t index)
{
    auto &entry = entries_[index];
    if (now_ < entry.deadUntil || now_ < entry.pausedUntil) {
        return;
    }
    if (!entry.ignoresLease) {
        answerTableRequest(entry);
        const auto token = entry.lease->token(time());
        if (!token) {
            entry.controller.reset();
        } else if (!entry.controller || entry.token != *token) {
            entry.token = *token;
            entry.controller = makeController(*token);
        }
    }
    if (entry.ignoresLease && (!entry.controller || entry.controller->isFencedOff())) {
        entry.ignoresLease = false;
    }
    if (!entry.controller) {
        return;
    }
    if (entry.controller->phase() == MapSwitchController::Phase::Idle) {
        entry.controller->switchTo(wantedMap(), time());
    }
    for (auto &order : entry.controller->poll(time())) {
        send({.entry = index, .order = std::move(order), .status = std::nullopt});
    }
}

void GroupWorld::runRank(RankIndex index)
{
    auto &rank = ranks_[index];
    if (rank.guard->needsRow() && now_ >= tableDownUntil_ && now_ >= rank.agentStartedAt + rowReadTicks) {
        rank.guard->noteRow(table_.read("lease").row);
    }
    if (now_ < rank.deadUntil || now_ < rank.stalledUntil) {
        return;
    }
    if (rank.gate->loading()) {
        rank.loadedAt = rank.loadedAt == 0 ? now_ + loadTicks : rank.loadedAt;
        if (now_ >= rank.loadedAt) {
            rank.gate->finishLoading();
            rank.loadedAt = 0;
        }
    }
    const auto present = rank.gate->status().currentStep;
    if (rank.gate->status().activeMap == ExpertMapVersion()
        || (present > completeStep_ && entered_[present].contains(index)) || now_ < rank.enteredAt + stepTicks) {
        return;
    }
    if (const auto map = rank.gate->enterNextStep()) {
        rank.enteredAt = now_;
        record(index, rank.gate->status().currentStep, *map);
    }
}

void GroupWorld::record(RankIndex rank, StepNumber step, ExpertMapVersion map)
{
    if (step <= completeStep_) {
        return; // A rank that has joined catches up with a step that the others have completed.
    }
    auto &maps = entered_[step];
    maps[rank] = map;
    for (const auto &[other, otherMap] : maps) {
        if (otherMap != map) {
            violation_ = "step " + std::to_string(step.value()) + ": rank " + std::to_string(rank) + " uses map "
                + std::to_string(map.value()) + ", rank " + std::to_string(other) + " map "
                + std::to_string(otherMap.value());
        }
    }
    if (maps.size() == options_.ranks) {
        completeStep_ = step;
        lastProgressAt_ = now_;
        entered_.erase(entered_.begin(), entered_.upper_bound(step));
    }
}

} // namespace hornbeamlane::testing
