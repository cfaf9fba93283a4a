#include "fault_matrix/FaultCellProtections.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace hornbeamlane::testing {

std::set<std::string> mechanismsOf(const FaultCells &cells)
{
    std::set<std::string> names;
    for (const auto &cell : cells) {
        names.insert(cell.protectedBy.begin(), cell.protectedBy.end());
    }
    return names;
}

bool isProtectedBy(const FaultCell &cell, const std::string &mechanism)
{
    return std::find(cell.protectedBy.begin(), cell.protectedBy.end(), mechanism) != cell.protectedBy.end();
}

void expectExactProtections(const FaultCells &cells, const std::string &mechanism)
{
    for (const auto &cell : cells) {
        const auto result = cell.run({mechanism});
        EXPECT_EQ(result.hasPassed, !isProtectedBy(cell, mechanism))
            << cell.invariant << " | " << cell.step << " | " << cell.fault << " | " << result.detail;
    }
}

} // namespace hornbeamlane::testing
