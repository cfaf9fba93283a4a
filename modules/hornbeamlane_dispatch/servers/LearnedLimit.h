#pragma once

#include "hornbeamlane_base/concurrency/GradientLimit.h"
#include "hornbeamlane_dispatch/servers/LatencyMean.h"

#include <optional>

namespace hornbeamlane {

/**
    Learns from latencies how many requests one server takes well.

    A server that gives all its requests their time answers as fast with many as with few. One that does not has as many
    requests in work as it would need for the same answers a second without slowing down; the others wait in it.
*/
class LearnedLimit final
{
public:
    struct Options
    {
        /** Latency over that with few requests above which the limit is lowered. Entries send a quarter more than what
            a server takes well, which makes it that much slower at most. */
        double outOfProportion = 1.25;
        /** The same up to which it is raised. */
        double inProportion = 1.1;
        /** Standard errors by which a difference of latencies must exceed chance. A wrong step takes capacity away. */
        double confidence = 2.5;
        /** Answers between two changes, and after a step down before its effect is judged. */
        std::uint32_t answersPerChange = 8;
        std::uint32_t answersPerTrial = 32;
        /** Standard errors by which latencies must be nearer to what fewer requests would make them than to what they
            were. */
        double trialConfidence = 1.5;
        std::chrono::milliseconds changeInterval{100};
        /** Time after a step down that was taken back in which there is no further one; doubles up to the bound. */
        std::chrono::milliseconds trialPause{2000};
        std::chrono::milliseconds maxTrialPause{60000};
        /** Time in which half of what the limit was lowered by is forgotten. */
        std::chrono::seconds relaxHalfLife{60};
        /** Time in which half of what is known of the latency is forgotten, if answers take less than a quarter of it.
         */
        std::chrono::milliseconds latencyHalfLife{2000};
        /** The same for the latency with few requests, as a multiple. */
        double fewRequestsMemory = 15;
    };

    LearnedLimit(Options options, std::uint32_t slots);

    /** The server states another number of slots. */
    void setSlots(std::uint32_t slots);

    /** Takes answers; those that cannot be are left out. The limit is lowered only if it may be. */
    void add(const LatencySample &sample, bool mayStepDown, TimePoint now);

    /** Whether it has been lowered and it is not known yet whether that has shortened latencies. */
    bool isTrying() const
    {
        return trial_.has_value();
    }

    /** Requests that the server takes well, 1 to its slots. */
    double value() const
    {
        return limit_.value();
    }

    bool isLowered() const
    {
        return !limit_.isAtMaximum();
    }

    /** Latency in seconds of the fastest server of the service. Another one that always has many requests may be slow
       or have too many, which a step down shows. */
    void setUsualLatency(double seconds)
    {
        usualLatency_ = seconds;
    }

    /** Lets time pass without answers. */
    void advance(TimePoint now);

    /** Latency with as many requests as it has had lately. */
    const LatencyMean &latency() const
    {
        return recent_;
    }

private:
    /** A step down whose effect is not known yet. */
    struct Trial
    {
        double limitBefore = 0;
        double latencyBefore = 0;
        double inFlightBefore = 0;
        /** Of the answers since. */
        LatencyMean latency;
        std::uint32_t answers = 0;
        TimePoint startedAt;
    };

    void adapt(bool mayStepDown, TimePoint now);
    void stepDown(double reachable);
    /** Latency in seconds that the server may reach with fewer requests; zero if nothing is known of it. */
    double reachableLatency() const;
    /** Takes the last step down back unless it has shortened latencies; true while that is open. */
    bool judgeTrial(TimePoint now);
    void takeBack(TimePoint now);
    void adaptMemory();

    Options options_;
    std::uint32_t slots_ = 1;
    GradientLimit limit_;
    LatencyMean withFew_;
    LatencyMean withMany_;
    LatencyMean recent_;
    double usualLatency_ = 0;
    std::optional<Trial> trial_;
    std::chrono::milliseconds trialPause_{0};
    TimePoint noTrialBefore_;
    std::uint32_t answers_ = 0;
    double highestInFlight_ = 0;
    TimePoint adaptedAt_;
    TimePoint advancedAt_;
};

} // namespace hornbeamlane
