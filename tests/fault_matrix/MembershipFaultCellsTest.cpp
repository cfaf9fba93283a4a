#include "fault_matrix/MembershipFaultCells.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace hornbeamlane::testing {
namespace {

FaultCells membershipCells()
{
    FaultCells cells;
    addMembershipFaultCells(cells);
    return cells;
}

/** All mechanisms that the cells list, and "none". */
std::set<std::string> membershipMechanisms()
{
    std::set<std::string> names = {"none"};
    for (const auto &cell : membershipCells()) {
        names.insert(cell.protectedBy.begin(), cell.protectedBy.end());
    }
    return names;
}

class MembershipFaultCellsTest : public ::testing::TestWithParam<std::string>
{
};

// Guards against a protection that no cell misses, and against cells that list one which they do not need.
TEST_P(MembershipFaultCellsTest, ListExactlyTheirProtections)
{
    for (const auto &cell : membershipCells()) {
        const auto &names = cell.protectedBy;
        const bool isNeeded = std::find(names.begin(), names.end(), GetParam()) != names.end();
        const auto result = cell.run({GetParam()});
        EXPECT_EQ(result.hasPassed, !isNeeded)
            << cell.invariant << " | " << cell.step << " | " << cell.fault << " | " << result.detail;
    }
}

INSTANTIATE_TEST_SUITE_P(Without, MembershipFaultCellsTest, ::testing::ValuesIn(membershipMechanisms()));

} // namespace
} // namespace hornbeamlane::testing
