#include "hornbeamlane_admission/teams/TeamLeaseBook.h"

#include <algorithm>

namespace hornbeamlane {

TeamLeaseBook::TeamLeaseBook(const TeamId &team, ServerId server, Incarnation agent, Options options)
    : options_(std::move(options))
    , key_(TeamLeaseRow::keyOf(team))
    , server_(std::move(server))
    , agent_(agent)
{
    if (!options_.reclaimAfter) {
        // The surplus covers clocks of different speed and the time to cancel in the engine.
        options_.reclaimAfter = [](Duration duration) { return duration * 3 / 2; };
    }
    if (!options_.isUsable) {
        options_.isUsable = [](TimePoint now, TimePoint end) { return now < end; };
    }
}

void TeamLeaseBook::setRemainder(std::uint32_t remainder)
{
    remainder_ = remainder;
}

void TeamLeaseBook::noteDemand(std::uint32_t amount)
{
    demand_ = std::max(demand_, amount);
}

std::uint32_t TeamLeaseBook::usable(TimePoint now) const
{
    // Holders that keep their leases after the remainder has shrunk fit into it together: the last of them to write
    // saw the leases of the others in its total.
    if (!held_ || held_->rowTotal > remainder_ || !options_.isUsable(now, held_->end)) {
        return 0;
    }
    return held_->amount;
}

TimePoint TeamLeaseBook::usableUntil() const
{
    return held_ ? held_->end : TimePoint();
}

bool TeamLeaseBook::isOwn(const TeamLease &lease) const
{
    // A predecessor on the same server may be frozen instead of dead, so its lease is one of others.
    return lease.server == server_ && lease.agent == agent_;
}

std::uint32_t TeamLeaseBook::wanted(std::uint32_t extraInUse) const
{
    return std::min(std::max(demand_, extraInUse), remainder_);
}

bool TeamLeaseBook::needsWrite(TimePoint now, std::uint32_t extraInUse) const
{
    if (now < retryAt_) {
        return false;
    }
    if (!held_) {
        return wanted(extraInUse) > 0;
    }
    return now >= held_->sentAt + options_.renewAfter || wanted(extraInUse) > held_->amount
        || held_->rowTotal > remainder_;
}

std::optional<LeaseAction> TeamLeaseBook::nextAction(TimePoint now, std::uint32_t extraInUse)
{
    if (isAwaiting_ || now < retryAt_) {
        return std::nullopt;
    }
    // A repeated write has the same condition, so it takes effect at most once together with the lost one.
    if (pending_ && isRowKnown_) {
        return send(*pending_);
    }
    if (!pending_ && !needsWrite(now, extraInUse)) {
        return std::nullopt;
    }
    if (!isRowKnown_) {
        isAwaiting_ = true;
        return LeaseRead{.key = key_};
    }
    return composeWrite(now, extraInUse);
}

LeaseAction TeamLeaseBook::send(const Pending &pending)
{
    isAwaiting_ = true;
    return LeaseWrite{.write = pending.write};
}

TeamLeaseRow TeamLeaseBook::rowWithoutExpired(TimePoint now) const
{
    TeamLeaseRow row;
    for (const auto &lease : row_.leases) {
        if (isOwn(lease)) {
            continue;
        }
        const auto &observation = observations_.at({lease.server, lease.agent});
        // The write requires the version that was read, so the lease is unchanged when it is reclaimed.
        if (now - observation.firstSeen < options_.reclaimAfter(lease.duration)) {
            row.leases.push_back(lease);
        }
    }
    return row;
}

std::optional<LeaseAction> TeamLeaseBook::composeWrite(TimePoint now, std::uint32_t extraInUse)
{
    auto row = rowWithoutExpired(now);
    const auto taken = row.total();
    const auto free = taken < remainder_ ? static_cast<std::uint32_t>(remainder_ - taken) : 0;
    const auto own = held_ ? held_->amount : 0;
    auto amount = std::min(wanted(extraInUse), free);
    if (amount > own) {
        // Half of what is free, so that the first agent that asks does not take everything.
        amount = std::min(amount, own + std::max((free - std::min(own, free)) / 2, 1U));
    }
    const bool isUseless =
        amount == own && held_ && now < held_->sentAt + options_.renewAfter && held_->rowTotal <= remainder_;
    if (isUseless || (amount == 0 && !held_)) {
        // Looks again later; the leases that were seen now may have expired by then.
        retryAt_ = now + options_.retryAfter;
        isRowKnown_ = false;
        demand_ = extraInUse;
        return std::nullopt;
    }
    if (amount > 0) {
        row.leases.push_back({.server = server_,
                              .agent = agent_,
                              .amount = amount,
                              .duration = options_.duration,
                              .sequence = ++sequence_});
    }
    if (held_) {
        // What is given back must not be used from here on: the write can take effect at any moment.
        held_->amount = std::min(held_->amount, amount);
    }
    demand_ = extraInUse;
    pending_ = Pending{.write = {.key = key_, .expectedVersion = rowVersion_, .value = row.toString()},
                       .held = {.amount = amount,
                                .sequence = sequence_,
                                .sentAt = now,
                                .end = now + options_.duration,
                                .rowTotal = row.total()}};
    return send(*pending_);
}

void TeamLeaseBook::learnRow(const TableReply &reply, TimePoint now)
{
    rowVersion_ = reply.row ? reply.row->version : RowVersion();
    const auto row = reply.row ? TeamLeaseRow::fromString(reply.row->value) : TeamLeaseRow();
    isRowKnown_ = row.has_value();
    if (!row) {
        // Nothing is known about the leases of others, so nothing may be taken.
        retryAt_ = now + options_.retryAfter;
        return;
    }
    row_ = *row;
    std::map<Holder, Observation> observations;
    const TeamLease *own = nullptr;
    for (const auto &lease : row_.leases) {
        const Holder holder(lease.server, lease.agent);
        const auto known = observations_.find(holder);
        const bool isUnchanged = known != observations_.end() && known->second.sequence == lease.sequence;
        observations[holder] = isUnchanged ? known->second : Observation{.sequence = lease.sequence, .firstSeen = now};
        if (isOwn(lease)) {
            own = &lease;
        }
    }
    observations_ = std::move(observations);
    if (pending_) {
        const bool hasTakenEffect = own ? own->sequence == pending_->held.sequence : pending_->held.amount == 0;
        if (hasTakenEffect) {
            held_ = pending_->held;
        }
        // The row has another version than the write requires, so the write can no longer take effect.
        pending_.reset();
    }
    if (!own) {
        held_.reset();
    }
}

void TeamLeaseBook::readFinished(const TableReply &reply, TimePoint now)
{
    HORNBEAMLANE_ASSERT(isAwaiting_);
    isAwaiting_ = false;
    if (reply.status == TableStatus::Ok || reply.status == TableStatus::NotFound) {
        learnRow(reply, now);
    } else {
        retryAt_ = now + options_.retryAfter;
    }
}

void TeamLeaseBook::writeFinished(const TableReply &reply, TimePoint now)
{
    HORNBEAMLANE_ASSERT(isAwaiting_ && pending_);
    isAwaiting_ = false;
    switch (reply.status) {
    case TableStatus::Ok:
        rowVersion_ = reply.row ? reply.row->version : RowVersion();
        isRowKnown_ = reply.row.has_value();
        row_ = TeamLeaseRow::fromString(pending_->write.value).value_or(TeamLeaseRow());
        held_.reset();
        if (pending_->held.amount > 0) {
            held_ = pending_->held;
            observations_[{server_, agent_}] = {.sequence = held_->sequence, .firstSeen = now};
        }
        pending_.reset();
        break;
    case TableStatus::NotFound:
    case TableStatus::Conflict:
        isRowKnown_ = false;
        break;
    case TableStatus::Unavailable:
        // A refused repetition says nothing about the write whose reply was lost.
        if (!pending_->isUncertain) {
            pending_.reset();
        }
        retryAt_ = now + options_.retryAfter;
        break;
    case TableStatus::NoReply:
        pending_->isUncertain = true;
        retryAt_ = now + options_.repeatAfter;
        break;
    }
}

std::optional<TimePoint> TeamLeaseBook::nextTimer(std::uint32_t extraInUse) const
{
    if (isAwaiting_) {
        return std::nullopt;
    }
    if (pending_ || wanted(extraInUse) > (held_ ? held_->amount : 0) || (held_ && held_->rowTotal > remainder_)) {
        return retryAt_;
    }
    if (held_) {
        return std::max(retryAt_, held_->sentAt + options_.renewAfter);
    }
    return std::nullopt;
}

bool TeamLeaseBook::isIdle(TimePoint now) const
{
    return !isAwaiting_ && !pending_ && !held_ && demand_ == 0 && observations_.empty() && now >= retryAt_;
}

} // namespace hornbeamlane
