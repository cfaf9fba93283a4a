#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"

#include <chrono>
#include <string>
#include <vector>

namespace hornbeamlane {

enum class WorkKind { Model, Service };

/** Order to run one attempt of a request. */
struct Dispatch
{
    AttemptId attempt;
    /** The agent refuses the attempt if this is not its own incarnation. */
    Incarnation targetIncarnation;
    TeamId team;
    ClassId requestClass;
    WorkKind kind = WorkKind::Model;
    /** Name of the model or the service. */
    std::string target;
    std::string method;
    std::string path;
    std::string contentType;
    std::string body;
    /** Time left until the caller stops waiting, counted from receipt. */
    std::chrono::milliseconds remainingDeadline{0};
    /** The agent refuses the attempt when its own clock is past this value. */
    std::chrono::milliseconds validUntil{0};
    std::uint32_t priority = 0;
    bool isRepeatable = false;
    bool isStream = false;
    /** Most tokens that the request may generate; 0 for a plain service. */
    std::uint32_t maxTokens = 0;
    /** Hash of team, target and canonical body; see CrashQuarantine. */
    Hash128 fingerprint;
    /** Hashes of the prompt's prefixes, shortest first. */
    std::vector<std::uint64_t> prefixes;
    /** Empty if the caller gave none. */
    std::string idempotencyKey;
};

/** The caller is gone; the attempt need not go on. */
struct Cancel
{
    AttemptId attempt;
};

/** The entry has passed so many further body bytes of the attempt to the caller. */
struct Credit
{
    AttemptId attempt;
    std::uint64_t bytes = 0;
};

/** Asks for the state of an attempt; an attempt that never arrived is voided and can no longer run. */
struct QueryAttempt
{
    AttemptId attempt;
    Incarnation targetIncarnation;
};

/** Answer to QueryAttempt. */
struct AttemptStatus
{
    AttemptId attempt;
    Incarnation agentIncarnation;
    ExecutionState state = ExecutionState::Unknown;
    /** The response, if the state is Done and it is still kept. */
    bool hasResponse = false;
    int status = 0;
    std::string contentType;
    std::string body;
};

/** The result of a keyed attempt is recorded; the agent may forget it. */
struct ResultRecorded
{
    AttemptId attempt;
};

/** Start of a response. Sequence number 0. */
struct ResponseHead
{
    AttemptId attempt;
    std::uint64_t sequence = 0;
    int status = 0;
    std::string contentType;
};

/** Body bytes of a response, in order of the sequence number, which starts at 1. */
struct ResponseData
{
    AttemptId attempt;
    std::uint64_t sequence = 0;
    std::string bytes;
};

/** End of a complete response. */
struct ResponseEnd
{
    AttemptId attempt;
    std::uint64_t sequence = 0;
};

/** The attempt ended without a complete response. */
struct Rejected
{
    AttemptId attempt;
    Refusal refusal;
    /** Free budget of the team at this agent after the refusal. */
    std::uint32_t freeTeamConcurrency = 0;
    /** Number of the loss of the engine that ended the attempt, the same for all attempts that it ended; 0: none. */
    std::uint64_t engineLoss = 0;
};

} // namespace hornbeamlane
