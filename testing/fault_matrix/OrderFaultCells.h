#pragma once

#include "fault_matrix/FaultCell.h"

namespace hornbeamlane::testing {

/** Cells for C4, C5 and C6: each fault at each message of keyed requests, alone and in pairs. */
void addOrderFaultCells(FaultCells &cells);

} // namespace hornbeamlane::testing
