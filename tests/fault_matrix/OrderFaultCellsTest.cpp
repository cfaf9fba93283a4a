#include "fault_matrix/OrderFaultCells.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace hornbeamlane::testing {
namespace {

class OrderFaultCells : public ::testing::TestWithParam<const char *>
{
};

// Guards against a violation under any fault, and against a mechanism that is not needed, or not tested, where a cell
// says that it protects.
TEST_P(OrderFaultCells, FailExactlyWithoutWhatProtectsThem)
{
    const std::string mechanism = GetParam();
    FaultCells cells;
    addOrderFaultCells(cells);
    int protectedCells = 0;
    for (const auto &cell : cells) {
        const auto &names = cell.protectedBy;
        const bool isProtected = std::find(names.begin(), names.end(), mechanism) != names.end();
        protectedCells += isProtected ? 1 : 0;
        const auto result = cell.run({mechanism});
        EXPECT_EQ(result.hasPassed, !isProtected)
            << cell.invariant << " | " << cell.step << " | " << cell.fault << ": " << result.detail;
    }
    EXPECT_EQ(protectedCells > 0, mechanism != "none");
}

INSTANTIATE_TEST_SUITE_P(NothingDisabled, OrderFaultCells, ::testing::Values("none"));

// Which mechanism protects a cell does not depend on the build, and one pass takes most of a minute with sanitizers.
#ifndef __SANITIZE_ADDRESS__
INSTANTIATE_TEST_SUITE_P(Mechanisms, OrderFaultCells,
                         ::testing::Values("attempt-match", "claim-before-dispatch", "claim-read-back",
                                           "deadline-check", "digest-check", "dispatch-window", "earlier-send-check",
                                           "incarnation-check", "removal-before-refusal", "sequence-check",
                                           "single-use-attempt", "void-on-query"));
#endif

} // namespace
} // namespace hornbeamlane::testing
