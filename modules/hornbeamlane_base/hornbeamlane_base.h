/**
    Time, identifiers, failures, random numbers, hashes, token buckets and the queue that every other module uses.

    Depends on nothing of the project. Public headers include the standard library only.
*/
#pragma once

#include "hornbeamlane_base/failure/Assertions.h"
#include "hornbeamlane_base/failure/ExecutionState.h"
#include "hornbeamlane_base/failure/Refusal.h"
#include "hornbeamlane_base/hash/Hash.h"
#include "hornbeamlane_base/identity/AttemptId.h"
#include "hornbeamlane_base/identity/Identifiers.h"
#include "hornbeamlane_base/queue/FairQueue.h"
#include "hornbeamlane_base/random/RandomSource.h"
#include "hornbeamlane_base/rate/RateBucket.h"
#include "hornbeamlane_base/rate/TokenBucket.h"
#include "hornbeamlane_base/time/Time.h"
