#pragma once

#include "fault_matrix/FaultCell.h"

namespace hornbeamlane::testing {

/** Faults of orders, controllers and ranks at every order of a map switch behind a held pass. */
void addHeldSwitchFaultCells(FaultCells &cells);

} // namespace hornbeamlane::testing
