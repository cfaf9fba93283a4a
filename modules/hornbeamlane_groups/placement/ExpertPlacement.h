#pragma once

#include "hornbeamlane_groups/placement/ExpertMap.h"

#include <functional>
#include <vector>

namespace hornbeamlane {

/** Shares of the experts, for each layer. */
using ExpertShares = std::vector<std::vector<double>>;

/** Time factor of each rank: 1 for a normal rank, 2 for one that takes twice as long. Empty: all normal. */
using RankSlowness = std::vector<double>;

/** Replicates and places experts so that the slowest rank of each layer finishes as early as possible. */
class ExpertPlacement final
{
public:
    struct Options
    {
        /** Copies that one rank can hold in one layer. */
        std::uint32_t slotsPerRank = 2;
        /** Copies that one round may load, summed over all layers. */
        std::size_t movesPerRound = 256;
        /** Experts of one layer that a rank can load in one round; 0: no bound. */
        std::uint32_t newPerRank = 0;
        /** A move must lower the larger of the loads involved by this part of the mean, or it is not worth it. */
        double smallestGain = 0.01;
        /** Decides the next map; replaces the placement. For baselines. */
        std::function<ExpertMap(const ExpertMap &current, const ExpertShares &shares)> decide;
    };

    explicit ExpertPlacement(Options options);

    /** A better map within the bound on moves; has the version of the current one. */
    ExpertMap improve(const ExpertMap &current, const ExpertShares &shares, const RankSlowness &slowness = {}) const;

    /** Time of each rank for one layer, in shares of the layer's tokens; an expert's load is split over its copies. */
    static std::vector<double> rankLoads(const ExpertMap &map, std::uint32_t layer, const std::vector<double> &shares,
                                         const RankSlowness &slowness = {});

    /** Predicted step time relative to perfect balance: mean over layers of (largest load / mean load). */
    static double imbalance(const ExpertMap &map, const ExpertShares &shares, const RankSlowness &slowness = {});

private:
    class LayerPlan;

    Options options_;
};

} // namespace hornbeamlane
