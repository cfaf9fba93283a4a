#pragma once

#include "hornbeamlane_gateway/peers/PeerLoads.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hornbeamlane {

/**
    Decides when an entry tells which other entries what.

    A few entries tell each other directly. With more of them each passes what it has newly heard on to a few others,
    drawn anew each time, so that neither the messages of an entry nor its wake-ups grow with their number. What is
    passed on has its age, so that a dead entry is forgotten however often its last words are repeated.
*/
class LoadGossip final
{
public:
    struct Options
    {
        std::string name;
        std::string address;
        /** Seed of the draws. */
        std::uint64_t seed = 1;
        /** Time between two messages while the load changes; what is not told yet is seen late by the others. */
        std::chrono::milliseconds interval{40};
        /** Time between two messages without changes. */
        std::chrono::milliseconds idleInterval{300};
        /** The same for an entry on whose words the others wait. */
        std::chrono::milliseconds awaitedInterval{250};
        /** With more peers than this, words without changes come seldom, and silence is borne for longer. */
        std::size_t fewPeers = 16;
        std::chrono::milliseconds crowdIdleInterval{700};
        /** Peers that are told directly; with more of them, what is heard is passed on. */
        std::size_t fanOut = 48;
        /** The same while entries pass on: time between two rounds, and between two words of this entry's own. */
        std::chrono::milliseconds relayInterval{50};
        std::chrono::milliseconds relayIdleInterval{300};
        std::chrono::milliseconds ownInterval{100};
        std::chrono::milliseconds ownIdleInterval{1500};
        /** Peers told in a round, and loads of others that one message carries. */
        std::size_t relayFanOut = 4;
        std::size_t relayedAtOnce = 200;
        /** Bytes of these loads at most; a datagram has room for 65,507, and one that is larger is not sent at all. */
        std::size_t relayedBytesAtOnce = 48 * 1024;
        /** Load of a peer that has told nothing for this time is forgotten. */
        std::chrono::milliseconds silence{1500};
        std::chrono::milliseconds crowdSilence{2200};
        std::chrono::milliseconds relaySilence{4500};
        /** A peer that has not been heard for this time is told less often. */
        std::chrono::milliseconds lostAfter{3000};
        std::chrono::milliseconds relayLostAfter{6000};
    };

    /** What is to be sent now. */
    struct Round
    {
        std::vector<std::string> targets;
        /** Whether the entry's own load is told anew; otherwise as it was told last. */
        bool isOwnDue = false;
        std::vector<RelayedLoad> relayed;
    };

    explicit LoadGossip(Options options);

    /** An entry that may be there. */
    void addPeer(const std::string &address, TimePoint now);

    /** The own load has changed. */
    void markChanged();

    /** Whether the others wait for words of this entry, as for those of the holder of the maps. */
    void setAwaited(bool isAwaited)
    {
        isAwaited_ = isAwaited;
    }

    /** Takes a message; gives the loads in it that are news. */
    std::vector<const LoadMessage *> onMessage(const LoadMessage &message, const std::string &address, TimePoint now);

    /** What is due now; empty before nextRoundAt(). */
    std::optional<Round> poll(TimePoint now);

    TimePoint nextRoundAt() const;

    /** Forgets silent peers; true if sums have changed. */
    bool expire(TimePoint now);

    /** Whether there are so many entries that they pass on what they hear. */
    bool isRelaying() const
    {
        return peers_.size() > options_.fanOut;
    }

    /** Time after which all peers have heard of a change. */
    std::chrono::milliseconds tellingTime() const;

    /** Entries heard of within the last minute and this one. */
    std::uint32_t entryCount(TimePoint now) const;

    /** Addresses of peers that are heard. */
    std::vector<std::string> livePeers(TimePoint now) const;

    const PeerLoads &loads() const
    {
        return loads_;
    }

private:
    struct Peer
    {
        TimePoint addedAt;
        TimePoint heardAt;
    };

    bool isHeard(const Peer &peer, TimePoint now) const;
    /** Time after which the load of a silent peer is forgotten. */
    std::chrono::milliseconds longestSilence() const;
    /** Longest time between two words of this entry while nothing changes. */
    std::chrono::milliseconds longestInterval() const;
    void noteHeard(const std::string &address, TimePoint heardAt);
    void noteNews(const std::string &sender, PeerLoads::News news);
    std::vector<std::string> nextPeers(TimePoint now);
    const std::string &nextInTurn();
    std::vector<RelayedLoad> takeNews();

    Options options_;
    RandomSource random_;
    PeerLoads loads_;
    std::map<std::string, Peer> peers_;
    /** Peers in the order in which they are told, drawn anew when all have had their turn, and whose turn is next. */
    std::vector<std::string> order_;
    std::size_t turn_ = 0;
    /** Senders whose loads have not been passed on. */
    std::set<std::string> news_;
    bool hasUrgentNews_ = false;
    bool hasChanged_ = true;
    bool isAwaited_ = false;
    TimePoint lastRound_;
    TimePoint ownToldAt_;
    TimePoint silentToldAt_;
};

} // namespace hornbeamlane
