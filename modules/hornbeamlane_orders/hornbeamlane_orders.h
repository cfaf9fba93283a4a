/**
    Runs unrepeatable requests at most once and keeps what is said about their execution true.

    The entry uses ClaimCoordinator, AttemptTracker, RetryBudget and ResponseAssembler; the agent uses AttemptLedger.
    Depends on hornbeamlane_messages and, for table rows, on hornbeamlane_membership. Does no input or output and reads
    no clock.
*/
#pragma once

#include "hornbeamlane_orders/attempts/AttemptLedger.h"
#include "hornbeamlane_orders/attempts/AttemptTracker.h"
#include "hornbeamlane_orders/attempts/ResponseAssembler.h"
#include "hornbeamlane_orders/attempts/RetryBudget.h"
#include "hornbeamlane_orders/claims/ClaimActions.h"
#include "hornbeamlane_orders/claims/ClaimCoordinator.h"
#include "hornbeamlane_orders/claims/ClaimRecord.h"
