#include "hornbeamlane_messages/hornbeamlane_messages.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace hornbeamlane {
namespace {

using nlohmann::json;

Dispatch sampleDispatch()
{
    Dispatch dispatch;
    dispatch.attempt = {.entry = Incarnation(77), .sequence = 5};
    dispatch.team = TeamId("workshop");
    dispatch.body = std::string("\x00\xff{}", 4);
    dispatch.remainingDeadline = std::chrono::milliseconds(860);
    dispatch.prefixes = {1, UINT64_MAX};
    dispatch.isRepeatable = true;
    return dispatch;
}

std::string frameOf(const json &object)
{
    std::string frame;
    json::to_cbor(object, frame);
    return frame;
}

DecodeFailure failureOf(std::string_view frame)
{
    DecodeFailure failure = DecodeFailure::None;
    EXPECT_FALSE(decodeMessage(frame, failure).has_value());
    return failure;
}

// Guards against fields that are lost or changed on the wire, bodies with arbitrary bytes among them.
TEST(MessageCodec, KeepsAllFields)
{
    DecodeFailure failure = DecodeFailure::None;
    const auto message = decodeMessage(encodeMessage(sampleDispatch()), failure);
    ASSERT_TRUE(message.has_value());
    const auto &dispatch = std::get<Dispatch>(*message);
    EXPECT_EQ(dispatch.attempt, sampleDispatch().attempt);
    EXPECT_EQ(dispatch.team, TeamId("workshop"));
    EXPECT_EQ(dispatch.body, sampleDispatch().body);
    EXPECT_EQ(dispatch.remainingDeadline, std::chrono::milliseconds(860));
    EXPECT_EQ(dispatch.prefixes, sampleDispatch().prefixes);
    EXPECT_TRUE(dispatch.isRepeatable);
}

// Guards against a refusal that changes its meaning on the way: the caller acts on the execution state.
TEST(MessageCodec, KeepsRefusal)
{
    Rejected rejected;
    rejected.refusal = {.reason = RefusalReason::TeamLimitReached,
                        .execution = ExecutionState::NotRun,
                        .retryAfter = std::chrono::milliseconds(250),
                        .detail = "limit"};
    DecodeFailure failure = DecodeFailure::None;
    const auto message = decodeMessage(encodeMessage(rejected), failure);
    ASSERT_TRUE(message.has_value());
    const auto &refusal = std::get<Rejected>(*message).refusal;
    EXPECT_EQ(refusal.reason, RefusalReason::TeamLimitReached);
    EXPECT_EQ(refusal.execution, ExecutionState::NotRun);
    EXPECT_EQ(refusal.retryAfter, std::chrono::milliseconds(250));
}

// Guards against a release roll that breaks links: a newer peer sends fields and types that this release lacks.
TEST(MessageCodec, SkipsUnknownFieldsAndReportsUnknownTypes)
{
    auto object = json::from_cbor(encodeMessage(Heartbeat{.localTime = std::chrono::milliseconds(3)}));
    object["invented"] = {1, 2, 3};
    DecodeFailure failure = DecodeFailure::None;
    const auto message = decodeMessage(frameOf(object), failure);
    ASSERT_TRUE(message.has_value());
    EXPECT_EQ(std::get<Heartbeat>(*message).localTime, std::chrono::milliseconds(3));
    EXPECT_EQ(failureOf(frameOf({{"v", 1U}, {"t", 4000U}})), DecodeFailure::UnknownType);
    EXPECT_EQ(failureOf(frameOf({{"v", 2U}, {"t", 1U}})), DecodeFailure::UnsupportedVersion);
}

// Guards against stack overflow by deep nesting, by definite and by indefinite lengths.
TEST(MessageCodec, RefusesDeepNesting)
{
    EXPECT_EQ(failureOf(std::string(100'000, '\x81')), DecodeFailure::NestedTooDeep);
    EXPECT_EQ(failureOf(std::string(100'000, '\x9f')), DecodeFailure::Malformed);
    EXPECT_EQ(failureOf(std::string(100'000, '\x7f')), DecodeFailure::Malformed);
}

// Guards against memory use far above the size of the frame.
TEST(MessageCodec, RefusesHugeCounts)
{
    EXPECT_EQ(failureOf(std::string("\x9b\x00\x00\x00\xff\xff\xff\xff\xff", 9)), DecodeFailure::TooManyElements);
    EXPECT_EQ(failureOf(std::string("\x5b\x7f\xff\xff\xff\xff\xff\xff\xff", 9)), DecodeFailure::Malformed);
    EXPECT_EQ(failureOf(std::string(maxFrameBytes + 1, '\x00')), DecodeFailure::FrameTooLarge);
}

// Guards against a crash or an invented message on any cut frame.
TEST(MessageCodec, RefusesEveryTruncation)
{
    const auto frame = encodeMessage(sampleDispatch());
    for (std::size_t length = 0; length < frame.size(); ++length) {
        EXPECT_EQ(failureOf(std::string_view(frame).substr(0, length)), DecodeFailure::Malformed) << length;
    }
}

// Guards against a field of another type being taken for a value.
TEST(MessageCodec, RefusesWrongTypes)
{
    const auto cancel = json::from_cbor(encodeMessage(Cancel{}));
    auto object = cancel;
    object["attempt"] = "text";
    EXPECT_EQ(failureOf(frameOf(object)), DecodeFailure::WrongFieldType);
    object = cancel;
    object["attempt"]["s"] = -1;
    EXPECT_EQ(failureOf(frameOf(object)), DecodeFailure::WrongFieldType);
    object = json::from_cbor(encodeMessage(Dispatch{}));
    object["kind"] = 9U;
    EXPECT_EQ(failureOf(frameOf(object)), DecodeFailure::WrongFieldType);
}

} // namespace
} // namespace hornbeamlane
