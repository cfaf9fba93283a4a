#include "hornbeamlane_dispatch/servers/LatencyMean.h"

#include <algorithm>
#include <cmath>

namespace hornbeamlane {

namespace {

/** Deviation assumed at least, as a share of the mean: a few equal answers prove less than they seem to. */
constexpr double leastDeviation = 0.1;

} // namespace

LatencyMean::LatencyMean()
    : LatencyMean(Options())
{
}

LatencyMean::LatencyMean(Options options)
    : options_(options)
{
}

void LatencyMean::add(const LatencySample &sample, TimePoint now)
{
    forget(now);
    const double count = sample.answers;
    const double kept = std::pow(1 - 1 / options_.memory, count);
    const double latency = detail::secondsOf(sample.latency);
    const double deviation = detail::secondsOf(sample.deviation);
    weight_ = weight_ * kept + count;
    sum_ = sum_ * kept + count * latency;
    squares_ = squares_ * kept + count * (latency * latency + deviation * deviation);
    inFlightSum_ = inFlightSum_ * kept + count * sample.inFlight;
}

void LatencyMean::setHalfLife(Duration halfLife)
{
    options_.halfLife = halfLife;
}

void LatencyMean::forget(TimePoint now)
{
    if (now <= forgottenAt_) {
        return;
    }
    const double kept = std::exp2(-detail::secondsOf(now - forgottenAt_) / detail::secondsOf(options_.halfLife));
    forgottenAt_ = now;
    weight_ *= kept;
    sum_ *= kept;
    squares_ *= kept;
    inFlightSum_ *= kept;
}

void LatencyMean::clear()
{
    weight_ = 0;
    sum_ = 0;
    squares_ = 0;
    inFlightSum_ = 0;
}

double LatencyMean::mean() const
{
    return weight_ > 0 ? sum_ / weight_ : 0;
}

double LatencyMean::meanInFlight() const
{
    return weight_ > 0 ? inFlightSum_ / weight_ : 0;
}

double LatencyMean::lowerBound(double errors) const
{
    return mean() - errors * standardError();
}

double LatencyMean::upperBound(double errors) const
{
    return mean() + errors * standardError();
}

double LatencyMean::standardError() const
{
    if (weight_ <= 0) {
        return 0;
    }
    const double average = mean();
    const double variance = std::max(squares_ / weight_ - average * average, 0.0);
    return std::max(std::sqrt(variance), leastDeviation * average) / std::sqrt(weight_);
}

} // namespace hornbeamlane
