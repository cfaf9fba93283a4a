#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hornbeamlane {

enum class MapOrderKind {
    Stage, ///< Load the weights that the map needs; steps are not affected.
    Arm, ///< Hold before the given step until Go or Disarm.
    Go, ///< Pass the given step with the armed map.
    Disarm, ///< Drop the armed map and go on with the active one.
    Query, ///< Report the state; refuses older tokens from then on.
};

/** An order of a group's controller to one rank. */
struct MapOrder
{
    GroupId group;
    std::uint32_t rank = 0;
    FencingToken token;
    MapOrderKind kind = MapOrderKind::Query;
    ExpertMapVersion map;
    StepNumber step;
    /** Expert indices held by this rank, for each layer; given with Stage. */
    std::vector<std::vector<std::uint16_t>> experts;
};

/** State of one rank, in answer to an order. */
struct MapStatus
{
    GroupId group;
    std::uint32_t rank = 0;
    /** Highest token seen by the rank or by the agent on its behalf. */
    FencingToken token;
    bool isAccepted = false;
    StepNumber currentStep;
    ExpertMapVersion activeMap;
    ExpertMapVersion stagedMap;
    ExpertMapVersion armedMap;
    StepNumber armedStep;
    /** The rank has received Go for the armed map. */
    bool hasGo = false;
};

} // namespace hornbeamlane
