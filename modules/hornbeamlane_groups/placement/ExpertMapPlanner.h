#pragma once

#include "hornbeamlane_groups/placement/ChangeTurn.h"
#include "hornbeamlane_groups/placement/ExpertDemand.h"
#include "hornbeamlane_groups/placement/RebalancePolicy.h"

#include <memory>
#include <optional>

namespace hornbeamlane {

/** What the groups of one service share: they see the same demand, and change their maps one after the other. */
struct ServiceExperts
{
    ExpertDemand demand;
    ChangeTurn turn;
};

/** A map that a group should change to. */
struct ExpertMapPlan
{
    ExpertMap map;
    /** Imbalance of the map in use and of the planned one under the estimate of the demand. */
    double before = 0.0;
    double predicted = 0.0;
    RebalanceEstimate estimate;
    std::size_t copies = 0;
};

/** What was chosen after a map had been planned, compared with the prediction. */
struct ExpertMapOutcome
{
    ExpertMapVersion version;
    double before = 0.0;
    double predicted = 0.0;
    double found = 0.0;
    /** Choices of one layer that the found imbalance is computed from; few of them make it too large. */
    double choices = 0.0;
};

/** Decides when one group changes its expert map and to which one, and compares what it predicted with what came. */
class ExpertMapPlanner final
{
public:
    struct Options
    {
        GroupId group;
        ExpertPlacement::Options placement;
        RebalancePolicy::Options rebalance;
        /** Time after a switch at which the imbalance is measured. */
        Duration foundDelay = std::chrono::seconds(1);
        /** Samples taken since the plan that a measurement needs, and the time after which it is given up. */
        std::size_t samplesForFound = 4;
        Duration foundTimeout = std::chrono::seconds(5);
    };

    ExpertMapPlanner(Options options, std::shared_ptr<ServiceExperts> service);
    ~ExpertMapPlanner();

    /** The map to change to now, if one is worth it. The group has the service's turn until the change ends; the
        uniform map of a group that has just formed is left without waiting for it. */
    std::optional<ExpertMapPlan> plan(const ExpertMap &active, TimePoint now, const RankSlowness &slowness = {});

    /** The change to the map of the last plan has begun, or could not begin. */
    void noteStarted(const ExpertMapPlan &plan, TimePoint now, const RankSlowness &slowness = {});
    void noteNotStarted();

    /** The switch has ended with this map in use. */
    void noteEnded(ExpertMapVersion active, TimePoint now);

    /** The group has formed anew, so that nothing of an earlier change holds. */
    void restart();

    /** What came of the last change, once. */
    std::optional<ExpertMapOutcome> takeOutcome(TimePoint now);

private:
    struct Change
    {
        ExpertMap map;
        double before = 0.0;
        double predicted = 0.0;
        RankSlowness slowness;
        TimePoint plannedAt;
        std::optional<TimePoint> usedSince;
    };

    Options options_;
    std::shared_ptr<ServiceExperts> service_;
    ExpertPlacement placement_;
    RebalancePolicy policy_;
    std::optional<Change> change_;
};

} // namespace hornbeamlane
