#include "hornbeamlane_base/hornbeamlane_base.h"

#include <gtest/gtest.h>

namespace hornbeamlane {
namespace {

// Guards against codes that cannot be read back, which would turn a typed refusal into an internal error.
TEST(Refusal, EveryReasonHasItsOwnCode)
{
    for (int i = 0; i <= static_cast<int>(RefusalReason::InternalError); ++i) {
        const auto reason = static_cast<RefusalReason>(i);
        EXPECT_EQ(refusalReasonFromString(toString(reason)), reason);
        EXPECT_GE(httpStatus(reason), 400);
    }
}

// Guards against rows in the table that cannot be matched to their attempt.
TEST(AttemptId, SurvivesItsTextForm)
{
    const AttemptId attempt{.entry = Incarnation(UINT64_MAX), .sequence = 12};
    EXPECT_EQ(AttemptId::fromString(attempt.toString()), attempt);
    EXPECT_FALSE(AttemptId::fromString("12").has_value());
    EXPECT_FALSE(AttemptId::fromString("1-x").has_value());
    EXPECT_FALSE(AttemptId::fromString("-").has_value());
}

// Guards against decisions that differ between two runs with the same seed.
TEST(RandomSource, RepeatsWithTheSameSeed)
{
    RandomSource first(9);
    RandomSource second(9);
    for (int i = 0; i < 100; ++i) {
        EXPECT_EQ(first.below(17), second.below(17));
        const double unit = first.unit();
        EXPECT_EQ(unit, second.unit());
        EXPECT_GE(unit, 0.0);
        EXPECT_LT(unit, 1.0);
    }
}

} // namespace
} // namespace hornbeamlane
