#pragma once

#include "hornbeamlane_groups/placement/ExpertMap.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace hornbeamlane {

/** Number of a forming of a group; when a rank is lost and comes back, all ranks start anew in the next one. */
using GroupEpoch = Number<struct GroupEpochTag>;

/** State of one rank of a group whose engines take map orders themselves. */
struct EngineRankReport
{
    RankIndex rank = 0;
    GroupEpoch epoch;
    bool isOpen = false;
    /** The last pass that has begun. */
    StepNumber step;
    ExpertMapVersion active;
    /** Map whose experts the rank has copied. */
    std::optional<ExpertMapVersion> prepared;
    bool isArmed = false;
    ExpertMapVersion armedMap;
    /** Pass at which the armed map takes effect; unknown if the engine does not tell it. */
    std::optional<StepNumber> armedStep;
    /** Pass that the group does not begin before it is released. */
    std::optional<StepNumber> heldStep;
    /** Times the usual time that the rank says it needs; 1 if it tells nothing. */
    double pace = 1.0;
};

/** Maps of one rank as of the moment of the answer; a report is older. */
struct EngineRankMaps
{
    RankIndex rank = 0;
    GroupEpoch epoch;
    /** The last pass that has begun; zero if the engine does not tell it here. */
    StepNumber step;
    ExpertMapVersion active;
    std::optional<ExpertMapVersion> prepared;
};

enum class EngineOrderKind {
    Prepare, ///< Copy the experts of a map.
    Arm, ///< Switch to a prepared map as the given pass begins.
    Disarm,
    Hold, ///< Do not begin the given pass before it is released.
    Release,
};

/** An order to the engine of one rank. */
struct EngineOrder
{
    RankIndex rank = 0;
    EngineOrderKind kind = EngineOrderKind::Prepare;
    GroupEpoch epoch;
    ExpertMapVersion version;
    StepNumber step;
    /** For Prepare only; shared by the orders to all ranks. */
    std::shared_ptr<const ExpertMap> map;
};

enum class EngineOrderResult {
    Accepted, ///< Begun, done, or held already.
    Refused, ///< Does not fit the state of the rank; has no effect, now or later.
    Misdirected, ///< Another server has the address of the rank; the rank has got nothing.
    NoReply, ///< May take effect, now or seconds later.
};

} // namespace hornbeamlane
