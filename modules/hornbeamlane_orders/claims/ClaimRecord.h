#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace hornbeamlane {

/** A complete response as it is kept for resends. */
struct StoredResponse
{
    int status = 0;
    std::string contentType;
    std::string body;
    /** The response was too long for the row; only the agent may still have it. */
    bool isBodyOmitted = false;

    bool operator==(const StoredResponse &) const = default;
};

enum class ClaimState {
    Claimed, ///< An attempt may be running.
    Done, ///< The response is recorded.
    Unknown, ///< The outcome cannot be found out; final until an operator removes the row.
};

/** Content of the row of one idempotency key. */
struct ClaimRecord
{
    ClaimState state = ClaimState::Claimed;
    AttemptId attempt;
    ServerId server;
    Incarnation agentIncarnation;
    /** End of the dispatch window on the agent's clock. */
    std::chrono::milliseconds validUntil{0};
    /** Digest of the request; a resend must have the same. */
    Hash128 digest;
    /** Set in the state Done. */
    StoredResponse response;

    bool operator==(const ClaimRecord &) const = default;
};

enum class ClaimDecodeFailure { None, TooLarge, Malformed, UnsupportedVersion, WrongField };

/** Longest body that is stored in the row itself. */
constexpr std::size_t maxStoredBodySize = 64 * 1024;

/** Key of the row: "claims/<team>/<key>" with both parts escaped, so that no two pairs share a row. */
std::string claimRowKey(const TeamId &team, std::string_view idempotencyKey);

/** Whether the row can hold the whole response. */
bool fitsIntoRow(const StoredResponse &response);

/** JSON text of the row. A response that does not fit keeps its status only and is marked as omitted. */
std::string encodeClaim(const ClaimRecord &record);

/** Inverse of encodeClaim(). Empty, with the reason, for anything that encodeClaim() does not write. */
std::optional<ClaimRecord> decodeClaim(std::string_view text, ClaimDecodeFailure &failure);

} // namespace hornbeamlane
