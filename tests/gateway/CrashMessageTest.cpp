#include "hornbeamlane_gateway/hornbeamlane_gateway.h"

#include <gtest/gtest.h>

namespace hornbeamlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint messageTime = TimePoint() + std::chrono::hours(1);

ServerCrash knownCrash()
{
    return {.id = CrashId(0xfedcba9876543210ULL),
            .at = messageTime - milliseconds(250),
            .candidates = {{.traits = {.whole = TraitHash(7), .parts = {TraitHash(1), TraitHash(2)}}, .hadHead = true}},
            .cleared = {TraitHash(1)},
            .begunBefore = {TraitHash(2)}};
}

// Guards against news that arrive changed, and against ages that are taken for times of another process.
TEST(CrashMessageTest, CarriesCrashesAndClaims)
{
    const CrashMessage message{.sender = Incarnation(9),
                               .sequence = 4,
                               .crashes = {knownCrash()},
                               .claims = {{{.trait = TraitHash(2), .isRunning = true}}}};
    const auto later = messageTime + seconds(100);
    const auto read = decodeCrashMessage(encodeCrashMessage(message, messageTime), later);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->sender, message.sender);
    EXPECT_EQ(read->sequence, 4U);
    ASSERT_EQ(read->crashes.size(), 1U);
    EXPECT_EQ(read->crashes[0].at, later - milliseconds(250));
    EXPECT_EQ(digestOf(read->crashes), digestOf({knownCrash()}));
    ASSERT_TRUE(read->claims);
    ASSERT_EQ(read->claims->size(), 1U);
    EXPECT_EQ(read->claims->front().trait, TraitHash(2));
    EXPECT_TRUE(read->claims->front().isRunning);
}

// Guards against evidence that lives for ever by being read from the table again and again.
TEST(CrashMessageTest, KeepsTheAgeOfARowByTheTimeOfDay)
{
    const auto timeOfDay = std::chrono::system_clock::time_point(std::chrono::hours(500000));
    const auto row = encodeCrashRow({knownCrash()}, messageTime, timeOfDay);
    const auto read = decodeCrashRow(row, messageTime, timeOfDay + seconds(30));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->at(0).at, messageTime - seconds(30) - milliseconds(250));
    // A row from the future, after a clock was set back, counts as new.
    EXPECT_EQ(decodeCrashRow(row, messageTime, timeOfDay - seconds(30))->at(0).at, messageTime - milliseconds(250));
}

// Guards against bytes of another writer: none of them may end the process or be taken for evidence.
TEST(CrashMessageTest, RejectsWhatIsNoMessage)
{
    const auto message = encodeCrashMessage({.sender = Incarnation(9), .crashes = {knownCrash()}}, messageTime);
    const auto row = encodeCrashRow({knownCrash()}, messageTime, std::chrono::system_clock::now());
    EXPECT_FALSE(decodeCrashMessage("", messageTime));
    EXPECT_FALSE(decodeCrashMessage(row, messageTime));
    EXPECT_FALSE(decodeCrashMessage(encodeLoadMessage({.sender = "e"}), messageTime));
    EXPECT_FALSE(decodeLoadMessage(message));
    RandomSource random(3);
    for (std::size_t length = 0; length < message.size(); ++length) {
        EXPECT_FALSE(decodeCrashMessage(message.substr(0, length), messageTime));
        auto spoilt = message;
        spoilt[length] = static_cast<char>(random.below(256));
        decodeCrashMessage(spoilt, messageTime);
        decodeCrashRow(spoilt, messageTime, std::chrono::system_clock::now());
    }
}

} // namespace
} // namespace hornbeamlane
