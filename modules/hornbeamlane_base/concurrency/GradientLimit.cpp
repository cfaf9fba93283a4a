#include "hornbeamlane_base/concurrency/GradientLimit.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hornbeamlane {

namespace {

// Bounds of one change: a single bad window must not empty the server.
constexpr double smallestGradient = 0.7;
constexpr double largestGradient = 1.1;

double followGradient(double limit, double gradient)
{
    const double bounded = std::clamp(gradient, smallestGradient, largestGradient);
    // A step of at least 1, or small limits would never grow after truncation.
    return bounded < 1 ? limit * bounded : limit + std::max(1.0, limit * (bounded - 1));
}

} // namespace

GradientLimit::GradientLimit(Options options)
    : options_(std::move(options))
    , limit_(options_.maximum)
{
    if (!options_.adapt) {
        options_.adapt = followGradient;
    }
}

void GradientLimit::setBounds(std::uint32_t minimum, std::uint32_t maximum)
{
    const bool wasAtMaximum = isAtMaximum();
    options_.maximum = std::max(maximum, 1U);
    options_.minimum = std::clamp(minimum, 1U, options_.maximum);
    limit_ = wasAtMaximum ? options_.maximum : bounded(limit_);
}

void GradientLimit::follow(double gradient, double highestRunning)
{
    // Good latencies below the limit say nothing about a higher limit.
    if (gradient < 1 || highestRunning + 1 >= std::floor(limit_)) {
        limit_ = bounded(options_.adapt(limit_, gradient));
    }
}

void GradientLimit::restore(double limit)
{
    limit_ = bounded(limit);
}

void GradientLimit::relax(double share)
{
    limit_ = bounded(limit_ + (options_.maximum - limit_) * std::clamp(share, 0.0, 1.0));
}

double GradientLimit::bounded(double limit) const
{
    return std::clamp<double>(limit, options_.minimum, options_.maximum);
}

} // namespace hornbeamlane
