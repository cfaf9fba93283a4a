/**
    The agent: the only way to the engine or service on its host.

    Wires the admission and attempt rules of the core to links and to the engine's HTTP interface. Depends on
    hornbeamlane_daemon, hornbeamlane_admission, hornbeamlane_orders and hornbeamlane_membership.
*/
#pragma once

#include "hornbeamlane_agent/Agent.h"
#include "hornbeamlane_agent/AgentSettings.h"
