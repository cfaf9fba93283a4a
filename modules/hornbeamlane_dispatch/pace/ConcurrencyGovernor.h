#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace hornbeamlane {

/**
    Bounds the requests that all entries together have at a service whose engines batch them.

    More requests in a batch make every one of them slower. Above some number the pauses between events exceed what
    callers accept, and throughput hardly grows any more. The bound follows the pauses that are seen. Where engines are
   so slow that no bound makes the pauses short enough, it gives room to all places: streams come late, but they come.
*/
class ConcurrencyGovernor final
{
public:
    struct Options
    {
        /** Time over which pauses are collected before the bound is moved. */
        std::chrono::milliseconds window{250};
        /** Pauses needed in a window. */
        std::size_t minSamples = 8;
        /** Share of the pauses of a window that have to stay below the target. */
        double quantile = 0.98;
        /** The bound shrinks if the quantile is above this share of the target, and grows below growBelow. */
        double shrinkAbove = 0.92;
        double growBelow = 0.85;
        double shrinkFactor = 0.92;
        /** Growth of a window while no bound makes the pauses short enough. */
        double lateGrowth = 1.1;
        /** Growth of a window for each unit by which the quantile over the target is below growBelow. */
        double growthPerPressure = 1.2;
        double largestGrowth = 1.25;
        /** Smallest bound as a share of the servers' places. */
        double smallestShare = 0.35;
        /** Bound after a restart, as a share of the servers' places. */
        double restartShare = 0.45;
        /** Part of the difference to the other entries' bound by which the own bound moves when it is told. */
        double peerWeight = 0.1;
        /** Largest bound as a share of the servers' places. */
        double largestShare = 1.25;
    };

    ConcurrencyGovernor();
    explicit ConcurrencyGovernor(Options options);

    /** A pause between two events of a stream with this target. */
    void onPause(Duration pause, std::chrono::milliseconds target, TimePoint now);

    /** A first event came so long after the request was sent. */
    void onFirstEvent(Duration latency);

    /** Moves the bound if a window is over; `inFlight` is what the service has now, of all entries. */
    void update(std::uint32_t inFlight, std::uint32_t places, TimePoint now);

    /** Why nothing is known of the engines' pace. */
    enum class RestartCause {
        NewEngines, ///< They have started anew, with experts placed without regard to demand.
        FirstSight, ///< This entry sees them for the first time; other entries may know their pace.
    };

    void restart(RestartCause cause);

    /** Bound that other entries keep, as a share of the places. A governor that sees the engines for the first time
        takes it over; one that has seen their pauses is drawn to it. */
    void onPeerShare(std::optional<double> share);

    /** The bound as a share of the places; empty before pauses have been seen. */
    std::optional<double> measuredShare() const
    {
        return isMeasured_ ? std::optional(share_) : std::nullopt;
    }

    /** Requests that the service may have at once, of all entries. */
    std::uint32_t limit(std::uint32_t places) const;

    /** Usual time from sending to the first event. */
    Duration firstEventLatency() const
    {
        return firstEventLatency_;
    }

    /** Whether the engines are too slow for the target with however few requests. */
    bool isTargetOutOfReach() const
    {
        return isTargetOutOfReach_;
    }

    /** Quantile of the pauses over their target in the last window. */
    double lastPressure() const
    {
        return lastPressure_;
    }

private:
    Options options_;
    /** Bound as a share of the places. */
    double share_;
    /** Whether the bound rests on pauses that were seen since the start or the last restart. */
    bool isMeasured_ = false;
    /** Whether bounds of other entries can be of the same engines. */
    bool trustsPeers_ = true;
    std::vector<double> samples_;
    TimePoint windowStart_;
    double lastPressure_ = 0;
    bool isTargetOutOfReach_ = false;
    Duration firstEventLatency_ = std::chrono::milliseconds(150);
};

} // namespace hornbeamlane
