#include "hornbeamlane_membership/lease/LeaseKeeper.h"

#include <utility>

namespace hornbeamlane {

LeaseKeeper::LeaseKeeper(Options options)
    : options_(std::move(options))
{
    HORNBEAMLANE_ASSERT(options_.holder != Incarnation());
    if (!options_.holdTime) {
        options_.holdTime = [](Duration duration) { return duration * 8 / 10; };
    }
    if (!options_.takeoverWait) {
        options_.takeoverWait = [](Duration duration) { return duration * 15 / 10; };
    }
    if (!options_.holdStart) {
        options_.holdStart = [](TimePoint sentAt, TimePoint) { return sentAt; };
    }
}

std::optional<LeaseRequest> LeaseKeeper::poll(TimePoint now)
{
    if (pending_ != Pending::None) {
        return std::nullopt;
    }
    const bool isHeld = token(now).has_value();
    if (!hasObserved_) {
        if ((!wantsLease_ && !mustFree_) || now < nextReadAt_) {
            return std::nullopt;
        }
        return makeRead(now);
    }
    if (mustFree_) {
        if (!observedRow_ || observedRow_->holder != options_.holder) {
            mustFree_ = false;
            return std::nullopt;
        }
        return makeWrite(Pending::Free, LeaseRow{}, now);
    }
    if (!wantsLease_) {
        return std::nullopt;
    }
    if (isHeld) {
        if (now < renewAt_) {
            return std::nullopt;
        }
        return makeWrite(Pending::Renew, LeaseRow{.holder = options_.holder, .sequence = 0, .token = token_}, now);
    }
    if (mayAcquire(now)) {
        return makeWrite(Pending::Acquire, LeaseRow{.holder = options_.holder, .sequence = 0, .token = {}}, now);
    }
    if (now < nextReadAt_) {
        return std::nullopt;
    }
    return makeRead(now);
}

void LeaseKeeper::handleReply(const TableReply &reply, TimePoint now)
{
    HORNBEAMLANE_ASSERT(pending_ != Pending::None);
    const Pending pending = std::exchange(pending_, Pending::None);
    nextReadAt_ = now + options_.readInterval;
    if (!takeEra(reply, now)) {
        nextReadAt_ = now;
        return;
    }
    if (reply.serviceTime) {
        serviceTime_ = {.time = *reply.serviceTime, .askedAt = askedAt_, .answeredAt = now};
    }
    if (pending == Pending::Read) {
        if (reply.status == TableStatus::NotFound) {
            observe(RowVersion(), std::nullopt, now);
        } else if (reply.status == TableStatus::Ok && reply.row) {
            observe(reply.row->version, LeaseRow::fromString(reply.row->value), now);
        }
        return;
    }
    if (reply.status == TableStatus::Ok && reply.row) {
        if (pending == Pending::Free) {
            observe(reply.row->version, LeaseRow{}, now);
            mustFree_ = false;
            return;
        }
        const LeaseRow written{.holder = options_.holder,
                               .sequence = sequence_,
                               .token = pending == Pending::Renew ? token_ : FencingToken()};
        observe(reply.row->version, written, now);
        return;
    }
    if (reply.status == TableStatus::Unavailable) {
        // Nothing was written. A holder tries again soon, because its holding time runs on.
        sentAt_.erase(sequence_);
        renewAt_ = now + options_.readInterval;
        if (pending == Pending::Acquire || pending == Pending::Free) {
            hasObserved_ = false;
        }
        return;
    }
    // After a conflict or a lost reply only the row shows which write took effect.
    if (reply.status == TableStatus::Conflict) {
        sentAt_.erase(sequence_);
        nextReadAt_ = now;
    }
    hasObserved_ = false;
}

bool LeaseKeeper::takeEra(const TableReply &reply, TimePoint now)
{
    bool isOutdated = std::exchange(isPendingOutdated_, false);
    if (reply.era && !era_) {
        era_ = reply.era;
    }
    if (reply.era && *reply.era != *era_) {
        isOutdated = true;
        onEraRisen(*reply.era, now);
    }
    if (isOutdated) {
        sentAt_.clear();
        hasObserved_ = false;
    }
    return !isOutdated;
}

void LeaseKeeper::onEraRisen(TableEra era, TimePoint now)
{
    if (era_ && era <= *era_) {
        return;
    }
    era_ = era;
    token_ = FencingToken();
    heldUntil_ = TimePoint();
    // A write of the earlier era may still meet its condition, because versions are given out again. The row that it
    // leaves names this holder, which must not count on it.
    sentAt_.clear();
    isPendingOutdated_ = pending_ != Pending::None;
    hasObserved_ = false;
    observedVersion_ = RowVersion();
    observedRow_.reset();
    unchangedSince_ = TimePoint();
    serviceTime_.reset();
    nextReadAt_ = now;
    // The row may be older than the lease that another process holds now, or absent, or name this process for a lease
    // that it has lost since. The last renewal of that lease came before the era rose.
    mayAcquireFrom_ = now + options_.takeoverWait(options_.duration);
}

std::optional<FencingToken> LeaseKeeper::token(TimePoint now) const
{
    if (token_ == FencingToken() || now >= heldUntil_) {
        return std::nullopt;
    }
    return token_;
}

void LeaseKeeper::release()
{
    mustFree_ = mustFree_ || wantsLease_;
    wantsLease_ = false;
    token_ = FencingToken();
}

void LeaseKeeper::compete()
{
    wantsLease_ = true;
}

LeaseRequest LeaseKeeper::makeRead(TimePoint now)
{
    pending_ = Pending::Read;
    askedAt_ = now;
    return LeaseRequest{.key = options_.key, .write = std::nullopt};
}

LeaseRequest LeaseKeeper::makeWrite(Pending kind, const LeaseRow &row, TimePoint now)
{
    pending_ = kind;
    askedAt_ = now;
    LeaseRow numbered = row;
    if (kind != Pending::Free) {
        numbered.expiresAt = expiryOfLeaseFrom(now);
        numbered.sequence = ++sequence_;
        sentAt_[sequence_] = now;
    }
    return LeaseRequest{
        .key = options_.key,
        .write = TableWrite{.key = options_.key, .expectedVersion = observedVersion_, .value = numbered.toString()}};
}

void LeaseKeeper::observe(RowVersion version, const std::optional<LeaseRow> &row, TimePoint now)
{
    // The waiting time of a contender survives failed requests: only a new version starts it again.
    if (version != observedVersion_ || unchangedSince_ == TimePoint()) {
        observedVersion_ = version;
        unchangedSince_ = now;
    }
    hasObserved_ = true;
    observedRow_ = row;
    if (row && row->holder == options_.holder) {
        adoptOwnRow(*row, version, now);
    } else {
        token_ = FencingToken();
        // Another process has written since, so no own write in flight can meet its condition any more.
        sentAt_.clear();
    }
}

void LeaseKeeper::adoptOwnRow(const LeaseRow &row, RowVersion version, TimePoint answeredAt)
{
    const auto sent = sentAt_.find(row.sequence);
    if (sent == sentAt_.end() || !wantsLease_) {
        return;
    }
    token_ = row.token == FencingToken() ? tokenOfVersion(version, era_) : row.token;
    const auto start = options_.holdStart(sent->second, answeredAt);
    heldUntil_ = start + options_.holdTime(options_.duration);
    renewAt_ = start + options_.renewInterval;
    // Writes before this one can no longer take effect: their condition names an older version.
    sentAt_.erase(sentAt_.begin(), std::next(sent));
}

bool LeaseKeeper::mayAcquire(TimePoint now) const
{
    if (now < mayAcquireFrom_) {
        return false;
    }
    if (!observedRow_ || observedRow_->holder == Incarnation()) {
        // An absent row, a released lease, or a malformed row that no holder can renew.
        return true;
    }
    if (observedRow_->holder == options_.holder) {
        // The own holding time is over, so the new token has no other user.
        return true;
    }
    const auto at = now - options_.takeoverDelay;
    return hasExpired(*observedRow_, at) || at - unchangedSince_ >= options_.takeoverWait(options_.duration);
}

std::optional<std::chrono::milliseconds> LeaseKeeper::expiryOfLeaseFrom(TimePoint now) const
{
    if (!serviceTime_) {
        return std::nullopt;
    }
    // The service answered at some time after it was asked, so this is the latest that its clock can show now.
    const auto latest = serviceTime_->time + (now - serviceTime_->askedAt);
    return std::chrono::ceil<std::chrono::milliseconds>(latest + options_.duration);
}

bool LeaseKeeper::hasExpired(const LeaseRow &row, TimePoint now) const
{
    // The service answered before its answer arrived, so this is the earliest that its clock can show now.
    return row.expiresAt && serviceTime_ && serviceTime_->time + (now - serviceTime_->answeredAt) >= *row.expiresAt;
}

} // namespace hornbeamlane
