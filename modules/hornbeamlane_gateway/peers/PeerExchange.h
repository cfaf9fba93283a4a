#pragma once

#include "hornbeamlane_gateway/peers/DatagramSocket.h"
#include "hornbeamlane_gateway/peers/LoadGossip.h"
#include "hornbeamlane_network/loop/Timer.h"

#include <string>
#include <vector>

namespace hornbeamlane {

/** Tells the other entries how many requests of this one each server has, and hears the same from them. */
class PeerExchange final
{
public:
    struct Options
    {
        std::string name;
        Incarnation incarnation;
        std::string address;
        /** See LoadGossip. */
        std::chrono::milliseconds interval{40};
        std::size_t fanOut = 48;
    };

    struct Callbacks
    {
        std::function<std::vector<std::pair<ServerHash, std::uint32_t>>()> ownLoad;
        std::function<std::vector<std::pair<PaceUnitHash, std::uint32_t>>()> bounds;
        std::function<bool()> isMapHolder;
        std::function<std::vector<TableVersion>()> tableVersions;
        std::function<void(const std::vector<TableVersion> &)> peerVersions;
        /** The loads of the peers have changed. */
        std::function<void()> changed;
        /** Digest of what is known here of crashes. */
        std::function<std::uint64_t()> crashDigest = [] { return 0; };
        std::function<void(const std::string &address, std::uint64_t digest)> peerCrashDigest = [](const auto &, auto) {
        };
        /** Limits that servers have named, to tell; all of them, or those with news. */
        std::function<std::vector<RateLimitReport>(bool all)> rateLimits = [](bool) {
            return std::vector<RateLimitReport>();
        };
        std::function<std::vector<std::pair<ServiceHash, std::uint32_t>>()> demands = [] {
            return std::vector<std::pair<ServiceHash, std::uint32_t>>();
        };
        /** Requests of callers that come to this entry. */
        std::function<std::vector<ServiceArrivals>()> arrivals = [] { return std::vector<ServiceArrivals>(); };
        std::function<void(Incarnation sender, const std::vector<RateLimitReport> &)> peerRateLimits =
            [](auto, const auto &) {};
        /** Answers of servers that have not been told; they count as told. */
        std::function<std::vector<LatencyReport>()> latencies = [] { return std::vector<LatencyReport>(); };
        std::function<void(const std::vector<LatencyReport> &)> peerLatencies = [](const auto &) {};
        /** Takes a message that tells no load; false if it is of no known kind. */
        std::function<bool(std::string_view bytes)> otherMessage = [](auto) { return false; };
    };

    PeerExchange(EventLoop &loop, Options options, Callbacks callbacks);

    bool start();
    void stop();

    /** Port in use after a successful start(). */
    std::uint16_t port() const
    {
        return socket_.port();
    }

    /** An entry that may be there. */
    void addPeer(const std::string &address);

    /** The load has changed; it is told with the next message. */
    void markChanged();

    void sendTo(const std::string &address, const std::string &bytes);

    /** Sends to the peers that are heard, as many as are told at a time. */
    void sendToAll(const std::string &bytes);

    const PeerLoads &loads() const
    {
        return gossip_.loads();
    }

    /** Time after which all peers have heard of a change. */
    std::chrono::milliseconds tellingTime() const;

    /** Time after which a peer mostly has heard of a change. */
    std::chrono::milliseconds usualDelay() const;

    /** Time without a word of a peer after which it is likely to be gone. */
    std::chrono::milliseconds usualSilence() const;

    /** Whether there are so many entries that they pass on what they hear. */
    bool isRelaying() const
    {
        return gossip_.isRelaying();
    }

    /** Entries heard of within the last minute and this one. */
    std::uint32_t entryCount(TimePoint now) const
    {
        return gossip_.entryCount(now);
    }

private:
    void receive(std::string_view bytes, const std::string &sender);
    void handleDrained();
    void tick();
    void updateQuietTime();
    /** Starts the timer for the next round if that is earlier than what it is set to. */
    void schedule();
    LoadMessage ownLoad(TimePoint now);

    EventLoop &loop_;
    Options options_;
    Callbacks callbacks_;
    DatagramSocket socket_;
    LoadGossip gossip_;
    Timer timer_;
    TimePoint wakeAt_ = TimePoint::max();
    bool isRunning_ = false;
    bool haveLoadsChanged_ = false;
    std::uint64_t sequence_ = 0;
    /** The own load as it was told last. */
    LoadMessage told_;
    TimePoint rateLimitsToldAt_;
    TimePoint arrivalsToldAt_;
};

} // namespace hornbeamlane
