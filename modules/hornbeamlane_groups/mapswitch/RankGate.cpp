#include "hornbeamlane_groups/mapswitch/RankGate.h"

#include <algorithm>
#include <utility>

namespace hornbeamlane {

RankGate::RankGate(Options options)
    : options_(std::move(options))
{
    HORNBEAMLANE_ASSERT(options_.engine != Incarnation());
    if (!options_.acceptsToken) {
        options_.acceptsToken = [](FencingToken token, FencingToken highest) { return token >= highest; };
    }
    if (!options_.acceptsEngine) {
        options_.acceptsEngine = [](const MapOrder &order, Incarnation engine) {
            return order.engine == engine || (order.kind == MapOrderKind::Query && order.engine == Incarnation());
        };
    }
    if (!options_.namesArm) {
        options_.namesArm = [](const MapOrder &order, const MapStatus &status) {
            return order.map == status.armedMap && order.step == status.armedStep;
        };
    }
    if (!options_.mayEnter) {
        options_.mayEnter = [](StepNumber step, const MapStatus &status) {
            return status.armedMap == ExpertMapVersion() || step < status.armedStep || status.hasGo;
        };
    }
    if (!options_.mayJoinWithoutGo) {
        options_.mayJoinWithoutGo = [](const MapStatus &) { return false; };
    }
    status_.group = options_.group;
    status_.rank = options_.rank;
    status_.engine = options_.engine;
}

MapStatus RankGate::handle(const MapOrder &order)
{
    status_.isAccepted = false;
    if (order.group != options_.group || order.rank != options_.rank) {
        return status_;
    }
    if (options_.enforcesFencing) {
        if (!options_.acceptsToken(order.token, status_.token)) {
            return status_;
        }
        if (order.token > status_.token) {
            // Arms of older tokens are refused from now on, so the steps of the new token start afresh.
            lastArmStep_ = StepNumber();
            status_.token = order.token;
        }
    }
    if (options_.acceptsEngine(order, options_.engine)) {
        status_.isAccepted = apply(order);
    }
    return status_;
}

std::optional<ExpertMapVersion> RankGate::loading() const
{
    return loading_ ? std::optional(loading_->map) : std::nullopt;
}

void RankGate::finishLoading()
{
    HORNBEAMLANE_ASSERT(loading_.has_value());
    const auto loaded = *std::exchange(loading_, std::nullopt);
    if (loaded.joinStep == StepNumber()) {
        status_.stagedMap = loaded.map;
        return;
    }
    status_.activeMap = loaded.map;
    status_.currentStep = StepNumber(loaded.joinStep.value() - 1);
    status_.isJoining = !options_.mayJoinWithoutGo(status_);
}

std::optional<ExpertMapVersion> RankGate::enterNextStep()
{
    const auto next = status_.currentStep.next();
    if (status_.activeMap == ExpertMapVersion() || status_.isJoining || !options_.mayEnter(next, status_)) {
        return std::nullopt;
    }
    if (status_.hasGo && next >= status_.armedStep) {
        status_.activeMap = status_.armedMap;
        status_.stagedMap = ExpertMapVersion();
        clearArm();
    }
    status_.currentStep = next;
    return status_.activeMap;
}

bool RankGate::apply(const MapOrder &order)
{
    switch (order.kind) {
    case MapOrderKind::Stage:
        return stage(order);
    case MapOrderKind::Arm:
        return arm(order);
    case MapOrderKind::Go:
        return go(order);
    case MapOrderKind::Disarm:
        return disarm(order);
    case MapOrderKind::Query:
        return true;
    }
    return false;
}

bool RankGate::stage(const MapOrder &order)
{
    if (order.map == ExpertMapVersion()) {
        return false;
    }
    if (loading_ && loading_->map == order.map && loading_->joinStep == order.step) {
        return true;
    }
    const bool hasMap = status_.activeMap != ExpertMapVersion();
    if (order.step == StepNumber()) {
        if (!hasMap || (status_.armedMap != ExpertMapVersion() && status_.armedMap != order.map)) {
            return false;
        }
        if (status_.stagedMap != order.map && status_.activeMap != order.map) {
            status_.stagedMap = ExpertMapVersion();
            loading_ = Loading{.map = order.map, .joinStep = {}};
        }
        return true;
    }
    if (hasMap && !status_.isJoining) {
        return false;
    }
    if (!hasMap || status_.activeMap != order.map || status_.currentStep.next() != order.step) {
        clearArm();
        status_.stagedMap = ExpertMapVersion();
        loading_ = Loading{.map = order.map, .joinStep = order.step};
    }
    return true;
}

bool RankGate::arm(const MapOrder &order)
{
    if (order.map == status_.armedMap && order.step == status_.armedStep && order.map != ExpertMapVersion()) {
        return true;
    }
    if (status_.activeMap == ExpertMapVersion() || status_.stagedMap != order.map || order.map == ExpertMapVersion()
        || status_.hasGo || order.step <= status_.currentStep || order.step <= lastArmStep_) {
        return false;
    }
    status_.armedMap = order.map;
    status_.armedStep = order.step;
    lastArmStep_ = order.step;
    return true;
}

bool RankGate::go(const MapOrder &order)
{
    if (status_.armedMap != ExpertMapVersion() && options_.namesArm(order, status_)) {
        status_.hasGo = true;
        return true;
    }
    if (order.map != status_.activeMap || order.map == ExpertMapVersion()) {
        return false;
    }
    if (status_.isJoining && order.step == status_.currentStep.next()) {
        status_.isJoining = false;
        return true;
    }
    return order.step <= status_.currentStep;
}

bool RankGate::disarm(const MapOrder &order)
{
    lastArmStep_ = std::max(lastArmStep_, order.step);
    if (status_.armedMap == ExpertMapVersion()) {
        return true;
    }
    if (status_.hasGo || !options_.namesArm(order, status_)) {
        return false;
    }
    clearArm();
    return true;
}

void RankGate::clearArm()
{
    status_.armedMap = ExpertMapVersion();
    status_.armedStep = StepNumber();
    status_.hasGo = false;
}

} // namespace hornbeamlane
