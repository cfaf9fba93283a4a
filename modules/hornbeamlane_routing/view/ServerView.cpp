#include "hornbeamlane_routing/view/ServerView.h"

#include <algorithm>

namespace hornbeamlane {

namespace {

using Budget = std::pair<ServerIndex, std::uint32_t>;

bool isBefore(const Budget &budget, ServerIndex server)
{
    return budget.first < server;
}

bool applies(const DrainRecord &drain, const ServerState &server, const DataCentreId &dataCentre)
{
    switch (drain.scope) {
    case DrainScope::DataCentre:
        return drain.name == dataCentre.name();
    case DrainScope::Host:
        return drain.name == server.host.name();
    case DrainScope::BackendServer:
        return drain.name == server.id.name();
    }
    return false;
}

} // namespace

std::optional<std::uint32_t> ServerView::TeamState::freeOn(ServerIndex server) const
{
    const auto position = std::lower_bound(budgets.begin(), budgets.end(), server, isBefore);
    if (position == budgets.end() || position->first != server) {
        return std::nullopt;
    }
    return position->second;
}

ServerView::ServerView()
    : ServerView(Options{})
{
}

ServerView::ServerView(Options options)
    : options_(std::move(options))
{
    if (!options_.isExcludedByDrain) {
        options_.isExcludedByDrain = [](const ServerState &server) { return server.isDrained; };
    }
    if (!options_.isExcludedByLeaving) {
        options_.isExcludedByLeaving = [](const ServerState &server) { return server.isLeaving; };
    }
    if (!options_.isCurrent) {
        options_.isCurrent = [](Incarnation known, Incarnation received) { return known == received; };
    }
}

void ServerView::applyCatalogue(const Catalogue &catalogue)
{
    for (auto &slot : slots_) {
        withdraw(slot);
        if (slot.isInCatalogue && !catalogue.servers.contains(slot.state.id)) {
            remove(slot);
        }
    }
    for (const auto &[id, entry] : catalogue.dataCentres) {
        internDataCentre(id);
    }
    std::erase_if(teams_, [&](const auto &item) {
        const bool isRemoved = !catalogue.teams.contains(item.first);
        budgetCount_ -= isRemoved ? item.second.budgets.size() : 0;
        return isRemoved;
    });
    for (const auto &[id, entry] : catalogue.servers) {
        auto &slot = findOrAdd(id);
        slot.isInCatalogue = true;
        slot.state.id = id;
        slot.state.host = entry.host;
        slot.state.dataCentre = internDataCentre(entry.dataCentre);
        slot.state.coldConcurrency = entry.coldConcurrency;
        if (!slot.state.reportedAt) {
            slot.state.limit = entry.coldConcurrency;
        }
        slot.state.targets.clear();
        for (const auto &model : entry.models) {
            slot.state.targets.push_back(internTarget(WorkKind::Model, model.name()));
        }
        for (const auto &service : entry.services) {
            slot.state.targets.push_back(internTarget(WorkKind::Service, service.name()));
        }
    }
    refreshAll();
}

void ServerView::applyDrains(const std::vector<DrainRecord> &drains)
{
    drains_ = drains;
    refreshAll();
}

void ServerView::setHomeServers(const TeamId &team, const std::vector<ServerId> &servers)
{
    auto &homes = teams_[team].homes;
    homes.clear();
    for (const auto &server : servers) {
        if (const auto index = findServer(server)) {
            homes.push_back(*index);
        }
    }
}

void ServerView::onLinkUp(const ServerId &server, Incarnation incarnation)
{
    const auto index = findServer(server);
    if (!index) {
        return;
    }
    auto &slot = slots_[*index];
    if (slot.state.incarnation != incarnation) {
        // Counters and reports of the previous incarnation say nothing about this one, which starts cold and empty.
        auto &state = slot.state;
        state.ownInFlight = 0;
        state.reportedAt.reset();
        state.ownInFlightAtReport = 0;
        state.reportedInFlight = 0;
        state.queued = 0;
        state.limit = state.coldConcurrency;
        state.warmFraction = 0;
        state.isLeaving = false;
        state.isEngineDown = false;
        forgetBudgets(*index);
    }
    slot.state.incarnation = incarnation;
    slot.state.isConnected = true;
    refresh(slot);
}

void ServerView::onLinkDown(const ServerId &server, Incarnation incarnation)
{
    if (auto *slot = currentSlot(server, incarnation)) {
        slot->state.isConnected = false;
        refresh(*slot);
    }
}

bool ServerView::onReport(const ServerId &server, Incarnation incarnation, const LoadReport &report, TimePoint now)
{
    auto *slot = currentSlot(server, incarnation);
    if (slot == nullptr) {
        return false;
    }
    auto &state = slot->state;
    state.reportedAt = now;
    state.ownInFlightAtReport = state.ownInFlight;
    state.reportedInFlight = report.inFlight;
    state.queued = report.queued;
    state.limit = report.limit;
    state.warmFraction = report.warmFraction;
    state.isEngineDown = report.isEngineDown;
    // Leaving is final for an incarnation, so an older report that arrives late does not take it back.
    state.isLeaving = state.isLeaving || report.leaving;
    for (const auto &budget : report.teamBudgets) {
        storeBudget(indexOf(*slot), budget);
    }
    refresh(*slot);
    return true;
}

void ServerView::onHeartbeat(const ServerId &server, Incarnation incarnation, bool isLeaving)
{
    auto *slot = currentSlot(server, incarnation);
    if (slot != nullptr && isLeaving) {
        slot->state.isLeaving = true;
        refresh(*slot);
    }
}

void ServerView::onTeamBudget(const ServerId &server, Incarnation incarnation, const TeamBudget &budget)
{
    if (const auto *slot = currentSlot(server, incarnation)) {
        storeBudget(indexOf(*slot), budget);
    }
}

void ServerView::onDispatched(const ServerId &server, Incarnation incarnation)
{
    if (auto *slot = currentSlot(server, incarnation)) {
        ++slot->state.ownInFlight;
        refresh(*slot);
    }
}

void ServerView::onFinished(const ServerId &server, Incarnation incarnation)
{
    auto *slot = currentSlot(server, incarnation);
    if (slot != nullptr && slot->state.ownInFlight > 0) {
        --slot->state.ownInFlight;
        refresh(*slot);
    }
}

std::optional<ServerIndex> ServerView::findServer(const ServerId &server) const
{
    const auto position = serverIndices_.find(server);
    return position == serverIndices_.end() ? std::nullopt : std::optional(position->second);
}

std::optional<DataCentreIndex> ServerView::findDataCentre(const DataCentreId &dataCentre) const
{
    const auto position = dataCentreIndices_.find(dataCentre);
    return position == dataCentreIndices_.end() ? std::nullopt : std::optional(position->second);
}

std::optional<TargetIndex> ServerView::findTarget(WorkKind kind, std::string_view name) const
{
    const auto &indices = targetIndices_[static_cast<std::size_t>(kind)];
    const auto position = indices.find(name);
    return position == indices.end() ? std::nullopt : std::optional(position->second);
}

const ServerView::TeamState *ServerView::findTeam(const TeamId &team) const
{
    const auto position = teams_.find(team);
    return position == teams_.end() ? nullptr : &position->second;
}

const ServerState &ServerView::server(ServerIndex index) const
{
    HORNBEAMLANE_ASSERT(index < slots_.size());
    return slots_[index].state;
}

const DataCentreId &ServerView::dataCentre(DataCentreIndex index) const
{
    HORNBEAMLANE_ASSERT(index < dataCentres_.size());
    return dataCentres_[index];
}

std::size_t ServerView::dataCentreCount() const
{
    return dataCentres_.size();
}

bool ServerView::isDataCentreDrained(DataCentreIndex index) const
{
    return std::any_of(drains_.begin(), drains_.end(), [this, index](const DrainRecord &drain) {
        return drain.scope == DrainScope::DataCentre && drain.name == dataCentre(index).name();
    });
}

const ServerView::Pool &ServerView::pool(TargetIndex target, DataCentreIndex dataCentre) const
{
    static const Pool empty;
    HORNBEAMLANE_ASSERT(target < pools_.size());
    return dataCentre < pools_[target].size() ? pools_[target][dataCentre] : empty;
}

bool ServerView::isUsable(ServerIndex index) const
{
    return index < slots_.size() && slots_[index].isPooled;
}

ServerView::Slot *ServerView::currentSlot(const ServerId &server, Incarnation incarnation)
{
    const auto index = findServer(server);
    if (!index || !options_.isCurrent(slots_[*index].state.incarnation, incarnation)) {
        return nullptr;
    }
    return &slots_[*index];
}

ServerView::Slot &ServerView::findOrAdd(const ServerId &server)
{
    const auto next = static_cast<ServerIndex>(freeSlots_.empty() ? slots_.size() : freeSlots_.back());
    const auto [position, isNew] = serverIndices_.try_emplace(server, next);
    if (isNew && freeSlots_.empty()) {
        slots_.emplace_back();
    } else if (isNew) {
        freeSlots_.pop_back();
    }
    return slots_[position->second];
}

void ServerView::remove(Slot &slot)
{
    const auto index = indexOf(slot);
    forgetBudgets(index);
    for (auto &[team, state] : teams_) {
        std::erase(state.homes, index);
    }
    serverIndices_.erase(slot.state.id);
    slot = Slot{};
    freeSlots_.push_back(index);
}

ServerIndex ServerView::indexOf(const Slot &slot) const
{
    return static_cast<ServerIndex>(&slot - slots_.data());
}

DataCentreIndex ServerView::internDataCentre(const DataCentreId &dataCentre)
{
    const auto next = static_cast<DataCentreIndex>(dataCentres_.size());
    const auto [position, isNew] = dataCentreIndices_.try_emplace(dataCentre, next);
    if (isNew) {
        dataCentres_.push_back(dataCentre);
    }
    return position->second;
}

TargetIndex ServerView::internTarget(WorkKind kind, const std::string &name)
{
    auto &indices = targetIndices_[static_cast<std::size_t>(kind)];
    const auto [position, isNew] = indices.try_emplace(name, static_cast<TargetIndex>(pools_.size()));
    if (isNew) {
        pools_.emplace_back();
    }
    return position->second;
}

bool ServerView::mayTakeWork(const Slot &slot) const
{
    return slot.state.isConnected && !slot.state.isEngineDown && !options_.isExcludedByDrain(slot.state)
        && !options_.isExcludedByLeaving(slot.state);
}

void ServerView::withdraw(Slot &slot)
{
    if (!slot.isPooled) {
        return;
    }
    for (const auto target : slot.state.targets) {
        auto &pool = pools_[target][slot.state.dataCentre];
        const auto position = std::find(pool.servers.begin(), pool.servers.end(), indexOf(slot));
        HORNBEAMLANE_ASSERT(position != pool.servers.end());
        *position = pool.servers.back();
        pool.servers.pop_back();
        pool.capacity -= slot.countedCapacity;
        pool.load -= slot.countedLoad;
    }
    slot.isPooled = false;
    slot.countedCapacity = 0;
    slot.countedLoad = 0;
}

void ServerView::refresh(Slot &slot)
{
    if (!mayTakeWork(slot)) {
        withdraw(slot);
        return;
    }
    const std::int64_t capacity = slot.state.limit;
    const std::int64_t load = std::int64_t{slot.state.ownInFlight} + slot.state.foreignInFlight() + slot.state.queued;
    for (const auto target : slot.state.targets) {
        auto &pools = pools_[target];
        if (pools.size() <= slot.state.dataCentre) {
            pools.resize(slot.state.dataCentre + std::size_t{1});
        }
        auto &pool = pools[slot.state.dataCentre];
        if (!slot.isPooled) {
            pool.servers.push_back(indexOf(slot));
        }
        pool.capacity += capacity - slot.countedCapacity;
        pool.load += load - slot.countedLoad;
    }
    slot.isPooled = true;
    slot.countedCapacity = capacity;
    slot.countedLoad = load;
}

void ServerView::refreshAll()
{
    for (auto &slot : slots_) {
        if (slot.isInCatalogue) {
            const auto &dataCentre = dataCentres_[slot.state.dataCentre];
            slot.state.isDrained =
                std::any_of(drains_.begin(), drains_.end(), [&slot, &dataCentre](const DrainRecord &drain) {
                    return applies(drain, slot.state, dataCentre);
                });
            refresh(slot);
        }
    }
}

void ServerView::storeBudget(ServerIndex server, const TeamBudget &budget)
{
    if (budgetCount_ >= options_.maxTeamBudgets && findTeam(budget.team) == nullptr) {
        return;
    }
    auto &budgets = teams_[budget.team].budgets;
    const auto position = std::lower_bound(budgets.begin(), budgets.end(), server, isBefore);
    if (position != budgets.end() && position->first == server) {
        position->second = budget.freeConcurrency;
    } else if (budgetCount_ < options_.maxTeamBudgets) {
        budgets.insert(position, Budget(server, budget.freeConcurrency));
        ++budgetCount_;
    }
}

void ServerView::forgetBudgets(ServerIndex server)
{
    for (auto &[team, state] : teams_) {
        budgetCount_ -= std::erase_if(state.budgets, [server](const Budget &budget) { return budget.first == server; });
    }
}

} // namespace hornbeamlane
