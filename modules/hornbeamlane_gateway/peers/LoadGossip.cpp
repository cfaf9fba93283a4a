#include "hornbeamlane_gateway/peers/LoadGossip.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hornbeamlane {

namespace {

/** An entry that was heard within this time counts in the division of shared bounds, also when it is cut off. */
constexpr std::chrono::seconds entryMemory{60};

} // namespace

LoadGossip::LoadGossip(Options options)
    : options_(std::move(options))
    , random_(options_.seed)
{
}

void LoadGossip::addPeer(const std::string &address, TimePoint now)
{
    if (address != options_.address && !peers_.contains(address)) {
        peers_[address].addedAt = now;
        hasChanged_ = true;
        silentToldAt_ = {};
    }
}

void LoadGossip::markChanged()
{
    hasChanged_ = true;
}

std::vector<const LoadMessage *> LoadGossip::onMessage(const LoadMessage &message, const std::string &address,
                                                       TimePoint now)
{
    std::vector<const LoadMessage *> accepted;
    addPeer(address, now);
    noteHeard(address, now);
    const auto own = loads_.take(message, {.address = address, .heardAt = now, .isDirect = true});
    noteNews(message.sender, own);
    if (own != PeerLoads::News::None) {
        accepted.push_back(&message);
    }
    const auto silence = longestSilence();
    for (const auto &relayed : message.relayed) {
        if (relayed.load.sender == options_.name || now - relayed.heardAt >= silence) {
            continue;
        }
        addPeer(relayed.address, now);
        noteHeard(relayed.address, relayed.heardAt);
        const auto news =
            loads_.take(relayed.load, {.address = relayed.address, .heardAt = relayed.heardAt, .isDirect = false});
        noteNews(relayed.load.sender, news);
        if (news != PeerLoads::News::None) {
            accepted.push_back(&relayed.load);
        }
    }
    return accepted;
}

void LoadGossip::noteHeard(const std::string &address, TimePoint heardAt)
{
    if (const auto peer = peers_.find(address); peer != peers_.end()) {
        peer->second.heardAt = std::max(peer->second.heardAt, heardAt);
    }
}

void LoadGossip::noteNews(const std::string &sender, PeerLoads::News news)
{
    if (news == PeerLoads::News::None) {
        return;
    }
    news_.insert(sender);
    hasUrgentNews_ = hasUrgentNews_ || news == PeerLoads::News::Changed;
}

TimePoint LoadGossip::nextRoundAt() const
{
    if (!isRelaying()) {
        return lastRound_ + (hasChanged_ ? options_.interval : longestInterval());
    }
    const auto ownAt = ownToldAt_ + (hasChanged_ ? options_.ownInterval : longestInterval());
    auto next = std::max(ownAt, lastRound_ + options_.relayInterval);
    if (!news_.empty()) {
        next = std::min(next, lastRound_ + (hasUrgentNews_ ? options_.relayInterval : options_.relayIdleInterval));
    }
    return next;
}

std::chrono::milliseconds LoadGossip::longestSilence() const
{
    const auto whileFew = peers_.size() > options_.fewPeers ? options_.crowdSilence : options_.silence;
    return isRelaying() ? options_.relaySilence : whileFew;
}

std::chrono::milliseconds LoadGossip::longestInterval() const
{
    const auto whileFew = peers_.size() > options_.fewPeers ? options_.crowdIdleInterval : options_.idleInterval;
    const auto interval = isRelaying() ? options_.ownIdleInterval : whileFew;
    return isAwaited_ ? std::min(interval, options_.awaitedInterval) : interval;
}

std::optional<LoadGossip::Round> LoadGossip::poll(TimePoint now)
{
    if (now < nextRoundAt()) {
        return std::nullopt;
    }
    Round round{.targets = nextPeers(now)};
    const auto ownInterval = hasChanged_ ? options_.ownInterval : longestInterval();
    round.isOwnDue = !isRelaying() || now - ownToldAt_ >= ownInterval;
    if (round.isOwnDue) {
        ownToldAt_ = now;
        hasChanged_ = false;
    }
    if (isRelaying()) {
        round.relayed = takeNews();
    } else {
        news_.clear();
    }
    hasUrgentNews_ = hasUrgentNews_ && !news_.empty();
    lastRound_ = now;
    return round;
}

std::vector<RelayedLoad> LoadGossip::takeNews()
{
    std::vector<RelayedLoad> relayed;
    std::size_t bytes = 0;
    while (!news_.empty() && relayed.size() < options_.relayedAtOnce) {
        const auto *known = loads_.find(*news_.begin());
        bytes += known == nullptr ? 0 : mostBytesOf(known->last);
        // One load at least, so that none is kept back for ever.
        if (bytes > options_.relayedBytesAtOnce && !relayed.empty()) {
            break;
        }
        news_.erase(news_.begin());
        if (known != nullptr) {
            relayed.push_back({.load = known->last, .address = known->address, .heardAt = known->heardAt});
        }
    }
    return relayed;
}

bool LoadGossip::isHeard(const Peer &peer, TimePoint now) const
{
    const auto lostAfter = isRelaying() ? options_.relayLostAfter : options_.lostAfter;
    return now - std::max(peer.heardAt, peer.addedAt) < lostAfter;
}

std::vector<std::string> LoadGossip::livePeers(TimePoint now) const
{
    std::vector<std::string> live;
    for (const auto &[address, peer] : peers_) {
        if (isHeard(peer, now)) {
            live.push_back(address);
        }
    }
    return live;
}

std::vector<std::string> LoadGossip::nextPeers(TimePoint now)
{
    // Peers that are silent may be gone; they are told seldom, so that one that is back is found again.
    const bool alsoSilent = now - silentToldAt_ >= options_.idleInterval;
    if (alsoSilent) {
        silentToldAt_ = now;
    }
    const auto most = isRelaying() ? std::min(options_.relayFanOut, options_.fanOut) : options_.fanOut;
    std::size_t silentLeft = alsoSilent ? (isRelaying() ? 1 : peers_.size()) : 0;
    std::vector<std::string> addresses;
    for (std::size_t looked = 0; looked < peers_.size() && addresses.size() < most; ++looked) {
        const auto &address = nextInTurn();
        const bool isLive = isHeard(peers_.at(address), now);
        if (isLive || silentLeft > 0) {
            addresses.push_back(address);
            silentLeft -= isLive ? 0 : 1;
        }
    }
    return addresses;
}

const std::string &LoadGossip::nextInTurn()
{
    if (turn_ >= order_.size()) {
        order_.clear();
        for (const auto &[address, peer] : peers_) {
            order_.push_back(address);
        }
        // Entries that pass on in the same order would reach the same peers again and again.
        for (std::size_t i = 0; i < order_.size(); ++i) {
            std::swap(order_[i], order_[i + random_.below(order_.size() - i)]);
        }
        turn_ = 0;
    }
    return order_[turn_++];
}

bool LoadGossip::expire(TimePoint now)
{
    return loads_.expire(now, longestSilence());
}

std::chrono::milliseconds LoadGossip::tellingTime() const
{
    if (!isRelaying()) {
        return options_.interval;
    }
    // Each round multiplies those who know by one more than they tell.
    const auto peers = static_cast<double>(peers_.size() + 1);
    const auto rounds = std::ceil(std::log(peers) / std::log(static_cast<double>(options_.relayFanOut + 1))) + 1;
    return options_.ownInterval + options_.relayInterval * static_cast<std::int64_t>(rounds);
}

std::uint32_t LoadGossip::entryCount(TimePoint now) const
{
    const auto known = std::count_if(peers_.begin(), peers_.end(), [now](const auto &entry) {
        const auto &peer = entry.second;
        return now - std::max(peer.heardAt, peer.addedAt) < entryMemory;
    });
    return 1 + static_cast<std::uint32_t>(known);
}

} // namespace hornbeamlane
