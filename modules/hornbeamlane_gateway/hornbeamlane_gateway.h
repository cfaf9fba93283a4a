#pragma once

/**
    The process that sends callers' requests straight to backend servers over HTTP, without agents between.

    Depends on hornbeamlane_dispatch for its decisions and on hornbeamlane_network for connections.
*/

#include "hornbeamlane_gateway/Gateway.h"
#include "hornbeamlane_gateway/crashes/CrashMessage.h"
#include "hornbeamlane_gateway/maps/MapDuty.h"
#include "hornbeamlane_gateway/state/DataCentreReturns.h"
#include "hornbeamlane_gateway/state/EvacuationBook.h"
#include "hornbeamlane_gateway/state/RestoredServer.h"
#include "hornbeamlane_gateway/state/TableFollower.h"
#include "hornbeamlane_gateway/state/UnnamedServers.h"
