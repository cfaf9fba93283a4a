#pragma once

#include "fault_matrix/FaultCell.h"

#include <set>
#include <string>

namespace hornbeamlane::testing {

/** All mechanisms that the cells list. */
std::set<std::string> mechanismsOf(const FaultCells &cells);

/** Whether the cell lists the mechanism among those that it needs. */
bool isProtectedBy(const FaultCell &cell, const std::string &mechanism);

/** Expects that without the mechanism exactly those cells fail that list it. */
void expectExactProtections(const FaultCells &cells, const std::string &mechanism);

} // namespace hornbeamlane::testing
