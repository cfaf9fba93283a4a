#include "fault_matrix/FaultCell.h"
#include "fault_matrix/MembershipFaultCells.h"

namespace hornbeamlane::testing {

FaultCells allFaultCells()
{
    FaultCells cells;
    addMembershipFaultCells(cells);
    return cells;
}

} // namespace hornbeamlane::testing
