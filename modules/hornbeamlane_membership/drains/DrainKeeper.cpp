#include "hornbeamlane_membership/drains/DrainKeeper.h"

namespace hornbeamlane {

DrainKeeper::DrainKeeper(Options options)
    : options_(std::move(options))
{
}

KeeperActions DrainKeeper::announce(const std::string &except, TimePoint now)
{
    KeeperActions actions;
    // A receiver takes any set for the knowledge of a ready process.
    if (!isReady_ || !options_.gossips()) {
        return actions;
    }
    for (auto &[name, peer] : peers_) {
        if (name != except) {
            peer.repaired = now;
            actions.emplace_back(SendToPeer{.peer = name, .message = set_.toUpdate()});
        }
    }
    return actions;
}

KeeperActions DrainKeeper::addLocal(const DrainRecord &record, TimePoint now)
{
    local_.add(record);
    set_.add(record);
    lastPoll_.reset();
    return announce({}, now);
}

KeeperActions DrainKeeper::removeLocal(const DrainId &id, TimePoint now)
{
    local_.remove(id);
    set_.remove(id);
    lastPoll_.reset();
    return announce({}, now);
}

KeeperActions DrainKeeper::linkUp(const std::string &peer, TimePoint now)
{
    peers_[peer] = {};
    return onRequest(peer, now);
}

void DrainKeeper::linkDown(const std::string &peer)
{
    peers_.erase(peer);
}

KeeperActions DrainKeeper::onRequest(const std::string &peer, TimePoint now)
{
    const auto match = peers_.find(peer);
    // An empty set of a process that has not read anything would make the other one ready without any knowledge.
    if (match == peers_.end() || !isReady_ || !options_.gossips()) {
        return {};
    }
    match->second.repaired = now;
    return {SendToPeer{.peer = peer, .message = set_.toUpdate()}};
}

KeeperActions DrainKeeper::onUpdate(const std::string &peer, const DrainUpdate &update, TimePoint now)
{
    isReady_ = true;
    return options_.merge(set_, DrainSet::fromUpdate(update)) ? announce(peer, now) : KeeperActions();
}

KeeperActions DrainKeeper::onHeartbeat(const std::string &peer, const Heartbeat &heartbeat, TimePoint now)
{
    const auto match = peers_.find(peer);
    if (match == peers_.end() || heartbeat.drainVersion == set_.digest()) {
        return {};
    }
    if (match->second.repaired && now - *match->second.repaired < options_.repairInterval) {
        return {};
    }
    return onRequest(peer, now);
}

KeeperActions DrainKeeper::readRow(TimePoint now)
{
    lastPoll_ = now;
    pendingSince_ = now;
    return {ReadRow{.key = drainsRowKey}};
}

KeeperActions DrainKeeper::onRow(const TableReply &reply, TimePoint now)
{
    pendingSince_.reset();
    std::optional<DrainSet> row;
    RowVersion version;
    if (reply.status == TableStatus::NotFound) {
        row.emplace();
    } else if (reply.status == TableStatus::Ok && reply.row) {
        row = DrainSet::fromRowValue(reply.row->value);
        version = reply.row->version;
    }
    // A row in another form may hold drains of a newer release; it is neither used nor overwritten.
    if (!row) {
        return {};
    }
    isReady_ = true;
    stored_ = *row;
    KeeperActions actions;
    if (options_.merge(set_, *row)) {
        actions = announce({}, now);
    }
    if (!stored_.contains(set_)) {
        pendingSince_ = now;
        writing_ = set_;
        actions.emplace_back(
            WriteRow{.write = {.key = drainsRowKey, .expectedVersion = version, .value = set_.toRowValue()}});
    }
    return actions;
}

KeeperActions DrainKeeper::onWritten(const TableReply &reply, TimePoint now)
{
    pendingSince_.reset();
    if (reply.status == TableStatus::Ok || !options_.retriesWrite()) {
        stored_ = writing_;
        return {};
    }
    if (reply.status == TableStatus::Conflict) {
        return readRow(now);
    }
    // Unknown or unavailable: the next poll reads the row and writes again if the union is not in it.
    return {};
}

KeeperActions DrainKeeper::tick(bool isReader, TimePoint now)
{
    const bool isPending = pendingSince_ && now - *pendingSince_ < options_.requestTimeout;
    const bool isTooSoon = lastPoll_ && now - *lastPoll_ < options_.pollInterval;
    if (!options_.hasTable || isPending || isTooSoon || (!isReader && isStored() && isReady_)) {
        return {};
    }
    return readRow(now);
}

bool DrainKeeper::isStored() const
{
    return stored_.contains(local_);
}

bool DrainKeeper::mayStartWork(const DataCentreId &dataCentre, const HostId &host, const ServerId &server) const
{
    return isReady_ && (!options_.refusesDrained() || !set_.isDrained(dataCentre, host, server));
}

} // namespace hornbeamlane
