#pragma once

#include "fault_matrix/FaultCell.h"

namespace hornbeamlane::testing {

/** Adds the cells of cold start, drains and team limits (C2, C3, C5, C7, C8, L). */
void addAdmissionFaultCells(FaultCells &cells);

} // namespace hornbeamlane::testing
