#pragma once

#include "hornbeamlane_dispatch/queue/ArrivalRates.h"

#include <map>

namespace hornbeamlane {

/**
    Divides the capacity of a service among the requests that arrive for it.

    Each priority first gets a floor, a part of what it would get if all were served alike. The rest goes to the most
    urgent one up to its demand, then to the next. Within a priority the teams share max-min, each with a floor of its
    own. What is left over goes to late requests, in the same order. Entries with the same figures compute the same
    shares.
*/
class PriorityShares final
{
public:
    struct Options
    {
        /** Floor of a priority, as a part of the average over all requests. A quarter is required; the rest allows for
            the error of the measured rates. */
        double priorityFloor = 0.35;
        /** The same for a team; below that of a priority, so that the floors of its teams always fit. */
        double teamFloor = 0.3;
    };

    /** Everything is admitted. */
    PriorityShares() = default;

    /** Requests a second by class, and how many of all can be served. */
    PriorityShares(const Options &options, const std::map<ArrivalClass, double> &demand, double capacityPerSecond);

    /** Whether the demand exceeds the capacity. */
    bool isShort() const
    {
        return isShort_;
    }

    /** Part of the requests of a class that is admitted, 0 to 1. */
    double admittedPart(const ArrivalClass &arrivals) const;

    /** Starts a second that requests in time leave for callers that come back. */
    double roomPerSecond() const
    {
        return roomPerSecond_;
    }

    /** Requests a second of a priority that are not late. */
    double demandOf(std::uint32_t priority) const;

    /** Requests a second of all priorities that are not late. */
    double demandPerSecond() const
    {
        return demandPerSecond_;
    }

    /** Part of the requests of a priority that are not late and are admitted, 0 to 1. */
    double admittedPartOf(std::uint32_t priority) const;

private:
    /** Requests of one priority, either late or not. */
    struct Kind
    {
        std::map<TeamHash, double> teams;
        double demand = 0;
        double share = 0;
        /** Part of each team's requests; teams that are not there have too few requests to be limited. */
        std::map<TeamHash, double> parts;
    };

    using KindKey = std::pair<std::uint32_t, bool>;

    void divideAmongPriorities(const Options &options, double capacity);
    static void divideAmongTeams(Kind &kind, double floorPart);

    std::map<KindKey, Kind> kinds_;
    double demandPerSecond_ = 0;
    double roomPerSecond_ = 0;
    bool isShort_ = false;
};

} // namespace hornbeamlane
