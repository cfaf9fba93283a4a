#pragma once

#include "fault_matrix/FaultCell.h"

#include <cstddef>

namespace hornbeamlane::testing {

enum class UpdateFault { None, Lost, Doubled, Delayed };

/** What happens besides the plain run of a crashing request; a tick of -1 means never. */
struct CrashFaults
{
    int resendAt = -1;
    std::size_t resendTo = 0;
    /** Ticks until the resent call crashes its server. */
    int resendRunTicks = 3;
    UpdateFault update = UpdateFault::None;
    int updateAt = -1;
    /** The entries are cut off from each other and all calls go to the first. */
    bool isAlone = false;
    /** The entry that is called first has the highest incarnation instead of the lowest, and so yields claims. */
    bool isReversed = false;
    /** A server is lost without any fault of a request. */
    int loseServerAt = -1;
    std::size_t lostServer = 0;
};

struct CrashOutcome
{
    int lostToCrasher = 0;
    /** Refused calls of others that were not themselves in flight on two lost servers. */
    int refusedWithoutCause = 0;
    /** Calls of others that were refused for any reason. */
    int refusedOthers = 0;
    int unfinishedOthers = 0;
    /** Quarantine refusals that state that nothing ran. */
    int falseNotRun = 0;
};

/** Runs three entries, ten servers and a request that crashes every server; virtual time advances in ticks. */
CrashOutcome runCrashWorld(const CrashFaults &faults, const DisabledMechanisms &disabled);

} // namespace hornbeamlane::testing
