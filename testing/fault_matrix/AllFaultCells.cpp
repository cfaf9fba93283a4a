#include "fault_matrix/AdmissionFaultCells.h"
#include "fault_matrix/FaultCell.h"
#include "fault_matrix/OrderFaultCells.h"
#include "fault_matrix/RoutingFaultCells.h"

namespace hornbeamlane::testing {

FaultCells allFaultCells()
{
    FaultCells cells;
    addOrderFaultCells(cells);
    addAdmissionFaultCells(cells);
    addRoutingFaultCells(cells);
    return cells;
}

} // namespace hornbeamlane::testing
