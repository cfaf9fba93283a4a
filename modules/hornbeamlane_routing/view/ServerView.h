#pragma once

#include "hornbeamlane_catalogue/model/Catalogue.h"
#include "hornbeamlane_messages/types/AttemptMessages.h"
#include "hornbeamlane_messages/types/LinkMessages.h"
#include "hornbeamlane_messages/types/StateMessages.h"
#include "hornbeamlane_routing/view/ServerState.h"

#include <array>
#include <functional>
#include <string_view>
#include <unordered_map>

namespace hornbeamlane {

/** What an entry knows of the backend servers of its region and of the teams' budgets on them. */
class ServerView final
{
public:
    struct Options
    {
        /** Budgets kept over all teams; reports beyond it are ignored and the budget counts as unknown. */
        std::size_t maxTeamBudgets = 131072;
        /** Whether a drain keeps new work from a server; the default is the drained flag. */
        std::function<bool(const ServerState &)> isExcludedByDrain;
        /** Whether leaving keeps new work from a server; the default is the leaving flag. */
        std::function<bool(const ServerState &)> isExcludedByLeaving;
        /** Whether a message of one incarnation counts for a server; the default compares for equality. */
        std::function<bool(Incarnation known, Incarnation received)> isCurrent;
    };

    /** Servers of one target in one data centre that may take new work, and the sums of their load. */
    struct Pool
    {
        std::vector<ServerIndex> servers;
        std::int64_t capacity = 0;
        /** Requests that run or wait, without the weight of age. */
        std::int64_t load = 0;
    };

    struct TeamState
    {
        /** Servers that hold the floors of the team. */
        std::vector<ServerIndex> homes;
        /** Free concurrency by server, sorted by server. */
        std::vector<std::pair<ServerIndex, std::uint32_t>> budgets;

        /** Last reported free concurrency; empty if the server has reported none. */
        std::optional<std::uint32_t> freeOn(ServerIndex server) const;
    };

    ServerView();
    explicit ServerView(Options options);

    /** Takes over servers, models and services; what is known of servers that stay is kept. */
    void applyCatalogue(const Catalogue &catalogue);

    /** Replaces the drains in force. */
    void applyDrains(const std::vector<DrainRecord> &drains);

    /** Sets the servers that hold the floors of a team; unknown servers are ignored. */
    void setHomeServers(const TeamId &team, const std::vector<ServerId> &servers);

    void onLinkUp(const ServerId &server, Incarnation incarnation);
    void onLinkDown(const ServerId &server, Incarnation incarnation);

    /** Returns false if the report is of another incarnation and was not applied. */
    bool onReport(const ServerId &server, Incarnation incarnation, const LoadReport &report, TimePoint now);

    /** Takes the leaving flag of a heartbeat. */
    void onHeartbeat(const ServerId &server, Incarnation incarnation, bool isLeaving);

    /** Takes the budget that a refusal of the agent carries. */
    void onTeamBudget(const ServerId &server, Incarnation incarnation, const TeamBudget &budget);

    void onDispatched(const ServerId &server, Incarnation incarnation);
    void onFinished(const ServerId &server, Incarnation incarnation);

    std::optional<ServerIndex> findServer(const ServerId &server) const;
    std::optional<DataCentreIndex> findDataCentre(const DataCentreId &dataCentre) const;
    std::optional<TargetIndex> findTarget(WorkKind kind, std::string_view name) const;
    const TeamState *findTeam(const TeamId &team) const;

    const ServerState &server(ServerIndex index) const;
    const DataCentreId &dataCentre(DataCentreIndex index) const;
    std::size_t dataCentreCount() const;
    bool isDataCentreDrained(DataCentreIndex index) const;
    const Pool &pool(TargetIndex target, DataCentreIndex dataCentre) const;

    /** Whether the server may take new work: connected, neither drained nor leaving. */
    bool isUsable(ServerIndex index) const;

private:
    struct NameHash
    {
        using is_transparent = void;
        std::size_t operator()(std::string_view name) const
        {
            return std::hash<std::string_view>()(name);
        }
    };

    struct Slot
    {
        ServerState state;
        bool isInCatalogue = false;
        bool isPooled = false;
        std::int64_t countedCapacity = 0;
        std::int64_t countedLoad = 0;
    };

    Slot *currentSlot(const ServerId &server, Incarnation incarnation);
    ServerIndex indexOf(const Slot &slot) const;
    DataCentreIndex internDataCentre(const DataCentreId &dataCentre);
    TargetIndex internTarget(WorkKind kind, const std::string &name);
    bool mayTakeWork(const Slot &slot) const;
    void withdraw(Slot &slot);
    void refresh(Slot &slot);
    void updateDrained(Slot &slot) const;
    void storeBudget(ServerIndex server, const TeamBudget &budget);
    void forgetBudgets(ServerIndex server);

    Options options_;
    std::vector<Slot> slots_;
    std::unordered_map<ServerId, ServerIndex> serverIndices_;
    std::vector<DataCentreId> dataCentres_;
    std::unordered_map<DataCentreId, DataCentreIndex> dataCentreIndices_;
    std::array<std::unordered_map<std::string, TargetIndex, NameHash, std::equal_to<>>, 2> targetIndices_;
    /** By target, then by data centre. */
    std::vector<std::vector<Pool>> pools_;
    std::unordered_map<TeamId, TeamState> teams_;
    std::size_t budgetCount_ = 0;
    std::vector<DrainRecord> drains_;
};

} // namespace hornbeamlane
