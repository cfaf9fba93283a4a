#include "hornbeamlane_groups/mapswitch/MapSwitchController.h"

#include <algorithm>
#include <utility>

namespace hornbeamlane {

MapSwitchController::MapSwitchController(Options options)
    : options_(std::move(options))
    , ranks_(options_.ranks)
{
    HORNBEAMLANE_ASSERT(options_.ranks > 0 && options_.token != FencingToken() && options_.stepTime > Duration::zero());
    if (!options_.mayGo) {
        options_.mayGo = [](std::size_t armed, std::size_t ranks) { return armed == ranks; };
    }
    if (!options_.mayRecover) {
        options_.mayRecover = [](std::size_t answered, std::size_t ranks) { return answered == ranks; };
    }
    if (!options_.completesSwitch) {
        options_.completesSwitch = completesFoundSwitch;
    }
    if (!options_.chooseArmStep) {
        options_.chooseArmStep = [](StepNumber present, Duration lead, Duration stepTime) {
            return StepNumber(present.value() + static_cast<std::uint64_t>(lead / stepTime) + 2);
        };
    }
}

void MapSwitchController::addMap(const ExpertMap &map)
{
    HORNBEAMLANE_ASSERT(map.ranks() == options_.ranks);
    maps_.insert_or_assign(map.version(), map);
    if (missingMap_ == map.version()) {
        missingMap_.reset();
    }
}

std::optional<ExpertMapVersion> MapSwitchController::missingMap() const
{
    return missingMap_;
}

bool MapSwitchController::switchTo(ExpertMapVersion version, TimePoint now)
{
    if (phase_ != Phase::Idle || isFencedOff_ || version == base_ || version == ExpertMapVersion()
        || !maps_.contains(version)) {
        return false;
    }
    if (base_ == ExpertMapVersion()) {
        // No rank has a map: all of them join at the first step.
        base_ = version;
        return true;
    }
    if (anyNeedsJoin()) {
        return false;
    }
    target_ = version;
    arms_ = 0;
    deadline_ = now + options_.stagePatience;
    phase_ = Phase::Staging;
    return true;
}

std::vector<MapOrder> MapSwitchController::poll(TimePoint now)
{
    std::vector<MapOrder> orders;
    if (isFencedOff_) {
        return orders;
    }
    advance(now);
    for (RankIndex index = 0; index < options_.ranks; ++index) {
        auto &rank = ranks_[index];
        auto order = nextOrder(index, now);
        if (!order) {
            continue;
        }
        const bool isSame = rank.lastOrder && rank.lastOrder->kind == order->kind && rank.lastOrder->map == order->map
            && rank.lastOrder->step == order->step && rank.lastOrder->engine == order->engine;
        if (isSame && now < rank.sentAt + options_.resendInterval) {
            continue;
        }
        rank.lastOrder = order;
        rank.sentAt = now;
        // An engine that has restarted refuses the order itself, so each third repetition asks for the state instead.
        rank.repetitions = isSame ? rank.repetitions + 1 : 0;
        rank.wasQueriedLast = rank.repetitions % 3 == 2 && order->kind != MapOrderKind::Query;
        if (rank.wasQueriedLast) {
            order = makeOrder(index, MapOrderKind::Query, {}, {});
        }
        orders.push_back(std::move(*order));
    }
    return orders;
}

void MapSwitchController::handle(const MapStatus &status, TimePoint now)
{
    if (status.group != options_.group || status.rank >= options_.ranks) {
        return;
    }
    if (status.token > options_.token) {
        isFencedOff_ = true;
        return;
    }
    auto &rank = ranks_[status.rank];
    if (status.token != options_.token || status.engine == Incarnation()
        || rank.formerEngines.contains(status.engine)) {
        return;
    }
    if (rank.status) {
        if (rank.status->engine != status.engine) {
            rank.formerEngines.insert(rank.status->engine);
            rank.lastOrder.reset();
            rank.hasDisarmed = false;
            forgetFreshness();
        } else if (status.currentStep < rank.status->currentStep) {
            return; // An older answer that was overtaken.
        }
    }
    rank.status = status;
    rank.heardAt = now;
    rank.isFresh = true;
    // Only an answer to Disarm itself shows that its Arm cannot take effect later.
    if (rank.lastOrder && rank.lastOrder->kind == MapOrderKind::Disarm && !rank.wasQueriedLast && status.isAccepted
        && status.armedMap == ExpertMapVersion()) {
        rank.hasDisarmed = true;
    }
    highestMap_ = std::max({highestMap_, status.activeMap, status.stagedMap, status.armedMap});
}

bool MapSwitchController::completesFoundSwitch(const std::vector<MapStatus> &ranks)
{
    const MapStatus *first = nullptr;
    bool isArmedAlike = true;
    for (const auto &status : ranks) {
        if (status.activeMap == ExpertMapVersion() || status.isJoining) {
            continue;
        }
        if (first == nullptr) {
            first = &status;
        }
        if (status.hasGo || status.activeMap != first->activeMap) {
            return true;
        }
        isArmedAlike = isArmedAlike && status.armedMap != ExpertMapVersion() && status.armedMap == first->armedMap
            && status.armedStep == first->armedStep;
    }
    return first != nullptr && isArmedAlike;
}

void MapSwitchController::recover(TimePoint now)
{
    std::vector<MapStatus> found;
    for (const auto &rank : ranks_) {
        if (rank.status) {
            found.push_back(*rank.status);
        }
    }
    bool hasRestarted = false;
    for (const auto &status : found) {
        if (needsJoin(status)) {
            hasRestarted = true;
            continue;
        }
        // Ranks that have passed the step have the higher map; the others show where the switch takes place.
        if (base_ == ExpertMapVersion() || status.activeMap < base_) {
            base_ = status.activeMap;
        }
        if (status.armedMap != ExpertMapVersion()) {
            // If the steps differ, no Go was sent and all arms are dropped; later arms need a step after all of them.
            target_ = status.armedMap;
            armStep_ = std::max(armStep_, status.armedStep);
        }
    }
    if (hasRestarted) {
        forgetFreshness();
    }
    if (target_ == ExpertMapVersion()) {
        phase_ = Phase::Idle;
    } else if (options_.completesSwitch(found)) {
        phase_ = Phase::Going;
    } else {
        startDisarm();
    }
    deadline_ = now;
}

void MapSwitchController::advance(TimePoint now)
{
    const auto count = [this](auto condition) {
        return static_cast<std::size_t>(std::count_if(
            ranks_.begin(), ranks_.end(), [&condition](const Rank &rank) { return rank.status && condition(rank); }));
    };
    switch (phase_) {
    case Phase::Fencing:
        if (options_.mayRecover(count([](const Rank &) { return true; }), ranks_.size())) {
            recover(now);
        }
        return;
    case Phase::Idle:
        return;
    case Phase::Staging:
        if (anyNeedsJoin() || now >= deadline_) {
            startDisarm();
        } else if (count([this](const Rank &rank) { return rank.status->stagedMap == target_; }) == ranks_.size()) {
            startArm(now);
        }
        return;
    case Phase::Arming:
        if (options_.mayGo(count([this](const Rank &rank) { return isArmed(*rank.status); }), ranks_.size())) {
            phase_ = Phase::Going;
        } else if (anyNeedsJoin()) {
            startDisarm();
        } else if (now >= deadline_
                   || count([this](const Rank &rank) {
                          return !isArmed(*rank.status) && rank.status->currentStep >= armStep_;
                      })
                       > 0) {
            abandonOrRearm(now);
        }
        return;
    case Phase::Going:
        if (count([this](const Rank &rank) { return hasSwitched(*rank.status) && !needsJoin(*rank.status); })
            == ranks_.size()) {
            base_ = std::exchange(target_, ExpertMapVersion());
            ++counters_.completed;
            phase_ = Phase::Idle;
        }
        return;
    case Phase::Disarming:
        if (count([this](const Rank &rank) { return rank.hasDisarmed || needsJoin(*rank.status); }) == ranks_.size()) {
            target_ = ExpertMapVersion();
            ++counters_.abandoned;
            phase_ = Phase::Idle;
        }
        return;
    }
}

void MapSwitchController::startArm(TimePoint now)
{
    const auto wanted = options_.chooseArmStep(estimatedStep(now), options_.armLead, options_.stepTime);
    // Steps of arms only grow, so that map and step name one arm and late orders of earlier ones match nothing.
    armStep_ = std::max(wanted, armStep_.next());
    deadline_ = now + options_.armLead + options_.armPatience;
    ++arms_;
    ++counters_.arms;
    phase_ = Phase::Arming;
}

void MapSwitchController::startDisarm()
{
    for (auto &rank : ranks_) {
        rank.hasDisarmed = false;
    }
    phase_ = Phase::Disarming;
}

void MapSwitchController::abandonOrRearm(TimePoint now)
{
    if (arms_ < options_.armsPerSwitch) {
        startArm(now);
    } else {
        startDisarm();
    }
}

StepNumber MapSwitchController::estimatedStep(TimePoint now) const
{
    std::uint64_t step = 0;
    for (const auto &rank : ranks_) {
        if (rank.status) {
            const auto passed = static_cast<std::uint64_t>((now - rank.heardAt) / options_.stepTime);
            step = std::max(step, rank.status->currentStep.value() + passed);
        }
    }
    return StepNumber(step);
}

bool MapSwitchController::needsJoin(const MapStatus &status) const
{
    return status.activeMap == ExpertMapVersion() || status.isJoining;
}

bool MapSwitchController::isArmed(const MapStatus &status) const
{
    return status.armedMap == target_ && status.armedStep == armStep_;
}

bool MapSwitchController::hasSwitched(const MapStatus &status) const
{
    return status.activeMap == target_;
}

bool MapSwitchController::anyNeedsJoin() const
{
    return std::any_of(ranks_.begin(), ranks_.end(),
                       [this](const Rank &rank) { return rank.status && needsJoin(*rank.status); });
}

void MapSwitchController::forgetFreshness()
{
    for (auto &rank : ranks_) {
        rank.isFresh = false;
        rank.joinStep = StepNumber();
    }
}

std::optional<MapOrder> MapSwitchController::nextOrder(RankIndex index, TimePoint now)
{
    const auto &rank = ranks_[index];
    const auto query = [this, index] { return makeOrder(index, MapOrderKind::Query, {}, {}); };
    if (!rank.status) {
        return query();
    }
    if (phase_ == Phase::Fencing) {
        return std::nullopt;
    }
    const auto &status = *rank.status;
    if (needsJoin(status)) {
        if (phase_ == Phase::Idle || phase_ == Phase::Going) {
            return joinOrder(index);
        }
        return std::nullopt;
    }
    if (!rank.isFresh && anyNeedsJoin()) {
        return query();
    }
    const bool isQueryDue = now >= rank.heardAt + options_.queryInterval;
    switch (phase_) {
    case Phase::Fencing:
        return std::nullopt;
    case Phase::Idle:
        if (status.armedMap != ExpertMapVersion() && !status.hasGo) {
            // Left by an Arm that arrived late; the rank would hold for ever.
            return makeOrder(index, MapOrderKind::Disarm, status.armedMap, status.armedStep);
        }
        return isQueryDue ? std::optional(query()) : std::nullopt;
    case Phase::Staging:
        if (status.armedMap != ExpertMapVersion()) {
            return makeOrder(index, MapOrderKind::Disarm, status.armedMap, status.armedStep);
        }
        if (status.stagedMap != target_) {
            return stageOrder(index, target_, {});
        }
        return isQueryDue ? std::optional(query()) : std::nullopt;
    case Phase::Arming:
        if (!isArmed(status)) {
            return makeOrder(index, MapOrderKind::Arm, target_, armStep_);
        }
        return std::nullopt;
    case Phase::Going:
        if (hasSwitched(status)) {
            return isQueryDue ? std::optional(query()) : std::nullopt;
        }
        if (status.hasGo) {
            return query();
        }
        return makeOrder(index, MapOrderKind::Go, target_, armStep_);
    case Phase::Disarming:
        if (!rank.hasDisarmed) {
            const bool isArmedElsewhere = status.armedMap != ExpertMapVersion();
            return makeOrder(index, MapOrderKind::Disarm, isArmedElsewhere ? status.armedMap : target_,
                             isArmedElsewhere ? status.armedStep : armStep_);
        }
        return std::nullopt;
    }
    return std::nullopt;
}

std::optional<MapOrder> MapSwitchController::joinOrder(RankIndex index)
{
    if (base_ == ExpertMapVersion()) {
        return std::nullopt;
    }
    auto &rank = ranks_[index];
    const auto &status = *rank.status;
    if (rank.joinStep == StepNumber()) {
        // The group cannot go on without this rank, so the highest step of the others is where it has stopped.
        StepNumber step(1);
        ExpertMapVersion stepMap;
        for (const auto &other : ranks_) {
            if (needsJoin(*other.status)) {
                continue;
            }
            if (!other.isFresh) {
                return std::nullopt;
            }
            if (other.status->currentStep >= step) {
                step = other.status->currentStep;
                stepMap = other.status->activeMap;
            }
        }
        rank.joinStep = step;
        rank.joinMap = stepMap == ExpertMapVersion() ? base_ : stepMap;
        ++counters_.joins;
    }
    if (!status.isJoining || status.activeMap != rank.joinMap || status.currentStep.next() != rank.joinStep) {
        return stageOrder(index, rank.joinMap, rank.joinStep);
    }
    if (phase_ == Phase::Going && rank.joinMap != target_ && !status.hasGo) {
        if (status.stagedMap != target_) {
            return stageOrder(index, target_, {});
        }
        return makeOrder(index, isArmed(status) ? MapOrderKind::Go : MapOrderKind::Arm, target_, armStep_);
    }
    return makeOrder(index, MapOrderKind::Go, rank.joinMap, rank.joinStep);
}

std::optional<MapOrder> MapSwitchController::stageOrder(RankIndex index, ExpertMapVersion version, StepNumber joinStep)
{
    const auto map = maps_.find(version);
    if (map == maps_.end()) {
        missingMap_ = version;
        return std::nullopt;
    }
    auto order = makeOrder(index, MapOrderKind::Stage, version, joinStep);
    order.experts = map->second.expertsOf(index);
    return order;
}

MapOrder MapSwitchController::makeOrder(RankIndex index, MapOrderKind kind, ExpertMapVersion map, StepNumber step) const
{
    const auto &status = ranks_[index].status;
    return {.group = options_.group,
            .rank = index,
            .token = options_.token,
            .engine = status && kind != MapOrderKind::Query ? status->engine : Incarnation(),
            .kind = kind,
            .map = map,
            .step = step,
            .experts = {}};
}

} // namespace hornbeamlane
