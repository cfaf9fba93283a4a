#pragma once

#include "hornbeamlane_gateway/peers/DatagramSocket.h"
#include "hornbeamlane_gateway/peers/PeerLoads.h"
#include "hornbeamlane_network/loop/Timer.h"

#include <map>
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
        /** Time between two messages while the load changes; what is not told yet is seen late by the others. */
        std::chrono::milliseconds interval{40};
        /** Time between two messages without changes. */
        std::chrono::milliseconds idleInterval{300};
        /** Peers told at a time; with more of them each is told in turn, so that the cost does not grow with them. */
        std::size_t fanOut = 48;
        /** A peer that has not been heard for this time is told less often. */
        std::chrono::milliseconds silence{3000};
    };

    struct Callbacks
    {
        std::function<std::vector<std::pair<ServerHash, std::uint32_t>>()> ownLoad;
        std::function<std::vector<std::pair<ServiceHash, std::uint32_t>>()> bounds;
        std::function<bool()> isMapHolder;
        std::function<std::vector<std::uint64_t>()> tableVersions;
        std::function<void(const std::vector<std::uint64_t> &)> peerVersions;
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
        std::function<void(Incarnation sender, const std::vector<RateLimitReport> &)> peerRateLimits =
            [](auto, const auto &) {};
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
        return loads_;
    }

    /** Time after which all peers have heard of a change. */
    std::chrono::milliseconds tellingTime() const;

    /** Entries heard of within the last minute and this one. */
    std::uint32_t entryCount(TimePoint now) const;

private:
    struct Peer
    {
        TimePoint addedAt;
        TimePoint heardAt;
    };

    void receive(std::string_view bytes, const std::string &sender);
    void tick();
    std::vector<std::string> nextPeers(TimePoint now, bool alsoSilent);

    EventLoop &loop_;
    Options options_;
    Callbacks callbacks_;
    DatagramSocket socket_;
    PeerLoads loads_;
    std::map<std::string, Peer> peers_;
    Timer timer_;
    std::uint64_t sequence_ = 0;
    /** Address after which the next round of messages goes on. */
    std::string lastTold_;
    bool hasChanged_ = true;
    TimePoint lastSent_;
    TimePoint lastSentToAll_;
    TimePoint rateLimitsToldAt_;
};

} // namespace hornbeamlane
