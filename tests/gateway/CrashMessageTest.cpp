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
            .name = {.server = ServerKey(11), .number = 3},
            .candidates = {{.traits = {.whole = TraitHash(7), .parts = {TraitHash(1), TraitHash(2)}}, .hadHead = true},
                           {.traits = {.whole = TraitHash(8), .origin = TraitHash(3)}, .hadHead = true}},
            .cleared = {TraitHash(1)},
            .begunBefore = {TraitHash(2)},
            .soundSince = {{.origin = TraitHash(3), .whole = TraitHash(9)}}};
}

// Guards against news that arrive changed, and against ages that are taken for times of another process.
TEST(CrashMessageTest, CarriesCrashes)
{
    DecodeFailure failure = DecodeFailure::None;
    const auto message = decodeMessage(encodeCrashes({knownCrash()}, messageTime), failure);
    ASSERT_TRUE(message);
    const auto later = messageTime + seconds(100);
    const auto read = crashesOf(std::get<CrashUpdate>(*message), later);
    ASSERT_EQ(read.size(), 1U);
    EXPECT_EQ(read[0].at, later - milliseconds(250));
    EXPECT_EQ(read[0].name.server, ServerKey(11));
    EXPECT_EQ(read[0].name.number, 3U);
    EXPECT_EQ(digestOf(read), digestOf({knownCrash()}));
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
    const auto row = encodeCrashRow({knownCrash()}, messageTime, std::chrono::system_clock::now());
    const auto isRow = [](const std::string &bytes) {
        return decodeCrashRow(bytes, messageTime, std::chrono::system_clock::now()).has_value();
    };
    EXPECT_TRUE(isRow(row));
    EXPECT_FALSE(isRow(""));
    EXPECT_FALSE(isRow(encodeCrashes({knownCrash()}, messageTime)));
    EXPECT_FALSE(isRow(encodeLoadMessage({.sender = "e"}, TimePoint())));
    EXPECT_FALSE(decodeLoadMessage(row, TimePoint()));
    RandomSource random(3);
    for (std::size_t length = 0; length < row.size(); ++length) {
        EXPECT_FALSE(isRow(row.substr(0, length)));
        auto spoilt = row;
        spoilt[length] = static_cast<char>(random.below(256));
        isRow(spoilt);
    }
}

} // namespace
} // namespace hornbeamlane
