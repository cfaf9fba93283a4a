#include "fault_matrix/FaultCell.h"

namespace hornbeamlane::testing {

FaultCells allFaultCells()
{
    FaultCells cells;
    return cells;
}

} // namespace hornbeamlane::testing
