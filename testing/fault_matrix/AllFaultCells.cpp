#include "fault_matrix/FaultCell.h"
#include "fault_matrix/OrderFaultCells.h"

namespace hornbeamlane::testing {

FaultCells allFaultCells()
{
    FaultCells cells;
    addOrderFaultCells(cells);
    return cells;
}

} // namespace hornbeamlane::testing
