#include "hornbeamlane_membership/catalogue/CatalogueKeeper.h"

#include "hornbeamlane_catalogue/reading/CatalogueReader.h"
#include "hornbeamlane_membership/catalogue/CatalogueHead.h"

#include <algorithm>

namespace hornbeamlane {

namespace {

/** Two readers, so that one failure delays no version. */
constexpr std::size_t readersPerDataCentre = 2;

} // namespace

CatalogueKeeper::CatalogueKeeper(Options options, TimePoint start)
    : options_(std::move(options))
    , start_(start)
{
}

bool CatalogueKeeper::hasStartQuorum(const StartState &state, const Options &options)
{
    const bool isGraceOver = state.sinceStart >= options.startGrace;
    if (state.hasReadTable) {
        // The links may know a newer version than a reply that was under way for long.
        return isGraceOver || (state.listedEntries && state.linkedEntries >= *state.listedEntries);
    }
    if (!state.listedEntries) {
        // Entries connect to every agent of their region, so an agent without a host list has all links after a while.
        return options.role == ProcessRole::Agent && isGraceOver && state.linkedEntries > 0
            && state.answers >= state.linkedEntries;
    }
    // The process itself holds nothing and does not count towards the majority, which then meets every other one.
    const std::size_t entries = *state.listedEntries + (options.role == ProcessRole::Entry ? 1 : 0);
    return state.answers > 0 && (state.answers > entries / 2 || state.answers >= *state.listedEntries);
}

void CatalogueKeeper::updateHosts(const HostView &hosts)
{
    hosts_ = hosts;
    hasHosts_ = true;
}

CatalogueKeeper::Peer *CatalogueKeeper::noteHeard(const std::string &peer, TimePoint now)
{
    const auto match = peers_.find(peer);
    if (match == peers_.end()) {
        return nullptr;
    }
    match->second.heard = now;
    return &match->second;
}

bool CatalogueKeeper::isEntryHere(const Peer &peer) const
{
    return peer.role == ProcessRole::Entry && peer.dataCentre == options_.dataCentre;
}

KeeperActions CatalogueKeeper::linkUp(const std::string &peer, const Hello &hello, TimePoint now)
{
    KeeperActions actions;
    auto &state = peers_[peer];
    state = {.role = hello.role, .dataCentre = hello.dataCentre, .version = hello.catalogueVersion, .heard = now};
    repair(peer, state, now, actions);
    if (!isReady() && isEntryHere(state)) {
        actions.emplace_back(SendToPeer{.peer = peer, .message = CatalogueRequest{.knownVersion = candidate_.version}});
    }
    return actions;
}

void CatalogueKeeper::linkDown(const std::string &peer)
{
    peers_.erase(peer);
}

bool CatalogueKeeper::offer(CatalogueVersion version, const std::string &document)
{
    const bool isCandidate = options_.isNewer(candidate_.version, version);
    const bool isSettled = version == settledVersion_ && settled_.version != version;
    if (!isCandidate && !isSettled) {
        return false;
    }
    DocumentFaults faults;
    auto catalogue = readCatalogue(document, faults);
    if (!catalogue) {
        unreadableVersion_ = std::max(unreadableVersion_, version);
        return false;
    }
    const Held held{.version = version,
                    .document = document,
                    .catalogue = std::make_shared<const Catalogue>(std::move(*catalogue))};
    if (isSettled) {
        settled_ = held;
    }
    if (isCandidate) {
        candidate_ = held;
    }
    return isCandidate;
}

bool CatalogueKeeper::mayStart(TimePoint now) const
{
    if (!candidate_.catalogue) {
        return false;
    }
    StartState state{.hasReadTable = hasReadTable_, .sinceStart = now - start_};
    if (hasHosts_) {
        state.listedEntries = 0;
        for (const auto &host : hosts_.entries(options_.dataCentre)) {
            *state.listedEntries += host.name.name() != options_.name ? 1 : 0;
        }
    }
    for (const auto &[name, peer] : peers_) {
        if (!isEntryHere(peer)) {
            continue;
        }
        ++state.linkedEntries;
        state.answers += peer.hasAnswered ? 1 : 0;
        if (options_.waitsForClaimedVersion() && peer.version > candidate_.version) {
            return false;
        }
    }
    return options_.mayStart(state, options_);
}

void CatalogueKeeper::advance(bool isNewHere, TimePoint now, KeeperActions &actions)
{
    if (candidate_.version == inForce_.version || (!isReady() && !mayStart(now))) {
        return;
    }
    inForce_ = candidate_;
    inForceSince_ = now;
    if (inForce_.version == settledVersion_) {
        settled_ = inForce_;
    }
    actions.emplace_back(PutInForce{.version = inForce_.version, .catalogue = inForce_.catalogue});
    for (auto &[name, peer] : peers_) {
        if (isEntryHere(peer)) {
            actions.emplace_back(SendToPeer{
                .peer = name, .message = CatalogueConfirm{.version = inForce_.version, .processes = {options_.name}}});
        }
        if (isNewHere && options_.forwards() && peer.version < inForce_.version) {
            sendUpdate(name, peer, now, actions);
        }
    }
}

void CatalogueKeeper::sendUpdate(const std::string &name, Peer &peer, TimePoint now, KeeperActions &actions)
{
    peer.repaired = now;
    const auto send = [&](const Held &held) {
        actions.emplace_back(SendToPeer{.peer = name,
                                        .message = CatalogueUpdate{.version = held.version,
                                                                   .settledVersion = settledVersion_,
                                                                   .document = held.document}});
    };
    send(inForce_);
    // The newest version goes first, so that the receiver never puts the settled one in force on the way.
    if (settled_.catalogue && settled_.version != inForce_.version && peer.version < settled_.version) {
        send(settled_);
    }
}

void CatalogueKeeper::repair(const std::string &name, Peer &peer, TimePoint now, KeeperActions &actions)
{
    if (!options_.repairs() || (peer.repaired && now - *peer.repaired < options_.repairInterval)) {
        return;
    }
    if (isReady() && peer.version < inForce_.version) {
        // Every entry sees the lagging heartbeats of an agent that is just being told by a reader.
        if (now - inForceSince_ < options_.repairInterval) {
            return;
        }
        sendUpdate(name, peer, now, actions);
    } else if (isReady() && peer.version > inForce_.version) {
        peer.repaired = now;
        actions.emplace_back(SendToPeer{.peer = name, .message = CatalogueRequest{.knownVersion = inForce_.version}});
    }
}

KeeperActions CatalogueKeeper::onUpdate(const std::string &peer, const CatalogueUpdate &update, TimePoint now)
{
    KeeperActions actions;
    auto *state = noteHeard(peer, now);
    if (state == nullptr) {
        return actions;
    }
    state->hasAnswered = true;
    // The settled document follows its successor and is older than what the peer has in force.
    state->version = std::max(state->version, update.version);
    const bool isNewHere = state->dataCentre != options_.dataCentre;
    setSettledVersion(update.settledVersion);
    offer(update.version, update.document);
    advance(isNewHere, now, actions);
    return actions;
}

KeeperActions CatalogueKeeper::onRequest(const std::string &peer, const CatalogueRequest &request, TimePoint now)
{
    KeeperActions actions;
    auto *state = noteHeard(peer, now);
    // A process that is itself starting has nothing to vouch for.
    if (state == nullptr || !isReady()) {
        return actions;
    }
    if (request.knownVersion < inForce_.version) {
        state->version = request.knownVersion;
        sendUpdate(peer, *state, now, actions);
    } else {
        actions.emplace_back(SendToPeer{
            .peer = peer, .message = CatalogueConfirm{.version = inForce_.version, .processes = {options_.name}}});
    }
    return actions;
}

KeeperActions CatalogueKeeper::onConfirm(const std::string &peer, const CatalogueConfirm &confirm, TimePoint now)
{
    KeeperActions actions;
    auto *state = noteHeard(peer, now);
    if (state != nullptr
        && std::find(confirm.processes.begin(), confirm.processes.end(), peer) != confirm.processes.end()) {
        state->hasAnswered = true;
        state->version = std::max(state->version, confirm.version);
        advance(false, now, actions);
    }
    return actions;
}

KeeperActions CatalogueKeeper::onHeartbeat(const std::string &peer, const Heartbeat &heartbeat, TimePoint now)
{
    KeeperActions actions;
    if (auto *state = noteHeard(peer, now)) {
        // Taken as it is: a heartbeat that overtook a confirmation costs one repeated update at most.
        state->version = heartbeat.catalogueVersion;
        repair(peer, *state, now, actions);
    }
    return actions;
}

void CatalogueKeeper::readRow(const std::string &key, TimePoint now, KeeperActions &actions)
{
    const auto pending = pendingReads_.find(key);
    if (pending != pendingReads_.end() && now - pending->second < options_.requestTimeout) {
        return;
    }
    pendingReads_[key] = now;
    actions.emplace_back(ReadRow{.key = key});
}

KeeperActions CatalogueKeeper::onRow(const std::string &key, const TableReply &reply, TimePoint now)
{
    KeeperActions actions;
    pendingReads_.erase(key);
    if (reply.status != TableStatus::Ok || !reply.row) {
        return actions;
    }
    if (key == catalogueHeadKey) {
        const auto head = CatalogueHead::fromRowValue(reply.row->value);
        if (head && options_.isNewer(candidate_.version, head->version())) {
            readRow(catalogueRowKey(head->version()), now, actions);
        } else if (head) {
            // Also if the peers know a newer version than this reply, which was then under way for long.
            hasReadTable_ = true;
            advance(true, now, actions);
        }
        return actions;
    }
    if (const auto version = catalogueVersionOfKey(key)) {
        hasReadTable_ = offer(*version, reply.row->value) || hasReadTable_;
        advance(true, now, actions);
    }
    return actions;
}

KeeperActions CatalogueKeeper::tick(TimePoint now)
{
    KeeperActions actions;
    advance(true, now, actions);
    if (lastPoll_ && now - *lastPoll_ < options_.pollInterval) {
        return actions;
    }
    lastPoll_ = now;
    if (options_.hasTable && (!isReady() || isReader(now))) {
        readRow(catalogueHeadKey, now, actions);
    }
    if (options_.hasTable && isReady() && settledVersion_ != settled_.version && settledVersion_ < inForce_.version) {
        readRow(catalogueRowKey(settledVersion_), now, actions);
    }
    if (!isReady()) {
        for (const auto &[name, peer] : peers_) {
            // Asked again although it has answered: the answer may have been older than what it has now.
            if (isEntryHere(peer)) {
                actions.emplace_back(
                    SendToPeer{.peer = name, .message = CatalogueRequest{.knownVersion = candidate_.version}});
            }
        }
    }
    return actions;
}

void CatalogueKeeper::setSettledVersion(CatalogueVersion version)
{
    if (version <= settledVersion_) {
        return;
    }
    settledVersion_ = version;
    if (inForce_.version == version) {
        settled_ = inForce_;
    }
}

bool CatalogueKeeper::isReader(TimePoint now) const
{
    if (options_.role != ProcessRole::Entry || !options_.hasTable) {
        return false;
    }
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    for (const auto &host : hosts_.entries(options_.dataCentre)) {
        const auto peer = peers_.find(host.name.name());
        const bool isHeard = host.name.name() == options_.name
            || (peer != peers_.end() && now - peer->second.heard < options_.silenceLimit);
        if (host.state == HostState::Live && (isHeard || !options_.replacesSilentReader())) {
            ranked.emplace_back(rendezvousWeight("catalogue-reader/" + options_.dataCentre.name(), host.name.name()),
                                host.name.name());
        }
    }
    std::sort(ranked.rbegin(), ranked.rend());
    ranked.resize(std::min(ranked.size(), readersPerDataCentre));
    // Without any known reader the process reads for itself.
    return ranked.empty()
        || std::any_of(ranked.begin(), ranked.end(), [this](const auto &item) { return item.second == options_.name; });
}

} // namespace hornbeamlane
