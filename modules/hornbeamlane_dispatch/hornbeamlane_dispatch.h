#pragma once

/**
    Decisions of an entry that sends requests straight to backend servers: routes, choice of server, queue, retries.

    No input or output. Depends on hornbeamlane_base.
*/

#include "hornbeamlane_dispatch/catalogue/RouteTable.h"
#include "hornbeamlane_dispatch/pace/PaceBook.h"
#include "hornbeamlane_dispatch/pace/RateMeter.h"
#include "hornbeamlane_dispatch/queue/ArrivalAdmission.h"
#include "hornbeamlane_dispatch/queue/ReturningCallers.h"
#include "hornbeamlane_dispatch/ratelimits/ServerRateLimits.h"
#include "hornbeamlane_dispatch/retry/RetryAllowance.h"
#include "hornbeamlane_dispatch/servers/BackendBook.h"
#include "hornbeamlane_dispatch/servers/BackendDraw.h"
#include "hornbeamlane_dispatch/servers/BackendIndex.h"
#include "hornbeamlane_dispatch/servers/GroupWatch.h"
#include "hornbeamlane_dispatch/servers/LapseWindow.h"
#include "hornbeamlane_dispatch/servers/ServerLimits.h"
#include "hornbeamlane_dispatch/servers/ServerNotices.h"
#include "hornbeamlane_dispatch/stream/EventStreamFilter.h"
