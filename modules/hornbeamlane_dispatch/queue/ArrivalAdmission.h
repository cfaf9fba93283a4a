#pragma once

#include "hornbeamlane_dispatch/queue/PriorityShares.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace hornbeamlane {

/**
    Decides on arrival whether a request for one service is admitted, and tells rejected callers when to come back.

    Responds to a demand over all entries that exceeds what the servers can start in time. Each entry admits the same
    part of the requests of a class, so no entry has to know what another one admits.
*/
class ArrivalAdmission final
{
public:
    struct Options
    {
        PriorityShares::Options shares;
        /** Time between two divisions of the capacity. */
        std::chrono::milliseconds updateInterval{100};
        /** Part of the capacity that is divided; the rest keeps the wait for a place short. */
        double usedCapacity = 0.95;
        /** Late requests at one entry that make it divide anew at once, as a crowd may come back to all entries. */
        std::uint32_t lateBurst = 3;
        /** Requests over the bound of the servers below which places are free, so nothing is rejected, and from which
            on the shares hold in full. Entries hear of each other's requests some tens of milliseconds late. */
        double freeFill = 0.85;
        double fullFill = 0.95;
        /** Weight of one request in the moving average of the time for which a place is taken. */
        double placeTimeWeight = 0.04;
        /** Requests that must have left their places before the capacity counts as known. */
        std::uint32_t minPlaceTimes = 10;
        /** Arrivals of a peer above this multiple of the median entry do not count, so that one wrong figure cannot
            take the share of all others. The floor of teams holds for a demand of all entries like the median one. */
        double largestPeerPart = 10;
        /** Shortest time until a caller comes back, and the part of its time left that it waits at most. */
        std::chrono::milliseconds shortestRetryAfter{300};
        double heededPart = 1.0 / 3;
        /** Part of the time until a caller comes back over which callers are spread out. */
        double retryAfterSpread = 0.25;
    };

    /** What the servers of the service offer. */
    struct Places
    {
        /** Requests that may be at the servers at once, by the bounds of their pace. */
        double bound = 0;
        /** Requests at the servers, of all entries. */
        double inFlight = 0;

        double fill() const
        {
            return bound > 0 ? inFlight / bound : 0;
        }
    };

    /** What the other entries have told. */
    struct Peers
    {
        /** Arrivals of each peer that tells them; none is null. */
        std::vector<const std::vector<ArrivalRate> *> arrivals;
        /** Peers that are heard, also those that tell no arrivals. */
        std::size_t heard = 0;
        /** Entries that may be running, with this one. */
        std::uint32_t entryCount = 1;
    };

    ArrivalAdmission();
    explicit ArrivalAdmission(Options options);

    /** A valid request has come. */
    void onArrival(const ArrivalClass &arrivals, TimePoint now);

    /** A request has left its place at a server after that time. */
    void onPlaceFreed(Duration taken);

    bool isUpdateDue(TimePoint now) const
    {
        return now - updatedAt_ >= options_.updateInterval || lateSinceUpdate_ >= options_.lateBurst;
    }

    /** Divides the capacity anew. */
    void update(const Places &places, const Peers &peers, TimePoint now);

    /** Time after which a caller should come back whose request is rejected now; empty if it is admitted. */
    std::optional<Duration> rejectionOf(const ArrivalClass &arrivals, double fill, Duration timeLeft, TimePoint now,
                                        RandomSource &random);

    /** Arrivals at this entry, for the others. */
    std::vector<ArrivalRate> ratesToTell(TimePoint now)
    {
        return meter_.ratesToTell(now);
    }

    const PriorityShares &shares() const
    {
        return shares_;
    }

    /** Whether the demand exceeded the capacity within the last second; without requests nothing is divided. */
    bool isShort(TimePoint now) const
    {
        return shares_.isShort() && now - updatedAt_ < std::chrono::seconds(1);
    }

    /** Requests a second that the servers can start in time; zero while it is not known. */
    double capacityPerSecond() const
    {
        return capacityPerSecond_;
    }

    /** Usual time for which a request takes a place; zero while it is not known. */
    Duration placeTime() const;

private:
    std::map<ArrivalClass, double> demandOfAll(const Peers &peers, TimePoint now);
    Duration drawRetryAfter(Duration timeLeft, TimePoint now, RandomSource &random);

    Options options_;
    ArrivalMeter meter_;
    PriorityShares shares_;
    TimePoint updatedAt_;
    std::uint32_t lateSinceUpdate_ = 0;
    double capacityPerSecond_ = 0;
    std::chrono::duration<double> placeTime_{0};
    std::uint32_t placeTimes_ = 0;
    /** Part of the demand of all entries that comes to this one. */
    double ownPart_ = 1;
    /** Part of the requests that are not late that is admitted whatever the other entries tell. */
    double leastPart_ = 1;
    /** When the last caller that was told a time to come back finds room. */
    TimePoint nextRoomAt_;
};

} // namespace hornbeamlane
