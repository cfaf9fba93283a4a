#pragma once

#include "hornbeamlane_membership/table/TableClient.h"
#include "hornbeamlane_messages/hornbeamlane_messages.h"
#include "hornbeamlane_orders/claims/ClaimRecord.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace hornbeamlane {

/** Pairs a table reply with its request; replies to replaced requests are ignored. */
using TableOperation = std::uint64_t;

struct WriteClaimRow
{
    TableOperation operation = 0;
    TableWrite write;
};

struct ReadClaimRow
{
    TableOperation operation = 0;
    std::string key;
};

struct RemoveClaimRow
{
    TableOperation operation = 0;
    std::string key;
    RowVersion expectedVersion;
};

/**
    Send the request to the agent as this attempt, once.

    Only on a link whose Hello named the target incarnation; without one, report onDispatchNotSent().
*/
struct DispatchAttempt
{
    AttemptId attempt;
    ServerId server;
    Incarnation targetIncarnation;
    std::chrono::milliseconds validUntil{0};
};

/** Send QueryAttempt to the agent of the server. */
struct QueryAttemptState
{
    ServerId server;
    QueryAttempt query;
};

/** Send ResultRecorded to the agent of the server. */
struct ConfirmRecorded
{
    ServerId server;
    ResultRecorded recorded;
};

struct AnswerCaller
{
    StoredResponse response;
    /** The answer of an earlier send; marked "Idempotent-Replayed: true". */
    bool isReplay = false;
};

struct RefuseCaller
{
    Refusal refusal;
};

using ClaimAction = std::variant<WriteClaimRow, ReadClaimRow, RemoveClaimRow, DispatchAttempt, QueryAttemptState,
                                 ConfirmRecorded, AnswerCaller, RefuseCaller>;
using ClaimActions = std::vector<ClaimAction>;

} // namespace hornbeamlane
