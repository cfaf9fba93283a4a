#include "hornbeamlane_orders/attempts/AttemptLedger.h"

#include <algorithm>
#include <utility>

namespace hornbeamlane {

using std::chrono::milliseconds;

AttemptLedger::AttemptLedger(Options options)
    : options_(std::move(options))
{
}

AttemptLedger::Decision AttemptLedger::refusal(RefusalReason reason, ExecutionState execution, const char *detail) const
{
    return Decision{.verdict = Verdict::Refused,
                    .refusal = Refusal{.reason = reason, .execution = execution, .detail = detail}};
}

bool AttemptLedger::mayBeForgotten(const AttemptId &attempt) const
{
    const auto found = forgotten_.find(attempt.entry);
    return found == forgotten_.end() ? hasForgottenEntries_ : attempt.sequence <= found->second;
}

AttemptLedger::Decision AttemptLedger::refuseLate(const Dispatch &dispatch) const
{
    // An attempt without a key leaves no trace after its window, so a late copy may be of one that ran.
    const bool isCertain = !dispatch.idempotencyKey.empty() && !mayBeForgotten(dispatch.attempt);
    return refusal(RefusalReason::FencedOff, isCertain ? ExecutionState::NotRun : ExecutionState::Unknown,
                   "the dispatch window has ended");
}

AttemptLedger::Decision AttemptLedger::refuseFull(const Dispatch &dispatch, milliseconds now)
{
    // A second copy of the dispatch must be refused too, even if there is room by then.
    voidAttempt(dispatch.attempt, now);
    return refusal(RefusalReason::Overloaded, ExecutionState::NotRun, "the agent's attempt memory is full");
}

AttemptLedger::Decision AttemptLedger::accept(const Dispatch &dispatch, milliseconds now)
{
    expire(now);
    const bool isOwn = options_.isOwnIncarnation
        ? options_.isOwnIncarnation(dispatch.targetIncarnation, options_.incarnation)
        : dispatch.targetIncarnation == options_.incarnation;
    if (!isOwn) {
        return refusal(RefusalReason::FencedOff, ExecutionState::Unknown, "meant for another incarnation of the agent");
    }
    const bool acceptsAgain = options_.acceptsAgain && options_.acceptsAgain(dispatch.attempt);
    const auto found = records_.find(dispatch.attempt);
    if (found != records_.end() && !acceptsAgain) {
        if (found->second.state == ExecutionState::NotRun) {
            return refusal(RefusalReason::FencedOff, ExecutionState::NotRun, "the attempt was voided");
        }
        return Decision{.verdict = Verdict::Ignored};
    }
    const bool isWithin =
        options_.isWithinWindow ? options_.isWithinWindow(dispatch.validUntil, now) : now <= dispatch.validUntil;
    if (!isWithin) {
        return refuseLate(dispatch);
    }
    // Records are forgotten on the assumption that no window is longer than this.
    if (dispatch.validUntil > now + options_.dispatchWindow) {
        return refusal(RefusalReason::ProtocolError, ExecutionState::Unknown, "the dispatch window is too long");
    }
    if (dispatch.validUntil <= voidedUntil_ && !acceptsAgain) {
        return refusal(RefusalReason::FencedOff, ExecutionState::NotRun, "all attempts of that window were voided");
    }
    const bool isKeyed = !dispatch.idempotencyKey.empty();
    if (!hasRoom(isKeyed, now)) {
        return refuseFull(dispatch, now);
    }
    forget(dispatch.attempt);
    Record record{.isKeyed = isKeyed, .validUntil = dispatch.validUntil};
    record.bytes = isKeyed ? options_.maxResultBytes : 0;
    keptBytes_ += record.bytes;
    records_.emplace(dispatch.attempt, std::move(record));
    return Decision{.verdict = Verdict::Accepted};
}

bool AttemptLedger::hasRoom(bool isKeyed, milliseconds now)
{
    const auto isFull = [this] { return records_.size() - voided_ >= options_.maxAttempts; };
    while (isFull() && !recorded_.empty()) {
        const auto found = records_.find(recorded_.front());
        // Inside its window the record is still needed to refuse a second copy of the dispatch.
        if (found != records_.end() && found->second.validUntil >= now) {
            break;
        }
        forget(recorded_.front());
        recorded_.pop_front();
    }
    const bool hasBytes = !isKeyed || keptBytes_ + options_.maxResultBytes <= options_.maxKeptBytes;
    return !isFull() && hasBytes;
}

void AttemptLedger::voidAttempt(const AttemptId &attempt, milliseconds now)
{
    // Every window that an entry has computed so far ends by then, because it starts from an earlier agent time.
    const auto until = now + options_.dispatchWindow;
    if (voided_ >= options_.maxVoided) {
        voidedUntil_ = std::max(voidedUntil_, until);
        return;
    }
    const auto forgetAt = until + milliseconds(1);
    records_.emplace(attempt, Record{.state = ExecutionState::NotRun, .forgetAt = forgetAt});
    expiries_.emplace(forgetAt, attempt);
    ++voided_;
}

void AttemptLedger::release(Record &record)
{
    keptBytes_ -= record.bytes;
    record.bytes = 0;
    record.hasResponse = false;
    record.response = StoredResponse();
}

void AttemptLedger::end(const AttemptId &attempt, ExecutionState state, milliseconds now)
{
    const auto found = records_.find(attempt);
    if (found == records_.end() || found->second.state != ExecutionState::Running) {
        return;
    }
    auto &record = found->second;
    release(record);
    record.state = state;
    // Inside its window the record is needed to refuse a second copy of the dispatch.
    record.forgetAt = std::max(record.validUntil, now) + milliseconds(1);
    if (record.isKeyed) {
        record.forgetAt = std::max(record.forgetAt, now + options_.keepResultFor);
    }
    expiries_.emplace(record.forgetAt, attempt);
}

void AttemptLedger::complete(const AttemptId &attempt, StoredResponse response, milliseconds now)
{
    const auto found = records_.find(attempt);
    if (found == records_.end() || found->second.state != ExecutionState::Running) {
        return;
    }
    auto &record = found->second;
    end(attempt, ExecutionState::Done, now);
    const auto bytes = response.body.size() + response.contentType.size();
    if (record.isKeyed && bytes <= options_.maxResultBytes) {
        record.bytes = bytes;
        keptBytes_ += bytes;
        record.hasResponse = true;
        record.response = std::move(response);
    }
}

void AttemptLedger::refuse(const AttemptId &attempt, milliseconds now)
{
    const auto found = records_.find(attempt);
    if (found == records_.end() || found->second.state != ExecutionState::Running) {
        return;
    }
    release(found->second);
    records_.erase(found);
    voidAttempt(attempt, now);
}

void AttemptLedger::lose(const AttemptId &attempt, milliseconds now)
{
    end(attempt, ExecutionState::Unknown, now);
}

AttemptStatus AttemptLedger::query(const QueryAttempt &query, milliseconds now)
{
    expire(now);
    AttemptStatus status{.attempt = query.attempt, .agentIncarnation = options_.incarnation};
    const bool isOwn = options_.isOwnIncarnation
        ? options_.isOwnIncarnation(query.targetIncarnation, options_.incarnation)
        : query.targetIncarnation == options_.incarnation;
    if (!isOwn) {
        return status;
    }
    const auto found = records_.find(query.attempt);
    if (found == records_.end()) {
        const bool isVoiding = !options_.voidsOnQuery || options_.voidsOnQuery(query.attempt);
        if (mayBeForgotten(query.attempt)) {
            return status;
        }
        if (isVoiding) {
            voidAttempt(query.attempt, now);
        }
        status.state = ExecutionState::NotRun;
        return status;
    }
    const auto &record = found->second;
    status.state = record.state;
    status.hasResponse = record.hasResponse;
    if (record.hasResponse) {
        status.status = record.response.status;
        status.contentType = record.response.contentType;
        status.body = record.response.body;
    }
    return status;
}

void AttemptLedger::onRecorded(const ResultRecorded &recorded)
{
    const auto found = records_.find(recorded.attempt);
    if (found == records_.end() || found->second.state != ExecutionState::Done || found->second.isRecorded) {
        return;
    }
    release(found->second);
    found->second.isRecorded = true;
    recorded_.push_back(recorded.attempt);
}

void AttemptLedger::forget(const AttemptId &attempt)
{
    const auto found = records_.find(attempt);
    if (found == records_.end()) {
        return;
    }
    auto &record = found->second;
    expiries_.erase({record.forgetAt, attempt});
    if (record.state == ExecutionState::NotRun) {
        --voided_;
    } else if (record.isKeyed) {
        const auto known = forgotten_.find(attempt.entry);
        if (known != forgotten_.end()) {
            known->second = std::max(known->second, attempt.sequence);
        } else {
            if (forgotten_.size() >= options_.maxEntries) {
                forgotten_.erase(forgotten_.begin());
                hasForgottenEntries_ = true;
            }
            forgotten_.emplace(attempt.entry, attempt.sequence);
        }
    }
    release(record);
    records_.erase(found);
}

void AttemptLedger::expire(milliseconds now)
{
    while (!expiries_.empty() && expiries_.begin()->first <= now) {
        forget(AttemptId(expiries_.begin()->second));
    }
    while (!recorded_.empty() && !records_.contains(recorded_.front())) {
        recorded_.pop_front();
    }
}

} // namespace hornbeamlane
