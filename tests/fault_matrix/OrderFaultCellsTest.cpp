#include "fault_matrix/OrderFaultCells.h"
#include "fault_matrix/FaultCellProtections.h"

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
    expectExactProtections(cells, mechanism);
    EXPECT_EQ(
        std::any_of(cells.begin(), cells.end(), [&](const FaultCell &cell) { return isProtectedBy(cell, mechanism); }),
        mechanism != "none");
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
