#include "fault_matrix/HeldSwitchFaultCells.h"

#include <gtest/gtest.h>

#include <algorithm>

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
    std::set<std::string> names = {"none"};
    for (const auto &cell : heldSwitchCells()) {
        names.insert(cell.protectedBy.begin(), cell.protectedBy.end());
    }
    return names;
}

class HeldSwitchFaultCellsTest : public ::testing::TestWithParam<std::string>
{
};

// Guards against a protection that no cell misses, and against cells that list one which they do not need.
TEST_P(HeldSwitchFaultCellsTest, ListExactlyTheirProtections)
{
    for (const auto &cell : heldSwitchCells()) {
        const auto &names = cell.protectedBy;
        const bool isNeeded = std::find(names.begin(), names.end(), GetParam()) != names.end();
        const auto result = cell.run({GetParam()});
        EXPECT_EQ(result.hasPassed, !isNeeded)
            << cell.invariant << " | " << cell.step << " | " << cell.fault << " | " << result.detail;
    }
}

INSTANTIATE_TEST_SUITE_P(Without, HeldSwitchFaultCellsTest, ::testing::ValuesIn(heldSwitchMechanisms()));

} // namespace
} // namespace hornbeamlane::testing
