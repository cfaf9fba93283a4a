/**
    Time, identifiers, failures, random numbers, hashes and token buckets that every other module uses.

    Depends on nothing of the project. Public headers include the standard library only.
*/
#pragma once

#include "hornbeamlane_base/failure/Assertions.h"
#include "hornbeamlane_base/failure/ExecutionState.h"
#include "hornbeamlane_base/failure/Refusal.h"
#include "hornbeamlane_base/hash/Hash.h"
#include "hornbeamlane_base/identity/AttemptId.h"
#include "hornbeamlane_base/identity/Identifiers.h"
#include "hornbeamlane_base/random/RandomSource.h"
#include "hornbeamlane_base/rate/RateBucket.h"
#include "hornbeamlane_base/rate/TokenBucket.h"
#include "hornbeamlane_base/time/Time.h"
