#include "fault_matrix/RoutingFaultCells.h"
#include "fault_matrix/FaultCellProtections.h"

#include <gtest/gtest.h>

namespace hornbeamlane::testing {
namespace {

FaultCells routingCells()
{
    FaultCells cells;
    addRoutingFaultCells(cells);
    return cells;
}

/** All mechanisms that the cells list, and "none". */
std::set<std::string> routingMechanisms()
{
    auto names = mechanismsOf(routingCells());
    names.insert("none");
    return names;
}

class RoutingFaultCellsTest : public ::testing::TestWithParam<std::string>
{
};

// Guards against a protection that no cell misses, and against cells that list one which they do not need.
TEST_P(RoutingFaultCellsTest, ListExactlyTheirProtections)
{
    expectExactProtections(routingCells(), GetParam());
}

INSTANTIATE_TEST_SUITE_P(Without, RoutingFaultCellsTest, ::testing::ValuesIn(routingMechanisms()));

} // namespace
} // namespace hornbeamlane::testing
