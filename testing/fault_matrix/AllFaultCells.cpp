#include "fault_matrix/AdmissionFaultCells.h"
#include "fault_matrix/FaultCell.h"
#include "fault_matrix/HeldSwitchFaultCells.h"
#include "fault_matrix/MembershipFaultCells.h"
#include "fault_matrix/OrderFaultCells.h"
#include "fault_matrix/RoutingFaultCells.h"

#include "fault_matrix/GroupFaultCells.h"

namespace hornbeamlane::testing {

FaultCells allFaultCells()
{
    FaultCells cells;
    addOrderFaultCells(cells);
    addAdmissionFaultCells(cells);
    addRoutingFaultCells(cells);
    addMembershipFaultCells(cells);
    addGroupFaultCells(cells);
    addHeldSwitchFaultCells(cells);
    return cells;
}

} // namespace hornbeamlane::testing
