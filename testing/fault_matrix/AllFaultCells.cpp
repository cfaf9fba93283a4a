#include "fault_matrix/FaultCell.h"

#include "fault_matrix/GroupFaultCells.h"

namespace hornbeamlane::testing {

FaultCells allFaultCells()
{
    FaultCells cells;
    addGroupFaultCells(cells);
    return cells;
}

} // namespace hornbeamlane::testing
