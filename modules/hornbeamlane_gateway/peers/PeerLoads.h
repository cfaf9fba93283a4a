#pragma once

#include "hornbeamlane_dispatch/pace/PaceBook.h"
#include "hornbeamlane_dispatch/queue/ArrivalRates.h"
#include "hornbeamlane_dispatch/ratelimits/ServerRateLimits.h"
#include "hornbeamlane_dispatch/servers/ServerLimits.h"
#include "hornbeamlane_membership/table/TableClient.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hornbeamlane {

/** Short name of a server in load messages. */
using ServerHash = std::uint32_t;

ServerHash hashOfServer(const ServerId &server);

/** Short name of a service in load messages. */
using ServiceHash = std::uint32_t;

ServiceHash hashOfService(const ServiceId &service);

/** Short name of a pace unit in load messages. */
using PaceUnitHash = std::uint32_t;

PaceUnitHash hashOfPaceUnit(const PaceUnitId &unit);

/** Bounds are told in thousandths of a unit's places, demands in thousandths of a request. */
constexpr double boundScale = 1000;
constexpr double demandScale = 1000;

struct RelayedLoad;

/** Requests of callers for one service at one entry. */
struct ServiceArrivals
{
    ServiceHash service = 0;
    std::vector<ArrivalRate> rates;

    bool operator==(const ServiceArrivals &) const = default;
};

/** What one entry tells the others about its requests at the servers. */
struct LoadMessage
{
    std::string sender;
    /** Grows with each message of one start of the sender, so that a late one is not taken for the newest. */
    std::uint64_t sequence = 0;
    Incarnation incarnation;
    /** The sender holds the lease of the expert maps. */
    bool isMapHolder = false;
    /** Newest row that the sender has seen of each table that all entries follow, in a fixed order. */
    std::vector<TableVersion> tableVersions;
    std::vector<std::pair<ServerHash, std::uint32_t>> inFlight;
    /** Bound on the requests of all entries at a pace unit, in thousandths of its places; only where the sender has
       seen the pace of the unit. */
    std::vector<std::pair<PaceUnitHash, std::uint32_t>> bounds;
    /** Digest of what the sender knows of crashes; see CrashEvidence. */
    std::uint64_t crashDigest = 0;
    /** Limits on requests a second that servers have named; the times are on the clock of the process that holds the
        message and pass as ages, in whole milliseconds. */
    std::vector<RateLimitReport> rateLimits;
    /** Requests that the sender has to send at once to a service some of whose servers have limits, in thousandths. */
    std::vector<std::pair<ServiceHash, std::uint32_t>> demands;
    /** Requests of callers that come to the sender; empty if it does not tell them this time. */
    std::optional<std::vector<ServiceArrivals>> arrivals;
    /** Answers of servers of plain services that the sender has not told before; latencies pass in microseconds,
        requests at the server in tenths. */
    std::vector<LatencyReport> latencies;
    /** Loads of other entries that the sender passes on. */
    std::vector<RelayedLoad> relayed;
};

/** The load of an entry as another one has heard it; tells no table versions, crashes or further loads. */
struct RelayedLoad
{
    LoadMessage load;
    /** "<ip>:<port>" of the entry. */
    std::string address;
    /** When the entry told it, on the clock of the process that holds the message; passes as an age. */
    TimePoint heardAt;
};

/** Upper estimate of the bytes that a load takes in the message of an entry that passes it on. */
std::size_t mostBytesOf(const LoadMessage &load);

/** CBOR form of the message; decode() is empty for bytes that are no such message. */
std::string encodeLoadMessage(const LoadMessage &message, TimePoint now);
std::optional<LoadMessage> decodeLoadMessage(std::string_view bytes, TimePoint now);

/** Sums what the other entries tell. A peer that has fallen silent is left out. */
class PeerLoads final
{
public:
    /** How a load has come. */
    struct Origin
    {
        /** "<ip>:<port>" of the entry whose load it is. */
        std::string address;
        /** When that entry told it. */
        TimePoint heardAt;
        /** Not passed on by another entry. */
        bool isDirect = true;
    };

    enum class News {
        None, ///< Known, or older than what is known.
        Refreshed, ///< The entry lives, and its load is as it was.
        Changed,
    };

    /** The last that was told of an entry. */
    struct Peer
    {
        LoadMessage last;
        std::string address;
        TimePoint heardAt;
    };

    News take(const LoadMessage &message, const Origin &origin);

    /** Forgets peers that have told nothing for that time; true if sums have changed. */
    bool expire(TimePoint now, std::chrono::milliseconds silence);

    /** Null if the entry is not heard. */
    const Peer *find(const std::string &sender) const;

    std::uint32_t sumFor(ServerHash server) const;

    /** Median of the bounds that peers keep at a pace unit, as a share of its places; empty if none has told one. */
    std::optional<double> boundFor(PaceUnitHash unit) const;

    /** Requests that all peers have to send to a service at once. */
    double demandFor(ServiceHash service) const;

    /** Requests of callers for a service at each peer that has told any; valid until the next message. */
    std::vector<const std::vector<ArrivalRate> *> arrivalsFor(ServiceHash service) const;

    /** When a peer last said that it holds the lease of the expert maps. */
    TimePoint mapHolderHeardAt() const
    {
        return mapHolderHeardAt_;
    }

    /** Peers that have been heard within the silence. */
    std::size_t activePeers() const
    {
        return peers_.size();
    }

private:
    void subtract(const LoadMessage &message);

    std::map<std::string, Peer> peers_;
    std::unordered_map<ServerHash, std::uint32_t> sums_;
    TimePoint mapHolderHeardAt_;
};

} // namespace hornbeamlane
