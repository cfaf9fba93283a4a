#pragma once

#include "hornbeamlane_admission/hornbeamlane_admission.h"
#include "hornbeamlane_entry/CallerRequest.h"
#include "hornbeamlane_entry/PromptPartGuard.h"
#include "hornbeamlane_routing/hornbeamlane_routing.h"

#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace hornbeamlane {

/** The routing state of one entry: what it knows of servers, caches and crashing requests, and its choice from it. */
class EntryRouting final
{
public:
    struct Choice
    {
        ServerId server;
        Incarnation incarnation;
    };

    /** Why there is no choice. */
    struct NoChoice
    {
        Refusal refusal;
        /** A suspect that waits for its turn; ask again shortly. */
        bool isTemporary = false;
    };

    /** `tellPeers` sends a message to all linked entries. */
    EntryRouting(DataCentreId dataCentre, Incarnation self, RandomSource &random,
                 std::function<void(const Message &)> tellPeers);

    void applyCatalogue(const std::shared_ptr<const Catalogue> &catalogue);
    void applyDrains(const std::vector<DrainRecord> &drains, TimePoint now);
    void setPeers(const std::vector<Incarnation> &peers);

    void onLinkUp(const ServerId &server, Incarnation incarnation, TimePoint now);
    /** The link ended; unless that was planned or the agent had announced that it is leaving, it counts as lost. */
    void onLinkDown(const ServerId &server, Incarnation incarnation, bool isPlanned, TimePoint now);
    void onHeartbeat(const ServerId &server, Incarnation incarnation, const Heartbeat &heartbeat);
    void onReport(const ServerId &server, Incarnation incarnation, const LoadReport &report, TimePoint now);

    std::optional<Choice> choose(const CallerRequest &request, const std::vector<ServerId> &tried, TimePoint now,
                                 NoChoice &none);

    void onDispatched(const Choice &choice, const Dispatch &dispatch, TimePoint now);
    void onEnded(const Choice &choice, const Dispatch &dispatch, bool isComplete, TimePoint now);
    void onTeamBudget(const ServerId &server, Incarnation incarnation, const TeamBudget &budget);

    CrashQuarantine &quarantine();

    PromptPartGuard &crashes()
    {
        return crashes_;
    }

private:
    void learnHomeServers(const TeamId &team);
    std::optional<DataCentreIndex> chooseDataCentre(const CallerRequest &request, TargetIndex target, TimePoint now);

    DataCentreId dataCentre_;
    RandomSource &random_;
    std::shared_ptr<const Catalogue> catalogue_;
    std::unique_ptr<FloorSplit> floors_;
    std::uint32_t highestPriority_ = 0;
    ServerView view_;
    PrefixCacheView cache_;
    ServerChooser chooser_;
    SpillPolicy spill_;
    CrashQuarantine quarantine_;
    PromptPartGuard crashes_;
    std::set<TeamId> teamsWithHomes_;
    std::vector<bool> wasDrained_;
};

} // namespace hornbeamlane
