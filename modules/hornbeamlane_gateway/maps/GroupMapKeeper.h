#pragma once

#include "hornbeamlane_dispatch/hornbeamlane_dispatch.h"
#include "hornbeamlane_gateway/maps/EngineApi.h"
#include "hornbeamlane_groups/hornbeamlane_groups.h"
#include "hornbeamlane_network/loop/EventLoop.h"
#include "hornbeamlane_observability/hornbeamlane_observability.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hornbeamlane {

/**
    Keeps the expert map of one group fit for what its requests choose.

    Its owner calls tick() only while it holds the lease for the group, and makes a new keeper for each new token.
*/
class GroupMapKeeper final
{
public:
    /** When to look at the counts and when a new map is worth its copies. */
    struct Policy
    {
        /** Time between two looks at the counts. */
        std::chrono::milliseconds sampleInterval{500};
        /** Ranks whose counts are read each time; each read pauses the group. */
        std::uint32_t sampledRanks = 2;
        /** Ranks that take turns in being read. Counts are sums since the start of the rank, so a rank that is read
            less often loses none of its choices: more ranks give more choices at the same price, but older ones. */
        std::uint32_t rotatedRanks = 4;
        /** Half-life of the short average of the service's demand. */
        std::chrono::milliseconds popularityHalfLife{500};
        /** A new map must save this part of the time of a pass; smaller gains are noise of the estimate. */
        double worthwhileGain = 0.03;
        /** A single copy must lower the load of a layer's most loaded rank by this share of the mean. */
        double smallestMoveGain = 0.1;
        /** Time for which a map is better than the one before it, because demand drifts. */
        std::chrono::milliseconds gainHorizon{6000};
        /** Shortest time between two changes of one group. */
        std::chrono::milliseconds shortestInterval{1500};
        /** Part of the time of a pass that follows the load of the experts, if it is balanced. */
        double expertTimeShare = 0.5;
        /** Part by which passes take longer while experts are copied. */
        double copySlowdown = 0.15;
    };

    struct Options
    {
        GroupId group;
        RankIndex ranks = 1;
        EngineModel engine;
        FencingToken token;
        Policy policy;
        /** Shared by the keepers of all groups of the service. */
        std::shared_ptr<ServiceExperts> service;
        /** Gets what was predicted and found, if given. */
        MetricsRegistry *metrics = nullptr;
    };

    GroupMapKeeper(EventLoop &loop, EngineApi api, Options options);

    /** Address of each rank; those of lost ranks are missing. */
    void setRanks(std::map<RankIndex, std::string> addresses);

    void tick();

    const HeldMapSwitch &mapSwitch() const
    {
        return switch_;
    }

private:
    /** Part of the object that outstanding replies may still use after its end. */
    using Guard = std::weak_ptr<int>;

    /** A rank whose counts are read, and its number among those that take turns. */
    struct SampledRank
    {
        RankIndex rank = 0;
        std::size_t source = 0;
    };

    void sendOrders(const std::vector<EngineOrder> &orders);
    void readReports();
    /** Asks all ranks how slow they are if the passes give a reason to. */
    void readPaces();
    void readReport(RankIndex rank, const std::string &address);
    void readCounts();
    void takeCounts(const SampledRank &sampled, const ExpertCounts &counts);
    void readMaps();
    void readPlacements();
    void readPlacement(RankIndex rank, const std::string &address);
    void takePlacement(const RankPlacement &placement);
    void considerMap();
    void reportPlan(const ExpertMapPlan &plan, bool hasStarted);
    void reportOutcome(const ExpertMapOutcome &outcome);
    void logSlowness(const RankSlowness &slowness);
    std::vector<SampledRank> ranksToSample();
    /** What a rank's requests have chosen since the last look; empty if that cannot be told. */
    std::optional<ExpertSample> sampleOf(const SampledRank &sampled, const ExpertCounts &counts) const;
    static ExpertMapPlanner::Options plannerOptions(const Options &options);

    EventLoop &loop_;
    EngineApi api_;
    Options options_;
    HeldMapSwitch switch_;
    ExpertMapPlanner planner_;
    RankPaces paces_;
    std::map<RankIndex, std::string> addresses_;
    struct Look
    {
        ExpertCounts counts;
        TimePoint takenAt;
    };
    std::map<RankIndex, Look> lastLooks_;
    std::size_t nextSource_ = 0;
    /** The map in use, if its content is known. */
    std::optional<ExpertMap> active_;
    std::optional<ExpertMap> next_;
    /** Experts of each rank while the content of a map that another keeper made is read. */
    std::map<RankIndex, RankPlacement> placements_;
    TimePoint sampledAt_;
    TimePoint placementsAskedAt_;
    /** The estimate or the map in use has changed since a change was last considered. */
    bool isDueToConsider_ = false;
    bool isChanging_ = false;
    std::uint64_t mapsMade_ = 0;
    GroupEpoch epoch_;
    RankSlowness loggedSlowness_;
    HeldMapSwitch::Phase loggedPhase_ = HeldMapSwitch::Phase::Recovering;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace hornbeamlane
