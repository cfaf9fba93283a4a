#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"
#include "hornbeamlane_dispatch/pace/RateMeter.h"

#include <cstdint>
#include <map>
#include <vector>

namespace hornbeamlane {

/** Short name of a team in load messages, below 2^24; zero for requests without a team. */
using TeamHash = std::uint32_t;

TeamHash hashOfTeam(const TeamId &team);

/** Priorities that shares tell apart: 0 is the most urgent. */
constexpr std::uint32_t leastUrgentPriority = 9;

/** The priority within 0 to 9; larger ones count as the least urgent. */
std::uint32_t boundedPriority(std::uint32_t priority);

/** Requests that share one part of the capacity. */
struct ArrivalClass
{
    /** 0 to 9, 0 is the most urgent. */
    std::uint32_t priority = 0;
    /** The caller comes back, so the request cannot be in time any more. */
    bool isLate = false;
    /** Zero also stands for all teams that an entry does not name. */
    TeamHash team = 0;

    auto operator<=>(const ArrivalClass &) const = default;
};

/** Arrivals of one class, in requests a second. */
struct ArrivalRate
{
    ArrivalClass arrivals;
    double perSecond = 0;

    bool operator==(const ArrivalRate &) const = default;
};

/** Measures the requests that reach this entry for one service, by class. */
class ArrivalMeter final
{
public:
    struct Options
    {
        /** Classes that are told to the other entries; the others are told as requests without a team. */
        std::size_t toldClasses = 24;
        /** Classes with fewer requests a second are forgotten. */
        double leastPerSecond = 0.05;
        /** Classes that are measured; requests of further teams count as requests without a team. */
        std::size_t maxClasses = 1024;
    };

    ArrivalMeter();
    explicit ArrivalMeter(Options options);

    void count(const ArrivalClass &arrivals, TimePoint now);

    /** All classes with their rates; forgets those without requests. */
    std::vector<ArrivalRate> rates(TimePoint now);

    /** The same for the other entries, with a bounded number of classes. */
    std::vector<ArrivalRate> ratesToTell(TimePoint now);

private:
    Options options_;
    std::map<ArrivalClass, RateMeter> meters_;
};

} // namespace hornbeamlane
