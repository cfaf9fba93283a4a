#pragma once

#include "fault_matrix/FaultCell.h"

namespace hornbeamlane::testing {

/** Adds the cells for map switches and leases of groups. Each cell strikes at every message of a switch in turn. */
void addGroupFaultCells(FaultCells &cells);

} // namespace hornbeamlane::testing
