#include "fault_matrix/FaultCell.h"
#include "fault_matrix/RoutingFaultCells.h"

namespace hornbeamlane::testing {

FaultCells allFaultCells()
{
    FaultCells cells;
    addRoutingFaultCells(cells);
    return cells;
}

} // namespace hornbeamlane::testing
