#include "hornbeamlane_gateway/peers/PeerExchange.h"

#include "hornbeamlane_observability/hornbeamlane_observability.h"

#include <algorithm>
#include <utility>

namespace hornbeamlane {

namespace {

/** An entry that was heard within this time counts in the division of shared bounds, also when it is cut off. */
constexpr std::chrono::seconds entryMemory{60};

} // namespace

PeerExchange::PeerExchange(EventLoop &loop, Options options, Callbacks callbacks)
    : loop_(loop)
    , options_(std::move(options))
    , callbacks_(std::move(callbacks))
    , socket_(loop, [this](std::string_view bytes, const std::string &sender) { receive(bytes, sender); })
    , timer_(loop, [this] { tick(); })
{
}

bool PeerExchange::start()
{
    if (!socket_.bind(options_.address)) {
        return false;
    }
    timer_.startRepeating(options_.interval);
    return true;
}

void PeerExchange::stop()
{
    timer_.stop();
}

void PeerExchange::addPeer(const std::string &address)
{
    if (address != options_.address && !peers_.contains(address)) {
        peers_[address].addedAt = loop_.now();
        hasChanged_ = true;
        lastSentToAll_ = {};
    }
}

void PeerExchange::markChanged()
{
    hasChanged_ = true;
}

void PeerExchange::sendTo(const std::string &address, const std::string &bytes)
{
    socket_.send(address, bytes);
}

void PeerExchange::sendToAll(const std::string &bytes)
{
    const auto now = loop_.now();
    std::size_t sent = 0;
    for (const auto &[address, peer] : peers_) {
        if (sent < options_.fanOut && now - peer.heardAt < options_.silence) {
            socket_.send(address, bytes);
            ++sent;
        }
    }
}

std::chrono::milliseconds PeerExchange::tellingTime() const
{
    const auto peers = entryCount(loop_.now()) - 1;
    const auto rounds = (peers + options_.fanOut - 1) / options_.fanOut;
    return options_.interval * std::max<std::size_t>(rounds, 1);
}

std::uint32_t PeerExchange::entryCount(TimePoint now) const
{
    const auto known = std::count_if(peers_.begin(), peers_.end(), [now](const auto &entry) {
        const auto &peer = entry.second;
        return now - std::max(peer.heardAt, peer.addedAt) < entryMemory;
    });
    return 1 + static_cast<std::uint32_t>(known);
}

void PeerExchange::receive(std::string_view bytes, const std::string &sender)
{
    const auto now = loop_.now();
    const auto message = decodeLoadMessage(bytes, now);
    if (!message && callbacks_.otherMessage(bytes)) {
        return;
    }
    if (!message) {
        logEvent(LogLevel::Warning, "peer_message_malformed",
                 {{"sender", sender}, {"bytes", std::to_string(bytes.size())}});
        return;
    }
    addPeer(sender);
    auto &peer = peers_[sender];
    peer.heardAt = now;
    callbacks_.peerVersions(message->tableVersions);
    callbacks_.peerCrashDigest(sender, message->crashDigest);
    if (loads_.take(*message, now)) {
        callbacks_.peerRateLimits(message->incarnation, message->rateLimits);
        callbacks_.changed();
    }
}

std::vector<std::string> PeerExchange::nextPeers(TimePoint now, bool alsoSilent)
{
    std::vector<std::string> addresses;
    auto next = peers_.upper_bound(lastTold_);
    for (std::size_t looked = 0; looked < peers_.size() && addresses.size() < options_.fanOut; ++looked) {
        if (next == peers_.end()) {
            next = peers_.begin();
        }
        if (alsoSilent || now - next->second.heardAt < options_.silence) {
            addresses.push_back(next->first);
        }
        lastTold_ = next->first;
        ++next;
    }
    return addresses;
}

void PeerExchange::tick()
{
    const auto now = loop_.now();
    if (loads_.expire(now)) {
        callbacks_.changed();
    }
    if (!hasChanged_ && now - lastSent_ < options_.idleInterval) {
        return;
    }
    // Peers that are silent may be gone; they are told seldom, so that one that is back is found again.
    const bool toAll = now - lastSentToAll_ >= options_.idleInterval;
    const bool tellsAllLimits = peers_.size() > options_.fanOut || now - rateLimitsToldAt_ >= options_.idleInterval;
    rateLimitsToldAt_ = tellsAllLimits ? now : rateLimitsToldAt_;
    const auto bytes = encodeLoadMessage({.sender = options_.name,
                                          .sequence = ++sequence_,
                                          .incarnation = options_.incarnation,
                                          .isMapHolder = callbacks_.isMapHolder(),
                                          .tableVersions = callbacks_.tableVersions(),
                                          .inFlight = callbacks_.ownLoad(),
                                          .bounds = callbacks_.bounds(),
                                          .crashDigest = callbacks_.crashDigest(),
                                          .rateLimits = callbacks_.rateLimits(tellsAllLimits),
                                          .demands = callbacks_.demands()},
                                         now);
    for (const auto &address : nextPeers(now, toAll)) {
        socket_.send(address, bytes);
    }
    // With more peers than are told at a time, the next tick goes on with the others.
    hasChanged_ = peers_.size() > options_.fanOut;
    lastSent_ = now;
    if (toAll) {
        lastSentToAll_ = now;
    }
}

} // namespace hornbeamlane
