/**
    Decides in the agent what its backend server may run: cold start, concurrency, queue and team limits.

    AdmissionController is the facade; the other classes are its parts. Depends on hornbeamlane_catalogue,
    hornbeamlane_messages and, for the rows of team leases, hornbeamlane_membership. Does no input or output, reads no
    clock: every event carries the time, and what has to be done is returned as actions.
*/
#pragma once

#include "hornbeamlane_admission/concurrency/AdaptiveConcurrency.h"
#include "hornbeamlane_admission/concurrency/ColdStartLimiter.h"
#include "hornbeamlane_admission/concurrency/EngineWatch.h"
#include "hornbeamlane_admission/controller/AdmissionController.h"
#include "hornbeamlane_admission/teams/FloorSplit.h"
#include "hornbeamlane_admission/teams/TeamLeaseBook.h"
#include "hornbeamlane_admission/teams/TeamLeaseRow.h"
#include "hornbeamlane_admission/teams/TeamLimits.h"
