/**
    Groups of ranks that run a mixture-of-experts model in lock-step: placement of experts, the switch from one expert
    map to the next, stragglers, and placement of models on servers.

    Depends on hornbeamlane_membership and hornbeamlane_messages. Does no input or output of its own.
*/
#pragma once

#include "hornbeamlane_groups/enginemaps/HeldMapSwitch.h"
#include "hornbeamlane_groups/enginemaps/SwitchRecovery.h"
#include "hornbeamlane_groups/mapswitch/FencingGuard.h"
#include "hornbeamlane_groups/mapswitch/MapSwitchController.h"
#include "hornbeamlane_groups/mapswitch/RankGate.h"
#include "hornbeamlane_groups/models/ModelPlacement.h"
#include "hornbeamlane_groups/placement/ExpertMap.h"
#include "hornbeamlane_groups/placement/ExpertPlacement.h"
#include "hornbeamlane_groups/placement/ExpertPopularity.h"
#include "hornbeamlane_groups/placement/RebalancePolicy.h"
#include "hornbeamlane_groups/stragglers/RankPaces.h"
#include "hornbeamlane_groups/stragglers/StragglerDetector.h"
