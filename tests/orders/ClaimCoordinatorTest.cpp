#include "hornbeamlane_orders/hornbeamlane_orders.h"

#include <gtest/gtest.h>

namespace hornbeamlane {
namespace {

using namespace std::chrono_literals;

const ServerId server("s");
constexpr Incarnation agent(5);
constexpr AttemptId own{Incarnation(1), 1};
constexpr AttemptId foreign{Incarnation(2), 1};

ClaimCoordinator::Options optionsFor(bool mayBeResend = true)
{
    return {.request = {.team = TeamId("t"),
                        .idempotencyKey = "k",
                        .digest = hash128("request"),
                        .deadline = TimePoint(1s),
                        .mayBeResend = mayBeResend},
            .nextAttempt =
                [sequence = std::uint64_t{0}]() mutable {
                    return AttemptId{own.entry, ++sequence};
                },
            .chooseTarget =
                [] {
                    return ClaimCoordinator::Target{server, agent, 0ms};
                },
            .takeRetry = [](TimePoint) { return false; }};
}

TableReply rowReply(const std::string &value, std::uint64_t version = 3)
{
    return {TableStatus::Ok, TableRow{"claims/t/k", RowVersion(version), value}};
}

ClaimRecord claimOf(ClaimState state, StoredResponse response = {})
{
    return {state, foreign, server, agent, 10s, hash128("request"), std::move(response)};
}

/** The only action of the given kind. */
template <class Action>
Action only(const ClaimActions &actions)
{
    const bool isOnly = actions.size() == 1 && std::holds_alternative<Action>(actions.front());
    EXPECT_TRUE(isOnly);
    return isOnly ? std::get<Action>(actions.front()) : Action();
}

// Guards against "not run" for a resend whose first send ran through another entry before the table went down.
TEST(ClaimCoordinator, SaysNotRunWithoutTheTableOnlyForAFirstSend)
{
    for (const bool mayBeResend : {false, true}) {
        for (const auto status : {TableStatus::Unavailable, TableStatus::NoReply}) {
            ClaimCoordinator coordinator(optionsFor(mayBeResend));
            auto actions = coordinator.start(TimePoint());
            while (std::holds_alternative<WriteClaimRow>(actions.front())) {
                const auto operation = only<WriteClaimRow>(actions).operation;
                actions = coordinator.onTableReply(operation, {status, std::nullopt}, TimePoint());
            }
            const auto refusal = only<RefuseCaller>(actions).refusal;
            EXPECT_EQ(refusal.reason, RefusalReason::ClaimStoreUnavailable);
            EXPECT_EQ(refusal.execution, mayBeResend ? ExecutionState::Unknown : ExecutionState::NotRun);
            EXPECT_TRUE(coordinator.isFinished());
        }
    }
}

// Guards against a rejection by the agent's next incarnation, which knows nothing of what its predecessor ran, and
// against an own claim that is left in the row after a true "not run".
TEST(ClaimCoordinator, BelievesOnlyTheMeantIncarnation)
{
    for (const auto sender : {agent, Incarnation(6)}) {
        ClaimCoordinator coordinator(optionsFor());
        const auto write = only<WriteClaimRow>(coordinator.start(TimePoint()));
        EXPECT_EQ(only<DispatchAttempt>(coordinator.onTableReply(write.operation, rowReply(""), TimePoint())).attempt,
                  own);
        const Rejected rejected{
            own, {.reason = RefusalReason::Draining, .execution = ExecutionState::NotRun, .retryAfter = 7s}};
        const auto actions = coordinator.onRejected(rejected, sender, TimePoint());
        const bool isMeant = sender == agent;
        const auto operation =
            isMeant ? only<RemoveClaimRow>(actions).operation : only<WriteClaimRow>(actions).operation;
        const auto refusal = only<RefuseCaller>(coordinator.onTableReply(operation, rowReply(""), TimePoint())).refusal;
        EXPECT_EQ(refusal.execution, isMeant ? ExecutionState::NotRun : ExecutionState::Unknown);
        EXPECT_EQ(refusal.retryAfter, isMeant ? 7s : 1s);
    }
}

// Guards against an answer that is lost to the resends: one that is not in the row, and one that needs no server.
TEST(ClaimCoordinator, AnswersFromTheRowOrTheAgent)
{
    for (const bool isOmitted : {false, true}) {
        auto options = optionsFor();
        options.chooseTarget = [] { return std::optional<ClaimCoordinator::Target>(); };
        ClaimCoordinator coordinator(std::move(options));
        const auto body = std::string(maxStoredBodySize + (isOmitted ? 1 : 0), 'x');
        const auto readRow = only<ReadClaimRow>(coordinator.start(TimePoint()));
        const auto row = rowReply(encodeClaim(claimOf(ClaimState::Done, {200, "a", body})));
        auto actions = coordinator.onTableReply(readRow.operation, row, TimePoint());
        if (isOmitted) {
            EXPECT_EQ(only<QueryAttemptState>(actions).query.attempt, foreign);
            actions =
                coordinator.onAttemptStatus({foreign, agent, ExecutionState::Done, true, 200, "a", body}, TimePoint());
        }
        const auto answer = only<AnswerCaller>(actions);
        EXPECT_EQ(answer.response.body, body);
        EXPECT_TRUE(answer.isReplay);
    }
}

// Guards against a claim that is replaced although nobody could say what became of it.
TEST(ClaimCoordinator, LeavesARowAloneThatItCannotResolve)
{
    const auto claimed = encodeClaim(claimOf(ClaimState::Claimed));
    for (const auto &row : {encodeClaim(claimOf(ClaimState::Unknown)), std::string("{\"v\":2}"), claimed}) {
        ClaimCoordinator coordinator(optionsFor());
        const auto write = only<WriteClaimRow>(coordinator.start(TimePoint()));
        const auto conflict = TableReply{TableStatus::Conflict, std::nullopt};
        const auto readRow = only<ReadClaimRow>(coordinator.onTableReply(write.operation, conflict, TimePoint()));
        auto actions = coordinator.onTableReply(readRow.operation, rowReply(row), TimePoint());
        while (std::holds_alternative<QueryAttemptState>(actions.front())) {
            actions = coordinator.onTime(*coordinator.nextWakeUp());
        }
        const auto refusal = only<RefuseCaller>(actions).refusal;
        EXPECT_EQ(refusal.reason, RefusalReason::OutcomeUnknown);
        EXPECT_EQ(refusal.execution, ExecutionState::Unknown);
    }
}

// Guards against a result that is never recorded because the table was down when it arrived.
TEST(ClaimCoordinator, AnswersAtOnceAndRecordsLater)
{
    ClaimCoordinator coordinator(optionsFor());
    const auto write = only<WriteClaimRow>(coordinator.start(TimePoint()));
    coordinator.onTableReply(write.operation, rowReply(""), TimePoint());
    auto record = only<WriteClaimRow>(coordinator.onResponse(own, {200, "a", "body"}, TimePoint()));
    for (int i = 0; i < 3; ++i) {
        const TableReply down{TableStatus::Unavailable, std::nullopt};
        EXPECT_EQ(coordinator.onTableReply(record.operation, down, TimePoint()).size(), i == 0 ? 1U : 0U);
        record = only<WriteClaimRow>(coordinator.onTime(*coordinator.nextWakeUp()));
    }
    EXPECT_EQ(
        only<ConfirmRecorded>(coordinator.onTableReply(record.operation, rowReply(""), TimePoint())).recorded.attempt,
        own);
    EXPECT_TRUE(coordinator.isFinished());
}

} // namespace
} // namespace hornbeamlane
