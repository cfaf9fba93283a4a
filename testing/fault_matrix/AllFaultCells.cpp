#include "fault_matrix/AdmissionFaultCells.h"
#include "fault_matrix/FaultCell.h"

namespace hornbeamlane::testing {

FaultCells allFaultCells()
{
    FaultCells cells;
    addAdmissionFaultCells(cells);
    return cells;
}

} // namespace hornbeamlane::testing
