#include "hornbeamlane_gateway/peers/PeerExchange.h"

#include "hornbeamlane_observability/hornbeamlane_observability.h"

#include <algorithm>
#include <utility>

namespace hornbeamlane {

namespace {

using std::chrono::milliseconds;

/** Time for which messages are collected before they are read together; longer while there is no load here that they
    could change. */
constexpr milliseconds quietTime{15};
constexpr milliseconds idleQuietTime{60};

/** Time between two tellings of all limits that servers have named. */
constexpr milliseconds allLimitsInterval{300};

/** Time between two tellings of the arrivals, which change within about a second. */
constexpr milliseconds arrivalsInterval{400};

/** Peers that hear of something urgent at once; they tell the others that they know more. */
constexpr std::size_t urgentFanOut = 48;

/** Several words of the holder of the maps may be lost before it counts as silent. */
constexpr milliseconds holderSilence{600};
constexpr milliseconds relayHolderSilence{1200};

} // namespace

PeerExchange::PeerExchange(EventLoop &loop, Options options, Callbacks callbacks)
    : loop_(loop)
    , options_(std::move(options))
    , callbacks_(std::move(callbacks))
    , socket_(loop,
              {.received =
                   [this](std::string_view bytes, const std::string &sender) {
                       runContained("peer_message_failed", sender, [&] { receive(bytes, sender); });
                   },
               .drained = [this] { handleDrained(); }})
    , gossip_({.name = options_.name,
               .address = options_.address,
               .seed = options_.incarnation.value(),
               .interval = options_.interval,
               .fanOut = options_.fanOut})
    , timer_(loop, [this] { tick(); })
{
}

bool PeerExchange::start()
{
    if (!socket_.bind(options_.address)) {
        return false;
    }
    isRunning_ = true;
    schedule();
    return true;
}

void PeerExchange::stop()
{
    isRunning_ = false;
    timer_.stop();
}

void PeerExchange::addPeer(const std::string &address)
{
    gossip_.addPeer(address, loop_.now());
    schedule();
}

void PeerExchange::updateQuietTime()
{
    const bool isIdle = told_.inFlight.empty() && told_.rateLimits.empty();
    socket_.setQuietTime(isIdle ? idleQuietTime : quietTime);
}

void PeerExchange::markChanged()
{
    gossip_.markChanged();
    schedule();
}

void PeerExchange::schedule()
{
    const auto next = gossip_.nextRoundAt();
    if (!isRunning_ || next >= wakeAt_) {
        return;
    }
    wakeAt_ = next;
    timer_.startOnce(std::max(Duration::zero(), next - loop_.now()));
}

void PeerExchange::sendTo(const std::string &address, const std::string &bytes)
{
    socket_.send(address, bytes);
}

void PeerExchange::sendToAll(const std::string &bytes)
{
    auto peers = gossip_.livePeers(loop_.now());
    peers.resize(std::min(peers.size(), urgentFanOut));
    for (const auto &address : peers) {
        socket_.send(address, bytes);
    }
}

milliseconds PeerExchange::tellingTime() const
{
    return gossip_.tellingTime() + quietTime;
}

milliseconds PeerExchange::usualDelay() const
{
    // Mostly half of each time that the slowest word takes.
    return gossip_.tellingTime() / 2 + quietTime;
}

milliseconds PeerExchange::usualSilence() const
{
    return gossip_.isRelaying() ? relayHolderSilence : holderSilence;
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
    callbacks_.peerVersions(message->tableVersions);
    callbacks_.peerCrashDigest(sender, message->crashDigest);
    for (const auto *load : gossip_.onMessage(*message, sender, now)) {
        callbacks_.peerRateLimits(load->incarnation, load->rateLimits);
        callbacks_.peerLatencies(load->latencies);
        haveLoadsChanged_ = true;
    }
}

void PeerExchange::handleDrained()
{
    updateQuietTime();
    if (std::exchange(haveLoadsChanged_, false)) {
        callbacks_.changed();
    }
    schedule();
}

LoadMessage PeerExchange::ownLoad(TimePoint now)
{
    const bool tellsAllLimits = gossip_.isRelaying() || now - rateLimitsToldAt_ >= allLimitsInterval;
    rateLimitsToldAt_ = tellsAllLimits ? now : rateLimitsToldAt_;
    // Of an entry's words that are passed on the last one stands for all.
    const bool tellsArrivals = gossip_.isRelaying() || now - arrivalsToldAt_ >= arrivalsInterval;
    arrivalsToldAt_ = tellsArrivals ? now : arrivalsToldAt_;
    return {.sender = options_.name,
            .sequence = ++sequence_,
            .incarnation = options_.incarnation,
            .isMapHolder = callbacks_.isMapHolder(),
            .inFlight = callbacks_.ownLoad(),
            .bounds = callbacks_.bounds(),
            .rateLimits = callbacks_.rateLimits(tellsAllLimits),
            .demands = callbacks_.demands(),
            .arrivals = tellsArrivals ? std::optional(callbacks_.arrivals()) : std::nullopt,
            .latencies = callbacks_.latencies()};
}

void PeerExchange::tick()
{
    const auto now = loop_.now();
    wakeAt_ = TimePoint::max();
    if (gossip_.expire(now)) {
        callbacks_.changed();
    }
    // The others read the lease if they do not hear of its holder.
    gossip_.setAwaited(callbacks_.isMapHolder());
    if (auto round = gossip_.poll(now)) {
        if (round->isOwnDue) {
            told_ = ownLoad(now);
        }
        told_.tableVersions = callbacks_.tableVersions();
        told_.crashDigest = callbacks_.crashDigest();
        told_.relayed = std::move(round->relayed);
        const auto bytes = encodeLoadMessage(told_, now);
        for (const auto &address : round->targets) {
            socket_.send(address, bytes);
        }
        told_.relayed.clear();
    }
    schedule();
}

} // namespace hornbeamlane
