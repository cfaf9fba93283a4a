#include "hornbeamlane_orders/hornbeamlane_orders.h"

#include <gtest/gtest.h>

namespace hornbeamlane {
namespace {

using namespace std::chrono_literals;

constexpr AttemptId first{Incarnation(1), 1};
constexpr AttemptId second{Incarnation(1), 2};

// Guards against "not run" for an attempt that may have run, and against a retry of it.
TEST(AttemptTracker, SaysNotRunOnlyWhenItIsCertain)
{
    for (const auto progress : {AttemptProgress::NotSent, AttemptProgress::Queued, AttemptProgress::Sent,
                                AttemptProgress::Admitted, AttemptProgress::Executing}) {
        for (const auto how : {AttemptEnd::Refused, AttemptEnd::Voided, AttemptEnd::Lost}) {
            for (const bool isRepeatable : {false, true}) {
                AttemptTracker tracker({.isRepeatable = isRepeatable});
                tracker.begin(first);
                tracker.advance(first, progress);
                EXPECT_FALSE(tracker.takeRetry(TimePoint())) << "the attempt is still open";
                tracker.end(first, how);
                const bool isNotRun = progress < AttemptProgress::Sent
                    || (how != AttemptEnd::Lost && progress < AttemptProgress::Executing);
                EXPECT_EQ(tracker.execution() == ExecutionState::NotRun, isNotRun);
                EXPECT_EQ(tracker.takeRetry(TimePoint()), isNotRun || isRepeatable);
                tracker.begin(second);
                tracker.end(second, AttemptEnd::Refused);
                EXPECT_EQ(tracker.execution() == ExecutionState::NotRun, isNotRun) << "one attempt is not all";
            }
        }
    }
}

// Guards against retries that multiply the load of an overloaded system, and against a retry after the deadline.
TEST(RetryBudget, AllowsAShareAndAMinimum)
{
    const auto allowed = [](int requests) {
        RetryBudget budget;
        const TimePoint now(100s);
        for (int i = 0; i < requests; ++i) {
            budget.countRequest(now - 9s + i % 10 * 1s);
        }
        int retries = 0;
        while (budget.takeRetry(now)) {
            ++retries;
        }
        EXPECT_FALSE(budget.takeRetry(now + 9s));
        EXPECT_TRUE(budget.takeRetry(now + 10s));
        return retries;
    };
    EXPECT_EQ(allowed(0), 10);
    EXPECT_EQ(allowed(1'000), 100);
    AttemptTracker tracker({.deadline = TimePoint(1s)});
    EXPECT_TRUE(tracker.takeRetry(TimePoint(999ms)));
    EXPECT_FALSE(tracker.takeRetry(TimePoint(1s)));
}

using Result = ResponseAssembler::Result;

// Guards against frames of other attempts, and against holes and repeats inside an answer.
TEST(ResponseAssembler, AcceptsOnlyTheNextFrameOfItsAttempt)
{
    for (std::uint64_t sequence = 0; sequence < 5; ++sequence) {
        ResponseAssembler assembler({.attempt = first});
        EXPECT_EQ(assembler.onHead({.attempt = first, .sequence = 0}), Result::Accepted);
        EXPECT_EQ(assembler.onData({.attempt = second, .sequence = 1, .bytes = "x"}), Result::Dropped);
        EXPECT_EQ(assembler.onData({.attempt = first, .sequence = 1, .bytes = "x"}), Result::Accepted);
        EXPECT_EQ(assembler.onEnd({.attempt = first, .sequence = sequence}),
                  sequence == 2 ? Result::Completed : Result::Failed);
        EXPECT_EQ(assembler.onData({.attempt = first, .sequence = 3, .bytes = "x"}), Result::Dropped) << "late";
    }
    ResponseAssembler headless({.attempt = first});
    EXPECT_EQ(headless.onData({.attempt = first, .sequence = 0, .bytes = "x"}), Result::Failed);
    ResponseAssembler twoHeads({.attempt = first});
    EXPECT_EQ(twoHeads.onHead({.attempt = first, .sequence = 0}), Result::Accepted);
    EXPECT_EQ(twoHeads.onHead({.attempt = first, .sequence = 1}), Result::Failed);
}

// Guards against an agent that fills the memory of the entry while the caller is slow.
TEST(ResponseAssembler, BoundsBytesByCredit)
{
    ResponseAssembler assembler({.attempt = first, .window = 10});
    assembler.onHead({.attempt = first, .sequence = 0});
    EXPECT_EQ(assembler.onData({.attempt = first, .sequence = 1, .bytes = "12345678"}), Result::Accepted);
    EXPECT_EQ(assembler.passToCaller(100), 8U) << "bytes that never arrived create no credit";
    EXPECT_EQ(assembler.credit(), 10U);
    EXPECT_EQ(assembler.onData({.attempt = first, .sequence = 2, .bytes = "12345678"}), Result::Accepted);
    EXPECT_EQ(assembler.onData({.attempt = first, .sequence = 3, .bytes = "123"}), Result::Failed);
    EXPECT_EQ(assembler.failure(), ResponseAssembler::Failure::CreditExceeded);
}

using Verdict = AttemptLedger::Verdict;

constexpr Incarnation agent(9);

Dispatch dispatchOf(std::uint64_t sequence, std::chrono::milliseconds validUntil, std::string key = "k")
{
    return Dispatch{.attempt = {Incarnation(1), sequence},
                    .targetIncarnation = agent,
                    .validUntil = validUntil,
                    .idempotencyKey = std::move(key)};
}

ExecutionState stateOf(AttemptLedger &ledger, std::uint64_t sequence, std::chrono::milliseconds now)
{
    return ledger.query({.attempt = {Incarnation(1), sequence}, .targetIncarnation = agent}, now).state;
}

// Guards against a kept result that is lost early, kept for ever, or forgotten as if it had never arrived.
TEST(AttemptLedger, KeepsResultsUntilRecordedOrExpired)
{
    for (const bool isRecorded : {false, true}) {
        AttemptLedger ledger({.incarnation = agent});
        ASSERT_EQ(ledger.accept(dispatchOf(5, 10s), 0ms).verdict, Verdict::Accepted);
        EXPECT_EQ(stateOf(ledger, 5, 1ms), ExecutionState::Running);
        ledger.complete({Incarnation(1), 5}, {200, "a", "body"}, 20ms);
        const QueryAttempt query{.attempt = {Incarnation(1), 5}, .targetIncarnation = agent};
        EXPECT_EQ(ledger.query(query, 500s).body, "body");
        if (isRecorded) {
            ledger.onRecorded({query.attempt});
            EXPECT_FALSE(ledger.query(query, 500s).hasResponse);
            EXPECT_EQ(ledger.keptBytes(), 0U);
        }
        EXPECT_EQ(ledger.query(query, 601s).state, ExecutionState::Unknown);
        EXPECT_EQ(ledger.size(), 0U);
        EXPECT_EQ(ledger.accept(dispatchOf(5, 10s), 601s).refusal.execution, ExecutionState::Unknown);
    }
}

// Guards against memory that grows without bound and against any bound that lets an attempt run twice or after a
// "not run".
TEST(AttemptLedger, StaysSafeWhenMemoryIsShort)
{
    AttemptLedger ledger({.incarnation = agent, .maxAttempts = 2, .maxVoided = 2, .maxEntries = 1});
    EXPECT_EQ(ledger.accept(dispatchOf(1, 5s), 0ms).verdict, Verdict::Accepted);
    EXPECT_EQ(ledger.accept(dispatchOf(2, 5s), 0ms).verdict, Verdict::Accepted);
    for (std::uint64_t sequence = 3; sequence < 8; ++sequence) {
        EXPECT_EQ(ledger.accept(dispatchOf(sequence, 10s), 0ms).refusal.execution, ExecutionState::NotRun);
        EXPECT_LE(ledger.size(), 4U);
    }
    ledger.complete({Incarnation(1), 1}, {}, 1ms);
    ledger.onRecorded({{Incarnation(1), 1}});
    EXPECT_EQ(ledger.accept(dispatchOf(9, 11s), 1s).verdict, Verdict::Refused) << "a copy of 1 may still arrive";
    for (std::uint64_t sequence = 3; sequence < 8; ++sequence) {
        EXPECT_NE(ledger.accept(dispatchOf(sequence, 10s), 6s).verdict, Verdict::Accepted) << "was refused before";
    }
    EXPECT_EQ(ledger.accept(dispatchOf(10, 26s), 16s).verdict, Verdict::Accepted) << "room and a new window";
    EXPECT_EQ(stateOf(ledger, 1, 17s), ExecutionState::Unknown) << "forgotten, and it ran";
    EXPECT_EQ(stateOf(ledger, 20, 17s), ExecutionState::NotRun);
}

// Guards against a kept result that does not fit into the memory, and against a refusal that forgets its attempt.
TEST(AttemptLedger, ReservesBytesAndVoidsRefusedAttempts)
{
    AttemptLedger ledger({.incarnation = agent, .maxResultBytes = 10, .maxKeptBytes = 15});
    EXPECT_EQ(ledger.accept(dispatchOf(1, 5s), 0ms).verdict, Verdict::Accepted);
    EXPECT_EQ(ledger.accept(dispatchOf(2, 5s), 0ms).verdict, Verdict::Refused);
    EXPECT_EQ(ledger.accept(dispatchOf(3, 5s, ""), 0ms).verdict, Verdict::Accepted) << "keeps no result";
    ledger.complete({Incarnation(1), 1}, {200, "", "longer than ten"}, 1ms);
    EXPECT_EQ(ledger.keptBytes(), 0U);
    EXPECT_EQ(stateOf(ledger, 1, 1ms), ExecutionState::Done);
    ledger.refuse({Incarnation(1), 3}, 2ms);
    EXPECT_EQ(ledger.accept(dispatchOf(3, 5s, ""), 3ms).refusal.execution, ExecutionState::NotRun);
    EXPECT_EQ(ledger.accept(dispatchOf(4, 20s), 3ms).refusal.execution, ExecutionState::Unknown) << "window too long";
    EXPECT_EQ(ledger.accept(dispatchOf(5, 2ms, ""), 3ms).refusal.execution, ExecutionState::Unknown)
        << "a late copy of an attempt without a key may have run";
}

} // namespace
} // namespace hornbeamlane
