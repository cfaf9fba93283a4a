#pragma once

#include "hornbeamlane_groups/enginemaps/EngineOrders.h"
#include "hornbeamlane_groups/enginemaps/PassProgress.h"

#include <functional>
#include <optional>
#include <vector>

namespace hornbeamlane {

/**
    Switches a group from one expert map to the next behind a held pass.

    All ranks prepare the map. Then one rank holds a pass that is some way ahead, all ranks are armed for that pass, and
    only when each of them has confirmed is the pass released. Orders that are lost or carried out late cannot let the
    pass begin with two maps: it does not begin before the release, and an order for a pass that has begun is refused.
*/
class HeldMapSwitch final
{
public:
    enum class Phase {
        Recovering, ///< Reads what an earlier controller has left behind.
        Idle,
        Preparing,
        Holding,
        Arming,
        Releasing,
        Settling, ///< Released; the pass has not been seen to begin.
        Unwinding, ///< A rank cannot be armed: all are disarmed before the pass is released.
    };

    struct Options
    {
        RankIndex ranks = 1;
        /** Rank that holds the pass. Controllers of different tokens use different ones, so that the release of one
            does not release the pass of another. */
        RankIndex holdRank = 0;
        /** Passes between the newest one known and the held one. */
        std::uint64_t leadPasses = 2;
        /** Time after which an order without answer counts as lost and is sent again. */
        std::chrono::milliseconds resendInterval{80};
        /** The same for the order to prepare, which carries the whole map. */
        std::chrono::milliseconds prepareResendInterval{1000};
        /** Ranks that are sent the map at the same time, so that large groups do not fill the controller's link. */
        std::size_t preparesInFlight = 10;
        /** Pause between two rounds of reports. */
        std::chrono::milliseconds reportInterval{120};
        /** Pause between two looks at the maps of ranks that copy experts or wait for the held pass. */
        std::chrono::milliseconds mapsInterval{50};
        /** Ranks that are asked for their maps at once. Each of them pauses the group by half a millisecond, so that a
            larger group is asked for reports instead, which are older. */
        std::size_t maxMapsAsked = 16;
        /** Reports are as old as this, so the group is further on by the passes of that time. */
        std::chrono::milliseconds reportAge{200};
        std::chrono::milliseconds prepareTimeout{4000};
        /** Time after which an arming that some rank refuses is taken back. */
        std::chrono::milliseconds armTimeout{1500};
        /** An order that got no answer may be carried out within this time. */
        std::chrono::milliseconds latestExecution{13000};
        /** Without a new pass for this time, all ranks are asked whether one of them holds a pass. */
        std::chrono::milliseconds standstill{1000};
        /** Pause between two such rounds while an order of an earlier controller can still be carried out. */
        std::chrono::milliseconds holdLookInterval{1000};
        /** The same for a group that has stood still for longer, such as one without requests. */
        std::chrono::milliseconds idleHoldLookInterval{5000};
        /** Whether the pass may be released. Default: when all ranks are armed. */
        std::function<bool(std::size_t armed, std::size_t ranks)> mayRelease;
        /** Whether ranks may be armed. Default: when the hold is confirmed. */
        std::function<bool(bool isHoldConfirmed)> mayArm;
    };

    struct Counters
    {
        std::uint64_t completed = 0;
        std::uint64_t abandoned = 0;
        std::uint64_t resent = 0;
    };

    explicit HeldMapSwitch(Options options);

    /** Starts a switch; false unless idle. The version must be higher than any that the ranks have had. The ranks are
        not asked whether they have prepared the map before the copy time is over. */
    bool start(const ExpertMap &next, Duration copyTime, TimePoint now);

    /** Orders that are due. */
    std::vector<EngineOrder> poll(TimePoint now);

    /** Ranks whose reports are needed now. */
    std::vector<RankIndex> reportsWanted(TimePoint now);

    /** Ranks whose maps as of now are needed. */
    std::vector<RankIndex> mapsWanted(TimePoint now);

    void onResult(const EngineOrder &order, EngineOrderResult result, TimePoint now);
    void onReport(const EngineRankReport &report, TimePoint now);
    void onMaps(const EngineRankMaps &maps, TimePoint now);

    /** The group was seen to be in this epoch and to have begun this pass. */
    void onProgress(GroupEpoch epoch, StepNumber step, TimePoint now);

    Phase phase() const
    {
        return phase_;
    }

    /** The epoch in which the group is open; empty while it is not. */
    std::optional<GroupEpoch> epoch() const
    {
        return isOpen_ ? std::optional(epoch_) : std::nullopt;
    }

    /** Map in use by the ranks, as far as known. */
    ExpertMapVersion activeMap() const
    {
        return active_;
    }

    const Counters &counters() const
    {
        return counters_;
    }

private:
    enum class RankState { Unknown, Sent, Done };

    struct Rank
    {
        std::optional<EngineRankReport> report;
        TimePoint reportedAt;
        RankState order = RankState::Unknown;
        TimePoint sentAt;
        bool isPrepared = false;
        bool hasRefused = false;
        /** An arm without answer, of this or an earlier controller, that may still take effect. */
        std::optional<TimePoint> unresolvedArmAt;
    };

    void reset(GroupEpoch epoch);
    void enter(Phase phase, TimePoint now);
    void resendLost(TimePoint now);
    void recover(TimePoint now);
    void restartRecovery();
    bool areReportsNewerThanHold() const;
    bool isStandingStill(TimePoint now) const;
    /** Whether the report shows a hold that this controller does not know of and that stops the group. */
    bool showsUnknownHold(const EngineRankReport &report, TimePoint now) const;
    std::vector<RankIndex> allRanks() const;
    /** Ranks that have accepted the order to prepare and are not known to have the map yet; empty while they copy. */
    std::vector<RankIndex> ranksToConfirm(TimePoint now) const;
    void advance(TimePoint now);
    /** The group had begun this pass at the given time. */
    void noteProgress(StepNumber step, TimePoint seenAt, TimePoint now);
    EngineOrder order(RankIndex rank, EngineOrderKind kind) const;
    void addOrders(std::vector<EngineOrder> &orders, EngineOrderKind kind, TimePoint now);
    void addHolderOrder(std::vector<EngineOrder> &orders, EngineOrderKind kind, TimePoint now);
    std::size_t doneCount() const;
    bool mayUnwindFinish(TimePoint now) const;

    Options options_;
    std::vector<Rank> ranks_;
    Phase phase_ = Phase::Recovering;
    GroupEpoch epoch_;
    bool isOpen_ = false;
    ExpertMapVersion active_;
    std::shared_ptr<const ExpertMap> next_;
    ExpertMapVersion target_;
    StepNumber step_;
    RankIndex holder_ = 0;
    bool isHoldConfirmed_ = false;
    /** Recovery has seen holds at other ranks than the holder. */
    bool areMoreHeld_ = false;
    int holdRefusals_ = 0;
    TimePoint phaseSince_;
    TimePoint reportsAskedAt_;
    TimePoint mapsAskedAt_;
    Duration copyTime_{};
    /** When the last rank accepted the order to prepare. */
    TimePoint acceptedAt_;
    RankIndex askedRank_ = 0;
    /** When a hold was first reported during recovery. */
    std::optional<TimePoint> holdSeenAt_;
    PassProgress progress_;
    Counters counters_;
};

} // namespace hornbeamlane
