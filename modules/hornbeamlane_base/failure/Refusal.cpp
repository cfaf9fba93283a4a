#include "hornbeamlane_base/failure/Refusal.h"

#include "hornbeamlane_base/failure/Assertions.h"

#include <array>

namespace hornbeamlane {

namespace {

struct ReasonRow
{
    RefusalReason reason;
    std::string_view code;
    int status;
};

constexpr std::array reasonRows = {
    ReasonRow{RefusalReason::MalformedRequest, "malformed_request", 400},
    ReasonRow{RefusalReason::RequestTooLarge, "request_too_large", 413},
    ReasonRow{RefusalReason::UnknownTeam, "unknown_team", 401},
    ReasonRow{RefusalReason::UnknownModel, "unknown_model", 404},
    ReasonRow{RefusalReason::UnknownService, "unknown_service", 404},
    ReasonRow{RefusalReason::MethodNotAllowed, "method_not_allowed", 405},
    ReasonRow{RefusalReason::MissingIdempotencyKey, "missing_idempotency_key", 400},
    ReasonRow{RefusalReason::IdempotencyKeyReused, "idempotency_key_reused", 422},
    ReasonRow{RefusalReason::TeamLimitReached, "team_limit_reached", 429},
    ReasonRow{RefusalReason::Overloaded, "overloaded", 503},
    ReasonRow{RefusalReason::DeadlineTooShort, "deadline_too_short", 503},
    ReasonRow{RefusalReason::DeadlineExceeded, "deadline_exceeded", 504},
    ReasonRow{RefusalReason::NoServerAvailable, "no_server_available", 503},
    ReasonRow{RefusalReason::Draining, "draining", 503},
    ReasonRow{RefusalReason::NotReady, "not_ready", 503},
    ReasonRow{RefusalReason::ClaimStoreUnavailable, "claim_store_unavailable", 503},
    ReasonRow{RefusalReason::StillRunning, "still_running", 409},
    ReasonRow{RefusalReason::OutcomeUnknown, "outcome_unknown", 409},
    ReasonRow{RefusalReason::Quarantined, "quarantined", 422},
    ReasonRow{RefusalReason::ServerLost, "server_lost", 502},
    ReasonRow{RefusalReason::AnswerIncomplete, "answer_incomplete", 502},
    ReasonRow{RefusalReason::Cancelled, "cancelled", 499},
    ReasonRow{RefusalReason::FencedOff, "fenced_off", 409},
    ReasonRow{RefusalReason::ProtocolError, "protocol_error", 502},
    ReasonRow{RefusalReason::InternalError, "internal_error", 500},
};

const ReasonRow &rowOf(RefusalReason reason)
{
    const auto index = static_cast<std::size_t>(reason);
    HORNBEAMLANE_ASSERT(index < reasonRows.size() && reasonRows[index].reason == reason);
    return reasonRows[index];
}

} // namespace

std::string_view toString(RefusalReason reason)
{
    return rowOf(reason).code;
}

std::optional<RefusalReason> refusalReasonFromString(std::string_view text)
{
    for (const auto &row : reasonRows) {
        if (row.code == text) {
            return row.reason;
        }
    }
    return std::nullopt;
}

int httpStatus(RefusalReason reason)
{
    return rowOf(reason).status;
}

} // namespace hornbeamlane
