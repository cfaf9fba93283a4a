#include "hornbeamlane_admission/controller/LatencyEstimate.h"

#include <cmath>

namespace hornbeamlane {

namespace {

// Weights of TCP's round-trip estimate: steady over about ten samples.
constexpr double meanWeight = 0.125;
constexpr double deviationWeight = 0.25;

} // namespace

void LatencyEstimate::add(Duration time)
{
    const auto value = static_cast<double>(time.count());
    if (!hasSamples_) {
        hasSamples_ = true;
        mean_ = value;
        deviation_ = value / 4;
        return;
    }
    deviation_ += deviationWeight * (std::abs(value - mean_) - deviation_);
    mean_ += meanWeight * (value - mean_);
}

Duration LatencyEstimate::mean() const
{
    return Duration(static_cast<Duration::rep>(mean_));
}

Duration LatencyEstimate::high() const
{
    return Duration(static_cast<Duration::rep>(mean_ + 2 * deviation_));
}

} // namespace hornbeamlane
