#include "hornbeamlane_entry/hornbeamlane_entry.h"

#include <gtest/gtest.h>

#include <cstdint>

namespace hornbeamlane {
namespace {

using Decision = PromptPartGuard::Decision;

const TimePoint begin = TimePoint() + std::chrono::hours(1);

class PromptPartGuardTest : public ::testing::Test
{
protected:
    static CallerRequest request(std::uint64_t number)
    {
        CallerRequest result;
        result.dispatch.kind = WorkKind::Model;
        result.traits = {.whole = TraitHash(1000 + number), .parts = {TraitHash(7)}};
        result.number = RequestNumber(number);
        return result;
    }

    /** The engine is lost, or its agent, before it has answered anything. */
    void lose(std::uint64_t number, std::uint64_t loss, TimePoint at)
    {
        const AttemptId attempt{.entry = Incarnation(1), .sequence = number};
        guard_.onDispatched(attempt, request(number), Incarnation(number), at);
        guard_.onEngineLost(Incarnation(number), loss, at);
        guard_.onEnded(attempt, at);
    }

    PromptPartGuard guard_{Incarnation(1), [](const Message &) {}};
};

// Guards against a quarantine of seconds where it should last for minutes: engines that crash before they answer.
TEST_F(PromptPartGuardTest, RefusesForLongWhatCrashesEnginesBeforeTheyAnswer)
{
    for (std::uint64_t number = 1; number <= 3; ++number) {
        lose(number, 1, begin + std::chrono::seconds(number));
    }
    EXPECT_EQ(guard_.decide(request(9), begin + std::chrono::minutes(1)), Decision::Refuse);
}

// Guards against requests that pay for minutes for agents that are only cut off.
TEST_F(PromptPartGuardTest, ForgetsAgentsThatMayBeCutOff)
{
    for (std::uint64_t number = 1; number <= 3; ++number) {
        lose(number, 0, begin + std::chrono::seconds(number));
    }
    EXPECT_EQ(guard_.decide(request(9), begin + std::chrono::minutes(1)), Decision::Send);
}

} // namespace
} // namespace hornbeamlane
