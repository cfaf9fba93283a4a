#include "hornbeamlane_entry/EntryRouting.h"

#include <algorithm>

namespace hornbeamlane {

namespace {

using namespace std::chrono_literals;

Refusal refuse(RefusalReason reason, const char *detail)
{
    return {.reason = reason, .execution = ExecutionState::NotRun, .retryAfter = 1s, .detail = detail};
}

} // namespace

EntryRouting::EntryRouting(DataCentreId dataCentre, Incarnation self, RandomSource &random,
                           std::function<void(const Message &)> tellPeers)
    : dataCentre_(std::move(dataCentre))
    , random_(random)
    , chooser_(view_, cache_)
    , spill_(view_)
    , quarantine_(self)
    , crashes_(self, std::move(tellPeers))
{
}

CrashQuarantine &EntryRouting::quarantine()
{
    return quarantine_;
}

void EntryRouting::applyCatalogue(const std::shared_ptr<const Catalogue> &catalogue)
{
    catalogue_ = catalogue;
    view_.applyCatalogue(*catalogue_);
    floors_ = std::make_unique<FloorSplit>(*catalogue_, FloorSplit::Options{});
    teamsWithHomes_.clear();
    highestPriority_ = 0;
    for (const auto &[id, entry] : catalogue_->classes) {
        highestPriority_ = std::max(highestPriority_, entry.priority);
    }
}

void EntryRouting::applyDrains(const std::vector<DrainRecord> &drains, TimePoint now)
{
    view_.applyDrains(drains);
    wasDrained_.resize(view_.dataCentreCount());
    for (DataCentreIndex index = 0; index < view_.dataCentreCount(); ++index) {
        const bool isDrained = view_.isDataCentreDrained(index);
        if (wasDrained_[index] && !isDrained) {
            spill_.onReturned(index, now);
        }
        wasDrained_[index] = isDrained;
    }
}

void EntryRouting::setPeers(const std::vector<Incarnation> &peers)
{
    quarantine_.setPeers(peers);
}

void EntryRouting::onLinkUp(const ServerId &server, Incarnation incarnation, TimePoint)
{
    const auto index = view_.findServer(server);
    if (index && view_.server(*index).incarnation != incarnation) {
        cache_.forget(*index);
    }
    view_.onLinkUp(server, incarnation);
}

void EntryRouting::onLinkDown(const ServerId &server, Incarnation incarnation, bool isPlanned, TimePoint now)
{
    const auto index = view_.findServer(server);
    const bool isLeaving = index && view_.server(*index).isLeaving;
    view_.onLinkDown(server, incarnation);
    if (!isPlanned && !isLeaving) {
        quarantine_.onServerLost(incarnation, now);
        crashes_.onEngineLost(incarnation, 0, now);
    }
}

void EntryRouting::onHeartbeat(const ServerId &server, Incarnation incarnation, const Heartbeat &heartbeat)
{
    view_.onHeartbeat(server, incarnation, heartbeat.leaving);
}

void EntryRouting::onReport(const ServerId &server, Incarnation incarnation, const LoadReport &report, TimePoint now)
{
    if (!view_.onReport(server, incarnation, report, now)) {
        return;
    }
    if (const auto index = view_.findServer(server)) {
        cache_.onReport(*index, report);
    }
}

void EntryRouting::learnHomeServers(const TeamId &team)
{
    // Done at a team's first request after a change, because most of the teams never call this entry.
    if (!teamsWithHomes_.insert(team).second) {
        return;
    }
    const auto entry = catalogue_->teams.find(team);
    if (entry == catalogue_->teams.end()) {
        return;
    }
    std::vector<ServerId> homes;
    for (const auto &[id, server] : catalogue_->servers) {
        if (floors_->share(entry->second, id) > 0) {
            homes.push_back(id);
        }
    }
    view_.setHomeServers(team, homes);
}

std::optional<DataCentreIndex> EntryRouting::chooseDataCentre(const CallerRequest &request, TargetIndex target,
                                                              TimePoint now)
{
    const auto own = view_.findDataCentre(dataCentre_).value_or(0);
    const double priority = request.dispatch.priority;
    const double rank = highestPriority_ > 0 ? 1.0 - priority / highestPriority_ : 0.0;
    return spill_.choose(target, own, rank, now, random_);
}

std::optional<EntryRouting::Choice>
EntryRouting::choose(const CallerRequest &request, const std::vector<ServerId> &tried, TimePoint now, NoChoice &none)
{
    const auto &dispatch = request.dispatch;
    if (quarantine_.isQuarantined(dispatch.fingerprint, now)) {
        none.refusal = quarantine_.refusal(dispatch.fingerprint, now);
        return std::nullopt;
    }
    if (const auto decision = crashes_.decide(request, now); decision != PromptPartGuard::Decision::Send) {
        none.isTemporary = decision == PromptPartGuard::Decision::Wait;
        none.refusal = none.isTemporary
            ? refuse(RefusalReason::NoServerAvailable, "a request like it is tried for whether it crashes servers")
            : crashes_.refusal(request, now);
        return std::nullopt;
    }
    const auto target = view_.findTarget(dispatch.kind, dispatch.target);
    const auto dataCentre = target ? chooseDataCentre(request, *target, now) : std::nullopt;
    if (!dataCentre) {
        const bool isShed = target.has_value();
        none.refusal =
            refuse(isShed ? RefusalReason::Overloaded : RefusalReason::NoServerAvailable,
                   isShed ? "all backend servers are at their limits" : "no backend server serves this target");
        return std::nullopt;
    }
    learnHomeServers(dispatch.team);
    RoutingRequest routing{.team = dispatch.team,
                           .kind = dispatch.kind,
                           .target = dispatch.target,
                           .prefixes = dispatch.prefixes,
                           .dataCentre = *dataCentre};
    bool isWaiting = false;
    routing.mayUse = [&](const ServerState &server) {
        if (std::find(tried.begin(), tried.end(), server.id) != tried.end()) {
            return false;
        }
        const auto verdict = quarantine_.mayDispatch(dispatch.fingerprint, server.id, server.incarnation, now);
        isWaiting = isWaiting || verdict == CrashQuarantine::Verdict::Wait;
        return verdict == CrashQuarantine::Verdict::Allowed;
    };
    const auto index = chooser_.choose(routing, now, random_);
    if (!index) {
        none.isTemporary = isWaiting;
        none.refusal = refuse(chooser_.lastFailure(), "no backend server can take the request");
        return std::nullopt;
    }
    const auto &server = view_.server(*index);
    return Choice{.server = server.id, .incarnation = server.incarnation};
}

void EntryRouting::onDispatched(const Choice &choice, const Dispatch &dispatch, TimePoint now)
{
    view_.onDispatched(choice.server, choice.incarnation);
    quarantine_.onDispatched(dispatch.fingerprint, choice.server, choice.incarnation, now);
    if (const auto index = view_.findServer(choice.server)) {
        cache_.onDispatched(*index, dispatch.prefixes);
    }
}

void EntryRouting::onEnded(const Choice &choice, const Dispatch &dispatch, bool isComplete, TimePoint now)
{
    view_.onFinished(choice.server, choice.incarnation);
    quarantine_.onFinished(dispatch.fingerprint, choice.incarnation, isComplete, now);
}

void EntryRouting::onTeamBudget(const ServerId &server, Incarnation incarnation, const TeamBudget &budget)
{
    view_.onTeamBudget(server, incarnation, budget);
}

} // namespace hornbeamlane
