#include "hornbeamlane_routing/quarantine/CrashQuarantine.h"

#include <algorithm>

namespace hornbeamlane {

namespace {

/** Evidence kept of one request; more adds nothing once the request is quarantined. */
constexpr std::size_t mostLostServers = 8;

/** Records in one update, which keeps its frame well below 1 MiB. */
constexpr std::size_t mostRecordsInUpdate = 512;

template <class T>
bool contains(const std::vector<T> &values, const T &value)
{
    return std::find(values.begin(), values.end(), value) != values.end();
}

template <class T>
bool containsAll(const std::vector<T> &values, const std::vector<T> &wanted)
{
    return std::all_of(wanted.begin(), wanted.end(), [&values](const T &value) { return contains(values, value); });
}

template <class T>
void eraseOne(std::vector<T> &values, const T &value)
{
    const auto position = std::find(values.begin(), values.end(), value);
    if (position != values.end()) {
        values.erase(position);
    }
}

} // namespace

CrashQuarantine::CrashQuarantine(Incarnation self)
    : CrashQuarantine(self, Options{})
{
}

CrashQuarantine::CrashQuarantine(Incarnation self, Options options)
    : self_(self)
    , options_(std::move(options))
{
    HORNBEAMLANE_ASSERT(options_.maxRecords > 0 && options_.lossesToQuarantine > 0);
    if (!options_.isQuarantined) {
        options_.isQuarantined = [this](std::size_t lost) { return lost >= options_.lossesToQuarantine; };
    }
    if (!options_.mayShareServer) {
        options_.mayShareServer = [](std::size_t otherSuspects) { return otherSuspects == 0; };
    }
    if (!options_.mayRunBesideCopies) {
        options_.mayRunBesideCopies = [](std::size_t copies) { return copies == 0; };
    }
    if (!options_.mayRunUnconfirmed) {
        options_.mayRunUnconfirmed = [this](Duration waited) { return waited >= options_.confirmationWait; };
    }
    if (!options_.fingerprint) {
        options_.fingerprint = [](const TeamId &team, std::string_view target, std::string_view body) {
            // Lengths separate the parts: a team's name must not be able to continue into the target.
            std::string text = std::to_string(team.name().size()) + ' ' + std::to_string(target.size()) + ' ';
            text += team.name();
            text += target;
            text += body;
            return hash128(text);
        };
    }
    if (!options_.executionOfRefused) {
        // A lost server may have finished the request, or may have sent its effect on, before it ended.
        options_.executionOfRefused = [](std::size_t lost) {
            return lost > 0 ? ExecutionState::Unknown : ExecutionState::NotRun;
        };
    }
}

void CrashQuarantine::setPeers(const std::vector<Incarnation> &peers)
{
    peers_ = peers;
    for (auto &[fingerprint, record] : records_) {
        std::erase_if(record.peers, [&peers](const PeerState &state) { return !contains(peers, state.peer); });
    }
}

Hash128 CrashQuarantine::fingerprint(const TeamId &team, std::string_view target, std::string_view canonicalBody) const
{
    return options_.fingerprint(team, target, canonicalBody);
}

CrashQuarantine::Verdict CrashQuarantine::mayDispatch(const Hash128 &fingerprint, const ServerId &server,
                                                      Incarnation serverIncarnation, TimePoint now)
{
    auto *record = findSuspect(fingerprint, now);
    if (record == nullptr) {
        return Verdict::Allowed;
    }
    if (isRefused(*record, now)) {
        return Verdict::Quarantined;
    }
    if (!options_.mayRunBesideCopies(copiesInFlight(fingerprint))) {
        return Verdict::Wait;
    }
    if (record->owner != self_) {
        if (record->owner != Incarnation() && now - record->ownerSeenAt < options_.ownerWait) {
            return Verdict::Wait;
        }
        record->owner = self_;
        record->isOwn = true;
        record->reservedByOwner = Incarnation();
        changed(*record, now);
    }
    if (record->reserved != Incarnation() && record->reserved != serverIncarnation) {
        if (now - record->heldSince < options_.ownerWait) {
            return Verdict::UseAnotherServer;
        }
        release(*record, now);
    }
    if (contains(record->lostOn, server) || !options_.mayShareServer(otherSuspects(*record, serverIncarnation, now))) {
        if (record->reserved != Incarnation()) {
            release(*record, now);
        }
        return Verdict::UseAnotherServer;
    }
    if (record->reserved == Incarnation()) {
        record->reserved = serverIncarnation;
        changed(*record, now);
    }
    const bool mayRun = hasConfirmation(*record) || options_.mayRunUnconfirmed(now - record->heldSince);
    return mayRun ? Verdict::Allowed : Verdict::Wait;
}

std::optional<Incarnation> CrashQuarantine::reservedServer(const Hash128 &fingerprint) const
{
    const auto position = records_.find(fingerprint);
    if (position == records_.end() || position->second.reserved == Incarnation()) {
        return std::nullopt;
    }
    return position->second.reserved;
}

void CrashQuarantine::releaseReservation(const Hash128 &fingerprint, TimePoint now)
{
    auto *record = findSuspect(fingerprint, now);
    if (record != nullptr && record->reserved != Incarnation() && copiesInFlight(fingerprint) == 0) {
        release(*record, now);
    }
}

void CrashQuarantine::onDispatched(const Hash128 &fingerprint, const ServerId &server, Incarnation serverIncarnation,
                                   TimePoint now)
{
    auto &work = servers_[serverIncarnation];
    work.id = server;
    work.fingerprints.push_back(fingerprint);
    inFlight_[fingerprint].push_back(serverIncarnation);
    if (auto *record = findSuspect(fingerprint, now)) {
        record->isOwn = true;
    }
}

void CrashQuarantine::onFinished(const Hash128 &fingerprint, Incarnation serverIncarnation, bool isComplete,
                                 TimePoint now)
{
    const auto work = servers_.find(serverIncarnation);
    if (work == servers_.end() || !contains(work->second.fingerprints, fingerprint)) {
        return;
    }
    eraseOne(work->second.fingerprints, fingerprint);
    if (work->second.fingerprints.empty()) {
        servers_.erase(work);
    }
    auto &copies = inFlight_[fingerprint];
    eraseOne(copies, serverIncarnation);
    if (copies.empty()) {
        inFlight_.erase(fingerprint);
    }
    auto *record = findSuspect(fingerprint, now);
    if (record == nullptr || isRefused(*record, now)) {
        return;
    }
    if (isComplete) {
        record->isCleared = true;
        record->isOwn = true;
        record->expiresAt = now + options_.clearedExpiry;
    }
    release(*record, now);
}

void CrashQuarantine::onServerLost(Incarnation serverIncarnation, TimePoint now)
{
    loseWork(serverIncarnation, serverIncarnation, now);
}

void CrashQuarantine::onEngineLost(Incarnation agent, std::uint64_t loss, TimePoint now)
{
    const auto name = std::to_string(agent.value()) + "/" + std::to_string(loss);
    loseWork(agent, Incarnation(hash64(name)), now);
}

void CrashQuarantine::loseWork(Incarnation serverIncarnation, Incarnation lossName, TimePoint now)
{
    const auto position = servers_.find(serverIncarnation);
    if (position == servers_.end()) {
        return;
    }
    const auto work = std::move(position->second);
    servers_.erase(position);
    for (const auto &fingerprint : work.fingerprints) {
        auto &copies = inFlight_[fingerprint];
        eraseOne(copies, serverIncarnation);
        if (copies.empty()) {
            inFlight_.erase(fingerprint);
        }
        addEvidence(fingerprint, lossName, work.id, now);
    }
}

bool CrashQuarantine::isQuarantined(const Hash128 &fingerprint, TimePoint now) const
{
    const auto position = records_.find(fingerprint);
    return position != records_.end() && isRefused(position->second, now);
}

Refusal CrashQuarantine::refusal(const Hash128 &fingerprint, TimePoint now) const
{
    const auto position = records_.find(fingerprint);
    const std::size_t lost = position == records_.end() ? 0 : position->second.lostServers.size();
    Refusal refusal{.reason = RefusalReason::Quarantined,
                    .execution = options_.executionOfRefused(lost),
                    .detail = std::to_string(lost) + " servers were lost while they ran this request"};
    if (position != records_.end()) {
        refusal.retryAfter = std::chrono::duration_cast<std::chrono::milliseconds>(position->second.expiresAt - now);
    }
    return refusal;
}

std::optional<QuarantineUpdate> CrashQuarantine::updateFor(Incarnation peer, TimePoint now)
{
    std::erase_if(records_, [now](const auto &item) { return item.second.expiresAt <= now; });
    QuarantineUpdate update;
    for (auto &[fingerprint, record] : records_) {
        if (update.records.size() >= mostRecordsInUpdate) {
            break;
        }
        auto &state = peerState(record, peer);
        if (isDue(record, state, now)) {
            state.sentAt = now;
            update.records.push_back(toMessage(record, false, now));
        }
        if (state.needsReply) {
            update.records.push_back(toMessage(record, true, now));
            if (state.declined != Incarnation()) {
                update.records.back().reservedServer = state.declined;
                update.records.back().isReservationDeclined = true;
            }
        }
        state.needsReply = false;
    }
    if (update.records.empty()) {
        return std::nullopt;
    }
    return update;
}

void CrashQuarantine::merge(const QuarantineUpdate &update, Incarnation from, TimePoint now)
{
    for (const auto &received : update.records) {
        if (received.expiresIn.count() > 0) {
            mergeRecord(received, from, now);
        }
    }
}

std::size_t CrashQuarantine::recordCount() const
{
    return records_.size();
}

CrashQuarantine::Record *CrashQuarantine::findSuspect(const Hash128 &fingerprint, TimePoint now)
{
    const auto position = records_.find(fingerprint);
    if (position == records_.end() || position->second.isCleared || position->second.expiresAt <= now) {
        return nullptr;
    }
    return &position->second;
}

CrashQuarantine::Record &CrashQuarantine::findOrAdd(const Hash128 &fingerprint, TimePoint now)
{
    const auto position = records_.find(fingerprint);
    if (position != records_.end()) {
        if (position->second.expiresAt <= now) {
            position->second = Record{.fingerprint = fingerprint};
        }
        return position->second;
    }
    if (records_.size() >= options_.maxRecords) {
        makeRoom(now);
    }
    return records_.try_emplace(fingerprint, Record{.fingerprint = fingerprint}).first->second;
}

void CrashQuarantine::makeRoom(TimePoint now)
{
    std::erase_if(records_, [now](const auto &item) { return item.second.expiresAt <= now; });
    if (records_.size() < options_.maxRecords) {
        return;
    }
    // A quarantined request is known to cost servers; a suspect most likely is a neighbour.
    const auto victim = std::min_element(records_.begin(), records_.end(), [this, now](const auto &a, const auto &b) {
        return std::pair(isRefused(a.second, now), a.second.expiresAt)
            < std::pair(isRefused(b.second, now), b.second.expiresAt);
    });
    records_.erase(victim);
}

void CrashQuarantine::addEvidence(const Hash128 &fingerprint, Incarnation lostServer, const ServerId &server,
                                  TimePoint now)
{
    auto &record = findOrAdd(fingerprint, now);
    if (record.isCleared) {
        record = Record{.fingerprint = fingerprint};
    }
    if (!contains(record.lostServers, lostServer) && record.lostServers.size() < mostLostServers) {
        record.lostServers.push_back(lostServer);
    }
    if (!contains(record.lostOn, server) && record.lostOn.size() < mostLostServers) {
        record.lostOn.push_back(server);
    }
    if (record.owner == Incarnation()) {
        record.owner = self_;
    }
    record.isOwn = true;
    record.reserved = Incarnation();
    record.expiresAt = now + options_.expiry;
    changed(record, now);
}

void CrashQuarantine::mergeRecord(const QuarantineRecord &received, Incarnation from, TimePoint now)
{
    auto &record = findOrAdd(received.fingerprint, now);
    mergeEvidence(record, received, now);
    // Two entries that lost the same server both claim the request; the lower incarnation keeps it. An owner that has
    // not run it for long, because its caller is gone, yields to any claim.
    const bool yieldsUnused = record.owner == self_ && received.owner == from && isUnused(record, now);
    const bool yields = record.owner == Incarnation() || received.owner < record.owner || yieldsUnused;
    if (received.owner != Incarnation() && received.owner != record.owner && yields) {
        record.owner = received.owner;
        record.ownerSeenAt = now;
        record.reserved = Incarnation();
    }
    if (record.owner == from) {
        record.ownerSeenAt = now;
        record.reservedByOwner = received.reservedServer;
        resolveReservation(record, now);
    }
    confirmIfEqual(record, received, from, now);
    if (!received.isReply) {
        auto &state = peerState(record, from);
        state.needsReply = true;
        state.declined = mustDecline(received, from, now) ? received.reservedServer : Incarnation();
    }
}

void CrashQuarantine::mergeEvidence(Record &record, const QuarantineRecord &received, TimePoint now)
{
    const auto lifetime = std::min<Duration>(received.expiresIn, options_.expiry);
    if (received.isCleared) {
        if (containsAll(received.lostServers, record.lostServers)) {
            record.isCleared = true;
            record.lostServers = received.lostServers;
            record.reserved = Incarnation();
            record.expiresAt = now + std::min(lifetime, options_.clearedExpiry);
        }
        return;
    }
    if (record.isCleared) {
        if (containsAll(record.lostServers, received.lostServers)) {
            return;
        }
        record = Record{.fingerprint = record.fingerprint};
    }
    for (const auto lost : received.lostServers) {
        if (!contains(record.lostServers, lost) && record.lostServers.size() < mostLostServers) {
            record.lostServers.push_back(lost);
        }
    }
    record.expiresAt = std::max(record.expiresAt, now + lifetime);
}

void CrashQuarantine::confirmIfEqual(Record &record, const QuarantineRecord &received, Incarnation from, TimePoint now)
{
    if (received.isReservationDeclined) {
        if (record.owner == self_ && received.reservedServer == record.reserved
            && copiesInFlight(record.fingerprint) == 0) {
            record.declined = record.reserved;
            release(record, now);
        }
        return;
    }
    auto &state = peerState(record, from);
    const bool hasEvidence =
        received.isCleared == record.isCleared && containsAll(received.lostServers, record.lostServers);
    const bool hasReservation =
        received.owner == record.owner && (record.owner != self_ || received.reservedServer == record.reserved);
    if (hasEvidence && hasReservation) {
        state.hasConfirmed = true;
    } else if (hasEvidence && received.isReply && received.reservedServer != Incarnation()) {
        // The peer runs a copy of its own; the outcome of that copy decides.
        record.heldSince = now;
    }
}

bool CrashQuarantine::mustDecline(const QuarantineRecord &received, Incarnation from, TimePoint now)
{
    if (received.owner != from || received.reservedServer == Incarnation() || received.isCleared) {
        return false;
    }
    // Suspects that run here for a caller that resent may be unknown to the peer, as may a reservation just made.
    const auto work = servers_.find(received.reservedServer);
    const bool runsHere = work != servers_.end()
        && std::any_of(work->second.fingerprints.begin(), work->second.fingerprints.end(), [&](const auto &other) {
                              return other != received.fingerprint && findSuspect(other, now) != nullptr;
                          });
    return runsHere || (self_ < from && std::any_of(records_.begin(), records_.end(), [&](const auto &item) {
                            const auto &other = item.second;
                            return item.first != received.fingerprint && other.owner == self_ && !other.isCleared
                                && other.reserved == received.reservedServer && !isUnused(other, now);
                        }));
}

void CrashQuarantine::resolveReservation(const Record &other, TimePoint now)
{
    if (other.reservedByOwner == Incarnation()) {
        return;
    }
    for (auto &[fingerprint, record] : records_) {
        const bool collides = record.owner == self_ && record.reserved == other.reservedByOwner;
        if (collides && other.owner < self_ && copiesInFlight(fingerprint) == 0) {
            release(record, now);
        }
    }
}

bool CrashQuarantine::isUnused(const Record &record, TimePoint now) const
{
    return copiesInFlight(record.fingerprint) == 0 && now - record.heldSince >= options_.ownerWait;
}

void CrashQuarantine::changed(Record &record, TimePoint now)
{
    record.heldSince = now;
    for (auto &state : record.peers) {
        state.hasConfirmed = false;
        state.sentAt.reset();
    }
}

void CrashQuarantine::release(Record &record, TimePoint now)
{
    record.reserved = Incarnation();
    changed(record, now);
}

bool CrashQuarantine::isDue(const Record &record, const PeerState &peer, TimePoint now) const
{
    // Evidence of others is passed on only once it refuses requests, which keeps suspects from flooding all links.
    if (!record.isOwn && !isRefused(record, now)) {
        return false;
    }
    if (!peer.sentAt) {
        return !peer.hasConfirmed;
    }
    const bool isRunning = record.owner == self_ && copiesInFlight(record.fingerprint) > 0;
    if (peer.hasConfirmed) {
        return isRunning && now - *peer.sentAt >= options_.runningInterval;
    }
    return now - *peer.sentAt >= options_.resendInterval;
}

bool CrashQuarantine::isRefused(const Record &record, TimePoint now) const
{
    return !record.isCleared && record.expiresAt > now && options_.isQuarantined(record.lostServers.size());
}

QuarantineRecord CrashQuarantine::toMessage(const Record &record, bool isReply, TimePoint now) const
{
    const auto copy = serverOfCopy(record.fingerprint);
    // An owner whose caller is gone makes no claim, so that an entry to which the caller resent can take over.
    const bool hasClaim = record.owner != self_ || !isUnused(record, now);
    const auto reserved = record.owner == self_ ? record.reserved : record.reservedByOwner;
    return QuarantineRecord{.fingerprint = record.fingerprint,
                            .lostServers = record.lostServers,
                            .expiresIn = std::chrono::ceil<std::chrono::milliseconds>(record.expiresAt - now),
                            .owner = hasClaim ? record.owner : Incarnation(),
                            .reservedServer = copy != Incarnation() ? copy
                                : hasClaim                          ? reserved
                                                                    : Incarnation(),
                            .isCleared = record.isCleared,
                            .isReply = isReply};
}

CrashQuarantine::PeerState &CrashQuarantine::peerState(Record &record, Incarnation peer)
{
    for (auto &state : record.peers) {
        if (state.peer == peer) {
            return state;
        }
    }
    return record.peers.emplace_back(PeerState{.peer = peer});
}

std::size_t CrashQuarantine::copiesInFlight(const Hash128 &fingerprint) const
{
    const auto position = inFlight_.find(fingerprint);
    return position == inFlight_.end() ? 0 : position->second.size();
}

Incarnation CrashQuarantine::serverOfCopy(const Hash128 &fingerprint) const
{
    const auto position = inFlight_.find(fingerprint);
    return position == inFlight_.end() ? Incarnation() : position->second.front();
}

std::size_t CrashQuarantine::otherSuspects(const Record &record, Incarnation server, TimePoint now)
{
    std::size_t count = 0;
    const auto work = servers_.find(server);
    if (work != servers_.end()) {
        for (const auto &fingerprint : work->second.fingerprints) {
            count += fingerprint != record.fingerprint && findSuspect(fingerprint, now) != nullptr ? 1 : 0;
        }
    }
    for (const auto &[fingerprint, other] : records_) {
        if (fingerprint == record.fingerprint || other.isCleared || isRefused(other, now)) {
            continue;
        }
        // Reservations end without a message when their entry dies or its caller is gone.
        const bool isOthers =
            other.owner != self_ && other.reservedByOwner == server && now - other.ownerSeenAt < options_.ownerWait;
        const bool isOurs = other.owner == self_ && other.reserved == server && copiesInFlight(fingerprint) == 0
            && now - other.heldSince < options_.ownerWait;
        count += isOthers || isOurs ? 1 : 0;
    }
    return count;
}

bool CrashQuarantine::hasConfirmation(const Record &record) const
{
    return std::all_of(peers_.begin(), peers_.end(), [&record](Incarnation peer) {
        return std::any_of(record.peers.begin(), record.peers.end(),
                           [peer](const PeerState &state) { return state.peer == peer && state.hasConfirmed; });
    });
}

} // namespace hornbeamlane
