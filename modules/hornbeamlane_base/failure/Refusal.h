#pragma once

#include "hornbeamlane_base/failure/ExecutionState.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace hornbeamlane {

/** Why a request was not answered normally. Each reason has a fixed code name and HTTP status. */
enum class RefusalReason {
    MalformedRequest,
    RequestTooLarge,
    UnknownTeam,
    UnknownModel,
    UnknownService,
    MethodNotAllowed,
    MissingIdempotencyKey,
    IdempotencyKeyReused,
    TeamLimitReached,
    Overloaded,
    DeadlineTooShort,
    DeadlineExceeded,
    NoServerAvailable,
    Draining,
    NotReady,
    ClaimStoreUnavailable,
    StillRunning,
    OutcomeUnknown,
    Quarantined,
    ServerLost,
    AnswerIncomplete,
    Cancelled,
    FencedOff,
    ProtocolError,
    InternalError,
};

/** A typed refusal with what is known about the execution of the request. */
struct Refusal
{
    RefusalReason reason = RefusalReason::InternalError;
    ExecutionState execution = ExecutionState::Unknown;
    /** When a resend has a chance; empty if it has none or nothing is known. */
    std::optional<std::chrono::milliseconds> retryAfter;
    /** Text for people; programs use the reason. */
    std::string detail;
};

/** Code name used on the wire and in answers to callers, for instance "team_limit_reached". */
std::string_view toString(RefusalReason reason);

/** Inverse of toString(); empty for any other text. */
std::optional<RefusalReason> refusalReasonFromString(std::string_view text);

/** HTTP status of the answer that carries this refusal. */
int httpStatus(RefusalReason reason);

} // namespace hornbeamlane
