#pragma once

#include "hornbeamlane_groups/enginemaps/EngineOrders.h"

#include <vector>

namespace hornbeamlane {

/** What a controller makes of a switch that it did not begin, or of which it has lost track. */
struct SwitchRecovery
{
    enum class Next {
        AskAgain, ///< The reports may be from before the hold.
        BeIdle,
        AwaitArmedPass, ///< Released: all ranks are armed for a pass that has not begun.
        CompleteSwitch, ///< Arm all ranks for the held pass, then release it.
        ReleaseOnly, ///< No rank is armed for the held pass, or will be.
    };

    Next next = Next::AskAgain;
    /** Map in use, or to be used from the pass on for which the ranks are armed. */
    ExpertMapVersion active;
    /** Rank that holds the pass to which the group comes first. */
    RankIndex holder = 0;
    /** The held pass, or the one for which the ranks are armed. */
    StepNumber step;
    /** Map in use from that pass on. */
    ExpertMapVersion target;
    /** Other ranks hold passes too. */
    bool areMoreHeld = false;
};

/** Decides from the reports of all ranks. `newest` is the last pass known to have begun; `areNewerThanHold` tells
    whether each report was made after a hold was first seen. */
SwitchRecovery recoverSwitch(const std::vector<EngineRankReport> &reports, StepNumber newest, bool areNewerThanHold);

} // namespace hornbeamlane
