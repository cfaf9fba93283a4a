#pragma once

#include "fault_matrix/FaultCell.h"

namespace hornbeamlane::testing {

/** Catalogue propagation, drains, cut-off data centres and the operator's operations under faults. */
void addMembershipFaultCells(FaultCells &cells);

} // namespace hornbeamlane::testing
