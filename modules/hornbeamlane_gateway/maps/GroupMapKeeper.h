#pragma once

#include "hornbeamlane_dispatch/hornbeamlane_dispatch.h"
#include "hornbeamlane_gateway/maps/EngineApi.h"
#include "hornbeamlane_gateway/maps/RankDirectory.h"
#include "hornbeamlane_groups/hornbeamlane_groups.h"
#include "hornbeamlane_network/loop/EventLoop.h"
#include "hornbeamlane_observability/logging/LogThrottle.h"

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
        /** Ranks whose counts are read each time; all ranks see similar requests. */
        std::uint32_t sampledRanks = 2;
        /** A look is forgotten by half after this time. */
        std::chrono::milliseconds popularityHalfLife{500};
        /** A new map must lower the predicted time of the experts' part by this share of the mean. */
        double worthwhileGain = 0.3;
        /** A single copy must lower the load of a layer's most loaded rank by this share of the mean. */
        double smallestMoveGain = 0.15;
    };

    struct Options
    {
        GroupId group;
        RankIndex ranks = 1;
        EngineModel engine;
        FencingToken token;
        Policy policy;
    };

    GroupMapKeeper(EventLoop &loop, EngineApi api, Options options);

    /** The rows that name ranks of the group; those of lost ranks are missing. */
    void setRows(const RankDirectory::Rows &rows)
    {
        ranks_.setRows(rows);
    }

    void tick();

    const HeldMapSwitch &mapSwitch() const
    {
        return switch_;
    }

private:
    /** Part of the object that outstanding replies may still use after its end. */
    using Guard = std::weak_ptr<int>;

    void sendOrders(const std::vector<EngineOrder> &orders);
    void takeResult(const RankEndpoint &endpoint, const EngineOrder &order, EngineOrderResult result);
    void readReports();
    /** Asks all ranks how slow they are if the passes give a reason to. */
    void readPaces();
    /** Asks the rank, or the servers that may be it. */
    void readReport(RankIndex rank);
    void readReportAt(const RankEndpoint &endpoint);
    void logUnclearRank(const RankEndpoint &endpoint, RankDirectory::Outcome outcome);
    void readCounts();
    void takeCounts(RankIndex rank, const ExpertCounts &counts);
    void readMaps();
    void readPlacements();
    void readPlacement(const RankEndpoint &endpoint);
    void takePlacement(const RankPlacement &placement);
    void considerMap();
    void logSlowness(const RankSlowness &slowness);
    ExpertShares shares() const;
    std::vector<RankIndex> ranksToSample() const;

    EventLoop &loop_;
    EngineApi api_;
    Options options_;
    HeldMapSwitch switch_;
    ExpertPopularity popularity_;
    ExpertPlacement placement_;
    RankPaces paces_;
    RankDirectory ranks_;
    /** Other writers decide how many rows name a rank that their server is not. */
    LogThrottle unclearRankLog_{5, std::chrono::seconds(10)};
    std::map<RankIndex, ExpertCounts> lastCounts_;
    /** The map in use, if its content is known. */
    std::optional<ExpertMap> active_;
    std::optional<ExpertMap> next_;
    /** Experts of each rank while the content of a map that another keeper made is read. */
    std::map<RankIndex, RankPlacement> placements_;
    TimePoint sampledAt_;
    TimePoint placementsAskedAt_;
    bool hasFreshCounts_ = false;
    std::uint64_t mapsMade_ = 0;
    GroupEpoch epoch_;
    RankSlowness loggedSlowness_;
    HeldMapSwitch::Phase loggedPhase_ = HeldMapSwitch::Phase::Recovering;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace hornbeamlane
