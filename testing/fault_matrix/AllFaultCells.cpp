#include "fault_matrix/AdmissionFaultCells.h"
#include "fault_matrix/FaultCell.h"
#include "fault_matrix/OrderFaultCells.h"

namespace hornbeamlane::testing {

FaultCells allFaultCells()
{
    FaultCells cells;
    addOrderFaultCells(cells);
    addAdmissionFaultCells(cells);
    return cells;
}

} // namespace hornbeamlane::testing
