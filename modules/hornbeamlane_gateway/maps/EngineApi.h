#pragma once

#include "hornbeamlane_gateway/maps/RankEndpoint.h"
#include "hornbeamlane_groups/enginemaps/EngineOrders.h"

#include <functional>
#include <optional>
#include <vector>

namespace hornbeamlane {

/** How often the requests of one rank have chosen each expert of each layer since the rank started. */
struct ExpertCounts
{
    GroupEpoch epoch;
    StepNumber step;
    /** Layer by layer. */
    std::vector<double> counts;
};

/** Maps of one rank, and for each layer the experts that it holds. */
struct RankPlacement
{
    EngineRankMaps maps;
    std::vector<std::vector<ExpertIndex>> experts;
};

/** Reads the report of a rank; empty if there is none or it is of another rank or group. */
using ReadRankReport =
    std::function<void(const RankEndpoint &, std::function<void(const std::optional<EngineRankReport> &)>)>;

/** Calls to the engines of a group. Replies come later, on the same thread, each exactly once. */
struct EngineApi
{
    std::function<void(const RankEndpoint &, const EngineOrder &, FencingToken, std::function<void(EngineOrderResult)>)>
        sendOrder;
    ReadRankReport readReport;
    std::function<void(const RankEndpoint &, std::function<void(const std::optional<ExpertCounts> &)>)> readCounts;
    std::function<void(const RankEndpoint &, std::function<void(const std::optional<RankPlacement> &)>)> readPlacement;
};

} // namespace hornbeamlane
