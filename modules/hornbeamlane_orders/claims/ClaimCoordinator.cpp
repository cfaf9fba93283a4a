#include "hornbeamlane_orders/claims/ClaimCoordinator.h"

#include <algorithm>
#include <utility>

namespace hornbeamlane {

namespace {

constexpr std::chrono::milliseconds resendDelay{1'000};

template <class... Arguments>
bool decide(const std::function<bool(Arguments...)> &hook, bool standard,
            const std::type_identity_t<Arguments> &...arguments)
{
    return hook ? hook(arguments...) : standard;
}

} // namespace

ClaimCoordinator::ClaimCoordinator(Options options)
    : options_(std::move(options))
    , tracker_({.deadline = options_.request.deadline, .takeRetry = options_.takeRetry})
    , key_(claimRowKey(options_.request.team, options_.request.idempotencyKey))
    , giveUpAt_(options_.request.deadline + options_.recordFor)
{
    HORNBEAMLANE_ASSERT(options_.nextAttempt && options_.chooseTarget);
}

ClaimActions ClaimCoordinator::take()
{
    return std::exchange(actions_, {});
}

void ClaimCoordinator::expectReply(Phase phase)
{
    phase_ = phase;
    pendingOperation_ = ++lastOperation_;
}

bool ClaimCoordinator::mayRepeatOperation()
{
    return ++tableTries_ < options_.maxTableTries;
}

bool ClaimCoordinator::isOwnAttempt(const AttemptId &attempt) const
{
    return isDispatched_ && attempt == own_.attempt;
}

bool ClaimCoordinator::isQueryingOwn() const
{
    return phase_ == Phase::Querying && isOwnAttempt(found_.attempt);
}

ExecutionState ClaimCoordinator::executionWithoutEvidence() const
{
    const bool isFirstSend = decide(options_.isFirstSend, !options_.request.mayBeResend, options_.request);
    const bool isNotRun = tracker_.execution() == ExecutionState::NotRun && !hasForeignClaim_ && isFirstSend;
    return isNotRun ? ExecutionState::NotRun : ExecutionState::Unknown;
}

// Answers -------------------------------------------------------------------------------------------------------------

void ClaimCoordinator::answer(bool isReplay)
{
    if (!isAnswered_) {
        isAnswered_ = true;
        actions_.emplace_back(AnswerCaller{.response = response_, .isReplay = isReplay});
    }
}

void ClaimCoordinator::refuse(RefusalReason reason, ExecutionState execution, const std::string &detail,
                              std::optional<std::chrono::milliseconds> retryAfter)
{
    if (!isAnswered_) {
        isAnswered_ = true;
        // A resend with the same key is always safe; it cannot help a reused key or a final outcome.
        const bool isFinal = reason == RefusalReason::IdempotencyKeyReused;
        actions_.emplace_back(
            RefuseCaller{{.reason = reason,
                          .execution = execution,
                          .retryAfter = isFinal ? std::nullopt : std::optional(retryAfter.value_or(resendDelay)),
                          .detail = detail}});
    }
    phase_ = Phase::Finished;
    pendingOperation_ = 0;
}

void ClaimCoordinator::refuseWithoutEvidence(RefusalReason reason, const std::string &detail)
{
    refuse(hasForeignClaim_ ? RefusalReason::OutcomeUnknown : reason, executionWithoutEvidence(), detail);
}

void ClaimCoordinator::refuseUnknown(const char *detail)
{
    refuse(RefusalReason::OutcomeUnknown, ExecutionState::Unknown, detail);
}

// Claiming ------------------------------------------------------------------------------------------------------------

ClaimActions ClaimCoordinator::start(TimePoint now)
{
    HORNBEAMLANE_ASSERT(phase_ == Phase::Idle);
    // A new key is the common case, so the write comes first and a read only after a conflict.
    claim(RowVersion(), now);
    return take();
}

void ClaimCoordinator::claim(RowVersion expectedVersion, TimePoint now)
{
    if (now >= options_.request.deadline) {
        refuseWithoutEvidence(RefusalReason::DeadlineTooShort, "the deadline has passed");
        return;
    }
    if (++rounds_ > options_.maxRounds) {
        refuseWithoutEvidence(RefusalReason::ClaimStoreUnavailable, "the claim is contended");
        return;
    }
    const auto target = options_.chooseTarget();
    if (!target) {
        const Refusal refusal{.reason = RefusalReason::NoServerAvailable, .detail = "no server for the request"};
        if (expectedVersion == version_ && version_ != RowVersion()) {
            removeClaim(refusal);
        } else if (rounds_ == 1) {
            // A resend needs no server if its answer is in the row.
            read();
        } else {
            refuseWithoutEvidence(refusal.reason, "no server for the request");
        }
        return;
    }
    tracker_.end(own_.attempt, AttemptEnd::Lost);
    own_ = ClaimRecord{.state = ClaimState::Claimed,
                       .attempt = options_.nextAttempt(),
                       .server = target->server,
                       .agentIncarnation = target->agentIncarnation,
                       .validUntil = target->agentTime + options_.dispatchWindow,
                       .digest = options_.request.digest};
    isDispatched_ = false;
    tracker_.begin(own_.attempt);
    version_ = expectedVersion;
    tableTries_ = 0;
    hasUnansweredWrite_ = false;
    writeOwnClaim();
    if (!decide(options_.claimsBeforeDispatch, true)) {
        dispatch();
    }
}

void ClaimCoordinator::writeOwnClaim()
{
    expectReply(Phase::Claiming);
    actions_.emplace_back(WriteClaimRow{pendingOperation_, {key_, version_, encodeClaim(own_)}});
}

void ClaimCoordinator::dispatch()
{
    // From here on a byte may have reached the agent, whatever becomes of the frame.
    tracker_.advance(own_.attempt, AttemptProgress::Sent);
    isDispatched_ = true;
    actions_.emplace_back(DispatchAttempt{own_.attempt, own_.server, own_.agentIncarnation, own_.validUntil});
}

void ClaimCoordinator::onClaimReply(const TableReply &reply)
{
    switch (reply.status) {
    case TableStatus::Ok:
        if (reply.row) {
            version_ = reply.row->version;
            onClaimWritten();
            return;
        }
        [[fallthrough]];
    case TableStatus::NoReply:
        hasUnansweredWrite_ = true;
        if (mayRepeatOperation()) {
            writeOwnClaim();
        } else {
            refuseWithoutEvidence(RefusalReason::ClaimStoreUnavailable, "the claim could not be written");
        }
        return;
    case TableStatus::Conflict:
    case TableStatus::NotFound:
        // Without an unanswered write of our own the row must be another entry's.
        hasForeignClaim_ = hasForeignClaim_ || !hasUnansweredWrite_;
        read();
        return;
    case TableStatus::Unavailable:
        refuseWithoutEvidence(RefusalReason::ClaimStoreUnavailable, "the claim store is unavailable");
        return;
    }
}

void ClaimCoordinator::read()
{
    if (++rounds_ > options_.maxRounds) {
        refuseUnknown("the claim is contended");
        return;
    }
    tableTries_ = 0;
    expectReply(Phase::Reading);
    actions_.emplace_back(ReadClaimRow{pendingOperation_, key_});
}

void ClaimCoordinator::onReadReply(const TableReply &reply, TimePoint now)
{
    if (reply.status == TableStatus::Ok && reply.row) {
        inspectRow(*reply.row, now);
    } else if (reply.status == TableStatus::NotFound) {
        // The other entry removed its claim, which it does only if its attempt has not run.
        claim(RowVersion(), now);
    } else if (reply.status == TableStatus::NoReply && mayRepeatOperation()) {
        expectReply(Phase::Reading);
        actions_.emplace_back(ReadClaimRow{pendingOperation_, key_});
    } else {
        refuseWithoutEvidence(RefusalReason::ClaimStoreUnavailable, "the claim could not be read");
    }
}

void ClaimCoordinator::inspectRow(const TableRow &row, TimePoint now)
{
    ClaimDecodeFailure failure = ClaimDecodeFailure::None;
    const auto record = decodeClaim(row.value, failure);
    if (!record) {
        refuseUnknown("the claim cannot be read by this release");
        return;
    }
    version_ = row.version;
    if (!decide(options_.isSameRequest, record->digest == options_.request.digest, record->digest,
                options_.request.digest)) {
        refuse(RefusalReason::IdempotencyKeyReused, ExecutionState::NotRun,
               "the key was used for a request with another content");
        return;
    }
    switch (record->state) {
    case ClaimState::Unknown:
        refuseUnknown("the outcome cannot be found out");
        return;
    case ClaimState::Done:
        if (record->response.isBodyOmitted) {
            query(*record, now);
            return;
        }
        response_ = record->response;
        answer(!isOwnAttempt(record->attempt));
        phase_ = Phase::Finished;
        return;
    case ClaimState::Claimed:
        break;
    }
    if (!decide(options_.isOwnClaim, record->attempt == own_.attempt, *record, own_)) {
        hasForeignClaim_ = true;
        query(*record, now);
    } else if (!isDispatched_) {
        onClaimWritten();
    } else {
        query(*record, now);
    }
}

void ClaimCoordinator::onClaimWritten()
{
    phase_ = Phase::Executing;
    if (!isDispatched_) {
        dispatch();
    }
}

// Executing and querying ----------------------------------------------------------------------------------------------

ClaimActions ClaimCoordinator::onDispatchNotSent(const AttemptId &attempt, TimePoint now)
{
    if (phase_ == Phase::Executing && isOwnAttempt(attempt)) {
        onOwnNotRun(AttemptEnd::Refused,
                    {.reason = RefusalReason::ServerLost, .detail = "the server cannot be reached"}, now);
    }
    return take();
}

ClaimActions ClaimCoordinator::onRejected(const Rejected &rejected, Incarnation sender, TimePoint now)
{
    const bool isExpected = phase_ == Phase::Executing || isQueryingOwn();
    if (!isExpected || !isOwnAttempt(rejected.attempt)) {
        return take();
    }
    // Another incarnation knows nothing of a copy that reached its predecessor.
    const bool isCredible =
        decide(options_.isCredibleSender, sender == own_.agentIncarnation, sender, own_.agentIncarnation);
    if (!isCredible) {
        markUnknown(own_);
    } else if (rejected.refusal.execution == ExecutionState::NotRun) {
        onOwnNotRun(AttemptEnd::Refused, rejected.refusal, now);
    } else {
        query(own_, now);
    }
    return take();
}

ClaimActions ClaimCoordinator::onLinkLost(const ServerId &server, TimePoint now)
{
    if (phase_ == Phase::Executing && own_.server == server) {
        query(own_, now);
    }
    return take();
}

ClaimActions ClaimCoordinator::onLinkUp(const ServerId &server, Incarnation incarnation, TimePoint now)
{
    const bool isConcerned =
        (phase_ == Phase::Executing && own_.server == server) || (phase_ == Phase::Querying && found_.server == server);
    if (!isConcerned) {
        return take();
    }
    const auto &record = phase_ == Phase::Executing ? own_ : found_;
    if (record.agentIncarnation != incarnation) {
        markUnknown(ClaimRecord(record));
    } else {
        query(ClaimRecord(record), now);
    }
    return take();
}

void ClaimCoordinator::query(const ClaimRecord &record, TimePoint now)
{
    found_ = record;
    isFoundRunning_ = false;
    queries_ = 0;
    phase_ = Phase::Querying;
    pendingOperation_ = 0;
    sendQuery(now);
}

void ClaimCoordinator::sendQuery(TimePoint now)
{
    ++queries_;
    nextQueryAt_ = now + options_.queryInterval;
    actions_.emplace_back(
        QueryAttemptState{found_.server, {.attempt = found_.attempt, .targetIncarnation = found_.agentIncarnation}});
}

ClaimActions ClaimCoordinator::onAttemptStatus(const AttemptStatus &status, TimePoint now)
{
    if (phase_ != Phase::Querying || status.attempt != found_.attempt) {
        return take();
    }
    const bool isRecordedDone = found_.state == ClaimState::Done;
    const bool isKept = status.state == ExecutionState::Done && status.hasResponse;
    if (status.agentIncarnation == found_.agentIncarnation && isKept) {
        StoredResponse response{status.status, status.contentType, status.body};
        if (isRecordedDone) {
            response_ = std::move(response);
            answer(true);
            phase_ = Phase::Finished;
        } else {
            record(ClaimRecord(found_), std::move(response), !isOwnAttempt(found_.attempt), now);
        }
    } else if (isRecordedDone) {
        refuse(RefusalReason::AnswerIncomplete, ExecutionState::Done, "it has run, but its answer is no longer kept");
    } else if (status.agentIncarnation != found_.agentIncarnation
               || (status.state != ExecutionState::Running && status.state != ExecutionState::NotRun)) {
        markUnknown(ClaimRecord(found_));
    } else if (status.state == ExecutionState::Running) {
        isFoundRunning_ = true;
        if (!isQueryingOwn()) {
            refuse(RefusalReason::StillRunning, ExecutionState::Running, "an earlier send of the request is running");
        }
    } else if (isQueryingOwn()) {
        onOwnNotRun(AttemptEnd::Voided, {.reason = RefusalReason::ServerLost, .detail = "the link to the server broke"},
                    now);
    } else {
        // The claimed attempt is void, so the claim can be replaced. Until then the row is still another entry's.
        claim(version_, now);
    }
    return take();
}

void ClaimCoordinator::onOwnNotRun(AttemptEnd how, const Refusal &refusal, TimePoint now)
{
    tracker_.end(own_.attempt, how);
    if (!isAnswered_ && tracker_.takeRetry(now)) {
        claim(version_, now);
    } else {
        removeClaim(refusal);
    }
}

// The caller is told "not run" only after its own claim is removed: until then another entry may have voided the
// attempt, replaced the claim and run the request. The removal also spares the next send a query.
void ClaimCoordinator::removeClaim(const Refusal &refusal)
{
    removalRefusal_ = refusal;
    tableTries_ = 0;
    hasUnansweredWrite_ = false;
    if (!decide(options_.removesBeforeRefusal, true)) {
        refuse(refusal.reason, ExecutionState::NotRun, refusal.detail, refusal.retryAfter);
        return;
    }
    writeRemoval();
}

void ClaimCoordinator::writeRemoval()
{
    expectReply(Phase::Removing);
    actions_.emplace_back(RemoveClaimRow{pendingOperation_, key_, version_});
}

void ClaimCoordinator::onRemoveReply(const TableReply &reply)
{
    const bool isRemoved =
        reply.status == TableStatus::Ok || (reply.status == TableStatus::NotFound && hasUnansweredWrite_);
    if (isRemoved) {
        refuse(removalRefusal_.reason, tracker_.execution(), removalRefusal_.detail, removalRefusal_.retryAfter);
    } else if (reply.status == TableStatus::Conflict) {
        hasForeignClaim_ = true;
        read();
    } else if (reply.status == TableStatus::NoReply && mayRepeatOperation()) {
        hasUnansweredWrite_ = true;
        writeRemoval();
    } else {
        refuseWithoutEvidence(removalRefusal_.reason, removalRefusal_.detail);
    }
}

// Recording -----------------------------------------------------------------------------------------------------------

ClaimActions ClaimCoordinator::onResponse(const AttemptId &attempt, StoredResponse response, TimePoint now)
{
    const bool isExpected = phase_ == Phase::Executing || phase_ == Phase::Claiming || isQueryingOwn();
    if (isExpected && isOwnAttempt(attempt)) {
        record(own_, std::move(response), false, now);
    }
    return take();
}

void ClaimCoordinator::record(const ClaimRecord &claim, StoredResponse response, bool isReplay, TimePoint now)
{
    tracker_.end(claim.attempt, AttemptEnd::Completed);
    found_ = claim;
    found_.state = ClaimState::Done;
    response_ = std::move(response);
    isReplay_ = isReplay;
    isReadingRecord_ = false;
    nextRecordAt_.reset();
    tableTries_ = 0;
    giveUpAt_ = now + options_.recordFor;
    writeRecord();
}

void ClaimCoordinator::writeRecord()
{
    expectReply(Phase::Recording);
    found_.response = response_;
    actions_.emplace_back(WriteClaimRow{pendingOperation_, {key_, version_, encodeClaim(found_)}});
}

void ClaimCoordinator::finishRecord(bool isConfirmed)
{
    answer(isReplay_);
    phase_ = Phase::Finished;
    // An agent keeps a response that did not fit into the row for as long as it can.
    if (isConfirmed && fitsIntoRow(response_)) {
        actions_.emplace_back(ConfirmRecorded{found_.server, {found_.attempt}});
    }
}

void ClaimCoordinator::onRecordReply(const TableReply &reply, TimePoint now)
{
    if (isReadingRecord_) {
        onRecordReadReply(reply);
        return;
    }
    if (reply.status == TableStatus::Ok) {
        finishRecord(true);
    } else if (reply.status == TableStatus::Conflict) {
        // Either an earlier try of this write took effect, or another entry has resolved the claim.
        answer(isReplay_);
        isReadingRecord_ = true;
        expectReply(Phase::Recording);
        actions_.emplace_back(ReadClaimRow{pendingOperation_, key_});
    } else if (reply.status == TableStatus::NotFound) {
        finishRecord(false);
    } else {
        answer(isReplay_);
        nextRecordAt_ = now + options_.recordInterval;
    }
}

void ClaimCoordinator::onRecordReadReply(const TableReply &reply)
{
    ClaimDecodeFailure failure = ClaimDecodeFailure::None;
    const auto row = reply.row ? decodeClaim(reply.row->value, failure) : std::nullopt;
    // Without a reading the agent keeps the result until its time is up, which does no harm.
    finishRecord(row && row->state == ClaimState::Done && row->attempt == found_.attempt);
}

void ClaimCoordinator::markUnknown(const ClaimRecord &claim)
{
    tracker_.end(claim.attempt, AttemptEnd::Lost);
    found_ = claim;
    found_.state = ClaimState::Unknown;
    expectReply(Phase::MarkingUnknown);
    actions_.emplace_back(WriteClaimRow{pendingOperation_, {key_, version_, encodeClaim(found_)}});
}

void ClaimCoordinator::onMarkReply(const TableReply &reply)
{
    if (reply.status == TableStatus::Conflict) {
        // Another entry may have recorded the answer.
        read();
    } else {
        // If the write failed, the next send comes to the same conclusion.
        refuseUnknown("the agent that may have run the request is gone or no longer keeps the result");
    }
}

// Time ----------------------------------------------------------------------------------------------------------------

ClaimActions ClaimCoordinator::onTableReply(TableOperation operation, const TableReply &reply, TimePoint now)
{
    if (operation != pendingOperation_ || operation == 0) {
        return take();
    }
    // An entry that was frozen must not dispatch for a caller that is no longer waiting. Nor may it say "not run" from
    // an old removal of its claim, because a resend may have run through another entry since.
    const bool isSensitive = phase_ == Phase::Claiming || phase_ == Phase::Reading || phase_ == Phase::Removing;
    const bool isWaiting =
        decide(options_.isCallerWaiting, now < options_.request.deadline, now, options_.request.deadline);
    if (isSensitive && !isAnswered_ && !isWaiting) {
        return onTime(now);
    }
    pendingOperation_ = 0;
    switch (phase_) {
    case Phase::Claiming:
        onClaimReply(reply);
        break;
    case Phase::Reading:
        onReadReply(reply, now);
        break;
    case Phase::Recording:
        onRecordReply(reply, now);
        break;
    case Phase::MarkingUnknown:
        onMarkReply(reply);
        break;
    case Phase::Removing:
        onRemoveReply(reply);
        break;
    default:
        break;
    }
    return take();
}

void ClaimCoordinator::onDeadline()
{
    switch (phase_) {
    case Phase::Claiming:
    case Phase::Reading:
        refuseWithoutEvidence(RefusalReason::ClaimStoreUnavailable, "the claim store did not answer in time");
        return;
    case Phase::Executing:
        // The attempt goes on, and its result is recorded for a resend.
        refuseUnknown("the server did not answer in time");
        phase_ = Phase::Executing;
        return;
    case Phase::Querying:
        if (isFoundRunning_) {
            refuse(RefusalReason::StillRunning, ExecutionState::Running, "the request is running");
        } else {
            refuseUnknown("the agent did not answer in time");
        }
        return;
    case Phase::Recording:
        answer(isReplay_);
        return;
    case Phase::MarkingUnknown:
        refuseUnknown("the agent that may have run the request is gone");
        return;
    case Phase::Removing:
        refuseWithoutEvidence(removalRefusal_.reason, removalRefusal_.detail);
        return;
    case Phase::Idle:
    case Phase::Finished:
        return;
    }
}

ClaimActions ClaimCoordinator::onTime(TimePoint now)
{
    if (!isAnswered_ && now >= options_.request.deadline) {
        onDeadline();
    }
    if (phase_ == Phase::Querying && now >= nextQueryAt_) {
        if ((isQueryingOwn() && !isAnswered_) || queries_ < options_.maxQueries) {
            sendQuery(now);
        } else {
            refuseUnknown("the agent does not answer");
        }
    }
    if (phase_ == Phase::Recording && nextRecordAt_ && now >= *nextRecordAt_) {
        nextRecordAt_.reset();
        writeRecord();
    }
    if (isAnswered_ && now >= giveUpAt_) {
        phase_ = Phase::Finished;
    }
    return take();
}

std::optional<TimePoint> ClaimCoordinator::nextWakeUp() const
{
    if (phase_ == Phase::Finished || phase_ == Phase::Idle) {
        return std::nullopt;
    }
    auto next = isAnswered_ ? giveUpAt_ : options_.request.deadline;
    if (phase_ == Phase::Querying) {
        next = std::min(next, nextQueryAt_);
    }
    if (phase_ == Phase::Recording && nextRecordAt_) {
        next = std::min(next, *nextRecordAt_);
    }
    return next;
}

} // namespace hornbeamlane
