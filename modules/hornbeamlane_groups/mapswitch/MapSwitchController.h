#pragma once

#include "hornbeamlane_groups/placement/ExpertMap.h"
#include "hornbeamlane_messages/types/GroupMessages.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace hornbeamlane {

/**
    Controls the expert map of one group under one fencing token: recovery, joins of restarted ranks, and map switches.

    It compares the last known state of each rank with the wanted one and sends the next order that is missing, again
    until the rank shows its effect, so a lost message costs time only. Its owner calls poll() only while it holds the
    lease whose token was given, and makes a new controller for each new token. The owner writes each map to the table,
    under a version that no row had before, before it starts a switch to it.
*/
class MapSwitchController final
{
public:
    enum class Phase {
        Fencing, ///< Some rank has not answered under this token yet.
        Idle,
        Staging,
        Arming,
        Going, ///< The switch is decided and cannot be taken back.
        Disarming,
    };

    /** What happened to switches, for metrics. */
    struct Counters
    {
        std::uint64_t completed = 0;
        std::uint64_t abandoned = 0;
        std::uint64_t arms = 0;
        std::uint64_t joins = 0;
    };

    struct Options
    {
        GroupId group;
        RankIndex ranks = 1;
        FencingToken token;
        /** Time after which an order without visible effect is sent again. */
        Duration resendInterval = std::chrono::milliseconds(20);
        /** Interval of queries without a switch; finds restarted ranks and leftover arms. */
        Duration queryInterval = std::chrono::milliseconds(500);
        /** Time that arming all ranks may take; the armed step is this far ahead. */
        Duration armLead = std::chrono::milliseconds(20);
        /** Expected time of one step. */
        Duration stepTime = std::chrono::milliseconds(20);
        /** Time beyond the lead for which armed ranks may be held for a rank that does not answer. */
        Duration armPatience = std::chrono::milliseconds(60);
        /** Time that staging may take before the switch is given up. */
        Duration stagePatience = std::chrono::seconds(120);
        /** Arms of one switch before it is given up. */
        unsigned armsPerSwitch = 4;
        /** Whether Go may be sent. Default: when all ranks are armed. */
        std::function<bool(std::size_t armed, std::size_t ranks)> mayGo;
        /** Whether recovery may decide. Default: when all ranks have answered under this token. */
        std::function<bool(std::size_t answered, std::size_t ranks)> mayRecover;
        /** Whether recovery completes the switch found at the ranks. Default: completesFoundSwitch(). */
        std::function<bool(const std::vector<MapStatus> &ranks)> completesSwitch;
        /** Chooses the step to arm; for baselines. Default: the lead in steps after the estimated present step. */
        std::function<StepNumber(StepNumber present, Duration lead, Duration stepTime)> chooseArmStep;
    };

    explicit MapSwitchController(Options options);

    /** Makes the contents of a map known. */
    void addMap(const ExpertMap &map);

    /** A version whose contents are needed and not known; the owner reads its row and calls addMap(). */
    std::optional<ExpertMapVersion> missingMap() const;

    /** Starts a switch, or the first start of a group without any map; false if that is not possible now. */
    bool switchTo(ExpertMapVersion version, TimePoint now);

    /** Orders to send now. */
    std::vector<MapOrder> poll(TimePoint now);

    /** Takes the answer of a rank. */
    void handle(const MapStatus &status, TimePoint now);

    void setStepTime(Duration stepTime)
    {
        options_.stepTime = stepTime;
    }

    Phase phase() const
    {
        return phase_;
    }

    /** Another controller has a newer token; this one sends nothing any more. */
    bool isFencedOff() const
    {
        return isFencedOff_;
    }

    /** Map in use by all ranks before the switch in progress, if any; zero if the group has none or it is unknown. */
    ExpertMapVersion activeMap() const
    {
        return base_;
    }

    /** Highest version seen at any rank; a new map needs a higher one. */
    ExpertMapVersion highestMap() const
    {
        return highestMap_;
    }

    const Counters &counters() const
    {
        return counters_;
    }

    /**
        The default rule of recovery: true if a rank has passed the step or has Go, or if all ranks that have a map are
        armed for the same step. In the last case Go may have reached a rank that has died since.
    */
    static bool completesFoundSwitch(const std::vector<MapStatus> &ranks);

private:
    struct Rank
    {
        std::optional<MapStatus> status;
        TimePoint heardAt;
        /** Status was received after the last rank was found to have restarted. */
        bool isFresh = false;
        bool hasDisarmed = false;
        std::optional<MapOrder> lastOrder;
        TimePoint sentAt;
        unsigned repetitions = 0;
        bool wasQueriedLast = false;
        std::set<Incarnation> formerEngines;
        StepNumber joinStep;
        ExpertMapVersion joinMap;
    };

    void recover(TimePoint now);
    void advance(TimePoint now);
    void startArm(TimePoint now);
    void startDisarm();
    void abandonOrRearm(TimePoint now);
    StepNumber estimatedStep(TimePoint now) const;
    bool needsJoin(const MapStatus &status) const;
    bool isArmed(const MapStatus &status) const;
    bool hasSwitched(const MapStatus &status) const;
    bool anyNeedsJoin() const;
    void forgetFreshness();
    std::optional<MapOrder> nextOrder(RankIndex index, TimePoint now);
    std::optional<MapOrder> joinOrder(RankIndex index);
    std::optional<MapOrder> stageOrder(RankIndex index, ExpertMapVersion version, StepNumber joinStep);
    MapOrder makeOrder(RankIndex index, MapOrderKind kind, ExpertMapVersion map, StepNumber step) const;

    Options options_;
    std::vector<Rank> ranks_;
    std::map<ExpertMapVersion, ExpertMap> maps_;
    mutable std::optional<ExpertMapVersion> missingMap_;
    Phase phase_ = Phase::Fencing;
    bool isFencedOff_ = false;
    ExpertMapVersion base_;
    ExpertMapVersion target_;
    ExpertMapVersion highestMap_;
    StepNumber armStep_;
    unsigned arms_ = 0;
    TimePoint deadline_;
    Counters counters_;
};

} // namespace hornbeamlane
