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
    /** Engine that the order is for; an engine that was restarted refuses it. Zero with Query: any engine. */
    Incarnation engine;
    MapOrderKind kind = MapOrderKind::Query;
    ExpertMapVersion map;
    /** Step of Arm, Go and Disarm. With Stage: zero, or the step at which a rank without a map joins the group. */
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
    /** Zero if the agent refused the order itself; the other fields then say nothing about the rank. */
    Incarnation engine;
    bool isAccepted = false;
    /** Last step that the rank has entered. */
    StepNumber currentStep;
    ExpertMapVersion activeMap;
    ExpertMapVersion stagedMap;
    ExpertMapVersion armedMap;
    StepNumber armedStep;
    /** The rank has received Go for the armed map. */
    bool hasGo = false;
    /** The rank has loaded a map after its start and waits for Go to enter its first step. */
    bool isJoining = false;
};

} // namespace hornbeamlane
