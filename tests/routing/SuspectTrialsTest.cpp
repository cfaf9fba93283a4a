#include "hornbeamlane_routing/hornbeamlane_routing.h"

#include <gtest/gtest.h>

namespace hornbeamlane {
namespace {

class SuspectTrialsTest : public ::testing::Test
{
protected:
    static constexpr std::chrono::milliseconds wait{60};
    static constexpr TraitHash deadly{2};
    static inline const TimePoint start = TimePoint() + std::chrono::hours(1);

    SuspectTrials low_{Incarnation(1)};
    SuspectTrials high_{Incarnation(2)};
    const std::vector<TraitHash> suspects_{deadly};
};

// Guards against several entries that try the same suspect at once: each would lose a server.
TEST_F(SuspectTrialsTest, LetsOneEntryTryASuspect)
{
    EXPECT_FALSE(low_.mayRun(RequestNumber(1), suspects_, start));
    EXPECT_FALSE(high_.mayRun(RequestNumber(1), suspects_, start));
    EXPECT_FALSE(low_.onClaims(Incarnation(2), high_.ownClaims(start), start));
    EXPECT_TRUE(high_.onClaims(Incarnation(1), low_.ownClaims(start), start));
    EXPECT_TRUE(low_.mayRun(RequestNumber(1), suspects_, start + wait));
    EXPECT_FALSE(high_.mayRun(RequestNumber(1), suspects_, start + wait));
    low_.release(RequestNumber(1));
    high_.onClaims(Incarnation(1), low_.ownClaims(start + wait), start + wait);
    EXPECT_FALSE(high_.mayRun(RequestNumber(1), suspects_, start + wait));
    EXPECT_TRUE(high_.mayRun(RequestNumber(1), suspects_, start + 2 * wait));
}

// Guards against a running trial that gives way to one that has not begun.
TEST_F(SuspectTrialsTest, LetsARunningTrialComeFirst)
{
    high_.mayRun(RequestNumber(1), suspects_, start);
    EXPECT_TRUE(high_.mayRun(RequestNumber(1), suspects_, start + wait));
    EXPECT_TRUE(high_.onSent(RequestNumber(1), start + wait));
    low_.mayRun(RequestNumber(1), suspects_, start + wait);
    EXPECT_FALSE(high_.onClaims(Incarnation(1), low_.ownClaims(start + wait), start + wait));
    EXPECT_TRUE(low_.onClaims(Incarnation(2), high_.ownClaims(start + wait), start + wait));
}

// Guards against two requests of one entry with the same suspect, and against a suspect that nobody tries any more
// because the entry that claimed it has died.
TEST_F(SuspectTrialsTest, TriesOneRequestAtATimeAndForgetsDeadEntries)
{
    low_.mayRun(RequestNumber(1), suspects_, start);
    EXPECT_FALSE(low_.mayRun(RequestNumber(2), suspects_, start));
    EXPECT_FALSE(low_.mayRun(RequestNumber(2), suspects_, start + wait));
    EXPECT_EQ(low_.ownClaims(start).size(), 1U);
    high_.onClaims(Incarnation(1), low_.ownClaims(start), start);
    EXPECT_FALSE(high_.mayRun(RequestNumber(1), suspects_, start + wait));
    high_.expire(start + std::chrono::seconds(2));
    EXPECT_FALSE(high_.mayRun(RequestNumber(1), suspects_, start + std::chrono::seconds(2)));
    EXPECT_TRUE(high_.mayRun(RequestNumber(1), suspects_, start + std::chrono::seconds(2) + wait));
}

// Guards against a trial at a silent server that keeps all other requests with its traits waiting until its deadline.
TEST_F(SuspectTrialsTest, LetsTheNextRequestRunBesideAnUnansweredTrial)
{
    constexpr std::chrono::milliseconds trialTime{250};
    low_.mayRun(RequestNumber(1), suspects_, start);
    const auto sent = start + wait;
    ASSERT_TRUE(low_.mayRun(RequestNumber(1), suspects_, sent));
    ASSERT_TRUE(low_.onSent(RequestNumber(1), sent));
    const auto before = sent + trialTime - std::chrono::milliseconds(1);
    EXPECT_FALSE(low_.mayRun(RequestNumber(2), suspects_, before));
    EXPECT_EQ(low_.ownClaims(before).size(), 1U);
    const auto after = sent + trialTime;
    EXPECT_TRUE(low_.ownClaims(after).empty());
    EXPECT_FALSE(low_.mayRun(RequestNumber(2), suspects_, after));
    EXPECT_FALSE(low_.mayRun(RequestNumber(3), suspects_, after + wait)) << "one request at a time";
    EXPECT_TRUE(low_.mayRun(RequestNumber(2), suspects_, after + wait));
    EXPECT_TRUE(low_.hasClaim(RequestNumber(1))) << "its server is still avoided by other trials";
}

} // namespace
} // namespace hornbeamlane
