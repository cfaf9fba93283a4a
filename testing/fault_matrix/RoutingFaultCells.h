#pragma once

#include "fault_matrix/FaultCell.h"

namespace hornbeamlane::testing {

/** Faults of servers, callers and messages at every point of choosing a server and of the crash quarantine. */
void addRoutingFaultCells(FaultCells &cells);

} // namespace hornbeamlane::testing
