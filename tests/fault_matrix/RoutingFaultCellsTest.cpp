#include "fault_matrix/RoutingFaultCells.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace hornbeamlane::testing {
namespace {

// Guards against a protection that no cell misses, and against cells that list one which they do not need.
TEST(RoutingFaultCells, ListExactlyTheirProtections)
{
    FaultCells cells;
    addRoutingFaultCells(cells);
    std::set<std::string> mechanisms = {""};
    for (const auto &cell : cells) {
        mechanisms.insert(cell.protectedBy.begin(), cell.protectedBy.end());
    }
    for (const auto &mechanism : mechanisms) {
        for (const auto &cell : cells) {
            const auto &names = cell.protectedBy;
            const bool isNeeded = std::find(names.begin(), names.end(), mechanism) != names.end();
            const auto result = cell.run({mechanism});
            EXPECT_EQ(result.hasPassed, !isNeeded) << "without '" << mechanism << "': " << cell.invariant << " | "
                                                   << cell.step << " | " << cell.fault << " | " << result.detail;
        }
    }
}

} // namespace
} // namespace hornbeamlane::testing
