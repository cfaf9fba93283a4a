#include "fault_matrix/HeldSwitchFaultCells.h"
#include "fault_matrix/FaultCellProtections.h"

#include <gtest/gtest.h>

namespace hornbeamlane::testing {
namespace {

FaultCells heldSwitchCells()
{
    FaultCells cells;
    addHeldSwitchFaultCells(cells);
    return cells;
}

/** All mechanisms that the cells list, and "none". */
std::set<std::string> heldSwitchMechanisms()
{
    auto names = mechanismsOf(heldSwitchCells());
    names.insert("none");
    return names;
}

class HeldSwitchFaultCellsTest : public ::testing::TestWithParam<std::string>
{
};

// Guards against a protection that no cell misses, and against cells that list one which they do not need.
TEST_P(HeldSwitchFaultCellsTest, ListExactlyTheirProtections)
{
    expectExactProtections(heldSwitchCells(), GetParam());
}

INSTANTIATE_TEST_SUITE_P(Without, HeldSwitchFaultCellsTest, ::testing::ValuesIn(heldSwitchMechanisms()));

} // namespace
} // namespace hornbeamlane::testing
