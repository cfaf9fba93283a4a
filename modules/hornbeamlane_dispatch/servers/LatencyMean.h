#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"

#include <cstdint>

namespace hornbeamlane {

namespace detail {

inline double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace detail

/** Latencies of one or several answers of a server, with the requests that it had meanwhile. */
struct LatencySample
{
    /** Mean of the answers. */
    Duration latency{};
    /** Standard deviation among them; zero for one. */
    Duration deviation{};
    /** Requests of all entries at the server, those answered included. */
    double inFlight = 1;
    std::uint32_t answers = 1;
};

/** Mean of the latencies of recent answers and how far it can be trusted. */
class LatencyMean final
{
public:
    struct Options
    {
        /** Answers after which one counts for little. */
        double memory = 64;
        /** The same in time; zero while no time passes it. */
        Duration halfLife = std::chrono::seconds(10);
        /** With fewer answers the mean says nothing. */
        double minAnswers = 4;
    };

    LatencyMean();
    explicit LatencyMean(Options options);

    void add(const LatencySample &sample, TimePoint now);
    void setHalfLife(Duration halfLife);
    void forget(TimePoint now);
    void clear();

    /** Whether enough answers are remembered to say anything. */
    bool isKnown() const
    {
        return weight_ >= options_.minAnswers;
    }

    /** In seconds, as are the bounds below; only of use if isKnown(). */
    double mean() const;

    /** Requests at the server, by mean of the answers. */
    double meanInFlight() const;

    /** The mean less or plus so many standard errors. */
    double lowerBound(double errors) const;
    double upperBound(double errors) const;

private:
    double standardError() const;

    Options options_;
    double weight_ = 0;
    double sum_ = 0;
    double squares_ = 0;
    double inFlightSum_ = 0;
    TimePoint forgottenAt_;
};

} // namespace hornbeamlane
