#include "hornbeamlane_orders/hornbeamlane_orders.h"

#include <gtest/gtest.h>

namespace hornbeamlane {
namespace {

ClaimRecord doneRecord(std::string body)
{
    return ClaimRecord{.state = ClaimState::Done,
                       .attempt = {Incarnation(0xFFFFFFFFFFFFFFFFULL), 7},
                       .server = ServerId("s/1 \xff"),
                       .agentIncarnation = Incarnation(0x8000000000000001ULL),
                       .validUntil = std::chrono::milliseconds(12'345),
                       .digest = hash128("request"),
                       .response = {201, "text/plain; charset=\"x\"", std::move(body)}};
}

// Guards against rows that lose bytes of an answer or of a 64-bit number.
TEST(ClaimRecord, KeepsEveryFieldAndByte)
{
    std::string body;
    for (int length = 0; length < 300; ++length) {
        const auto record = doneRecord(body);
        ClaimDecodeFailure failure = ClaimDecodeFailure::Malformed;
        EXPECT_EQ(decodeClaim(encodeClaim(record), failure), record) << length;
        EXPECT_EQ(failure, ClaimDecodeFailure::None);
        body += static_cast<char>(length * 7);
    }
}

// Guards against a truncated body that is replayed as if it were whole.
TEST(ClaimRecord, MarksAnOmittedBody)
{
    ClaimDecodeFailure failure = ClaimDecodeFailure::None;
    EXPECT_EQ(decodeClaim(encodeClaim(doneRecord(std::string(maxStoredBodySize, 'x'))), failure)->response.body.size(),
              maxStoredBodySize);
    const auto longer = decodeClaim(encodeClaim(doneRecord(std::string(maxStoredBodySize + 1, 'x'))), failure);
    ASSERT_TRUE(longer);
    EXPECT_TRUE(longer->response.isBodyOmitted);
    auto record = doneRecord("body");
    record.response.contentType.assign(100'000, '%');
    ASSERT_TRUE(decodeClaim(encodeClaim(record), failure)) << "a long header must not make the row unreadable";
    EXPECT_TRUE(decodeClaim(encodeClaim(record), failure)->response.isBodyOmitted);
}

// Guards against two pairs of team and key that share a row.
TEST(ClaimRecord, EscapesRowKeys)
{
    EXPECT_EQ(claimRowKey(TeamId("a/b"), "c%\n"), "claims/a%2fb/c%25%0a");
    EXPECT_NE(claimRowKey(TeamId("a"), "b/c"), claimRowKey(TeamId("a/b"), "c"));
    EXPECT_NE(claimRowKey(TeamId("a"), "%2f"), claimRowKey(TeamId("a"), "/"));
}

// Guards against a damaged row that is read as another claim: every truncation and every changed structure is refused.
TEST(ClaimRecord, RefusesWhatItDoesNotWrite)
{
    const auto text = encodeClaim(doneRecord("body"));
    ClaimDecodeFailure failure = ClaimDecodeFailure::None;
    for (std::size_t length = 0; length < text.size(); ++length) {
        EXPECT_FALSE(decodeClaim(text.substr(0, length), failure)) << length;
    }
    const std::pair<const char *, const char *> changes[] = {
        {"\"v\":1", "\"v\":2"},
        {"\"v\":1", "\"v\":1,\"x\":1"},
        {"\"state\":\"done\"", "\"state\":\"claimed\""},
        {"\"status\":201", "\"status\":99"},
        {"\"validUntil\":", "\"validUntil\":-"},
        {"\"body\":\"", "\"body\":\"*"},
        {"\"omitted\":0", "\"omitted\":2"},
    };
    for (const auto &[from, to] : changes) {
        auto changed = text;
        ASSERT_NE(changed.find(from), std::string::npos) << from;
        changed.replace(changed.find(from), std::string_view(from).size(), to);
        EXPECT_FALSE(decodeClaim(changed, failure)) << changed;
    }
    EXPECT_FALSE(decodeClaim(std::string(200'000, '['), failure));
    EXPECT_EQ(failure, ClaimDecodeFailure::TooLarge);
}

} // namespace
} // namespace hornbeamlane
