#include "hornbeamlane_admission/concurrency/AdaptiveConcurrency.h"

#include <algorithm>
#include <cmath>

namespace hornbeamlane {

namespace {

// A percentile of fewer samples follows single requests.
constexpr std::uint32_t minFirstTokens = 8;
constexpr std::uint32_t minIntervals = 40;
// Bounds of one change: a single bad window must not empty the engine.
constexpr double smallestGradient = 0.7;
constexpr double largestGradient = 1.1;

double followGradient(double limit, double gradient)
{
    const double bounded = std::clamp(gradient, smallestGradient, largestGradient);
    // A step of at least 1, or small limits would never grow after truncation.
    return bounded < 1 ? limit * bounded : limit + std::max(1.0, limit * (bounded - 1));
}

} // namespace

AdaptiveConcurrency::AdaptiveConcurrency(Options options)
    : options_(std::move(options))
{
    if (!options_.adapt) {
        options_.adapt = followGradient;
    }
    limit_ = options_.maximum;
}

void AdaptiveConcurrency::setBounds(std::uint32_t minimum, std::uint32_t maximum)
{
    // A limit that no latency has lowered follows the maximum.
    const bool isUnbounded = limit_ >= options_.maximum;
    options_.maximum = std::max(maximum, 1U);
    options_.minimum = std::clamp(minimum, 1U, options_.maximum);
    limit_ = isUnbounded ? options_.maximum : std::clamp<double>(limit_, options_.minimum, options_.maximum);
}

std::uint32_t AdaptiveConcurrency::limit() const
{
    return static_cast<std::uint32_t>(limit_);
}

void AdaptiveConcurrency::firstToken(Duration time, Duration target, std::uint32_t running, TimePoint now)
{
    firstTokens_.add(time, target, 1);
    adapt(running, now);
}

void AdaptiveConcurrency::tokens(std::uint32_t count, Duration interval, Duration target, std::uint32_t running,
                                 TimePoint now)
{
    intervals_.add(interval, target, count);
    adapt(running, now);
}

void AdaptiveConcurrency::adapt(std::uint32_t running, TimePoint now)
{
    if (!hasWindow_) {
        hasWindow_ = true;
        windowStart_ = now;
    }
    highestRunning_ = std::max(highestRunning_, running);
    const bool hasFirstTokens = firstTokens_.count() >= minFirstTokens;
    const bool hasIntervals = intervals_.count() >= minIntervals;
    if (now - windowStart_ < options_.window || (!hasFirstTokens && !hasIntervals)) {
        return;
    }
    double worst = hasFirstTokens ? firstTokens_.percentile95() : 0;
    if (hasIntervals) {
        worst = std::max(worst, intervals_.percentile95());
    }
    const double gradient = options_.targetFraction / std::max(worst, 0.01);
    // Good latencies below the limit say nothing about a higher limit.
    if (gradient < 1 || highestRunning_ + 1 >= limit()) {
        limit_ = std::clamp<double>(options_.adapt(limit_, gradient), options_.minimum, options_.maximum);
    }
    firstTokens_.clear();
    intervals_.clear();
    highestRunning_ = running;
    windowStart_ = now;
}

void AdaptiveConcurrency::RatioWindow::add(Duration time, Duration target, std::uint32_t count)
{
    const double ratio =
        static_cast<double>(std::max(time, Duration::zero()).count()) / static_cast<double>(target.count());
    const auto bucket = std::min<double>(ratio * bucketsPerUnit, static_cast<double>(buckets_.size() - 1));
    buckets_[static_cast<std::size_t>(bucket)] += count;
    count_ += count;
}

double AdaptiveConcurrency::RatioWindow::percentile95() const
{
    const double wanted = 0.95 * count_;
    double seen = 0;
    for (std::size_t i = 0; i < buckets_.size(); ++i) {
        seen += buckets_[i];
        if (seen >= wanted) {
            return (static_cast<double>(i) + 0.5) / bucketsPerUnit;
        }
    }
    return 0;
}

void AdaptiveConcurrency::RatioWindow::clear()
{
    buckets_.fill(0);
    count_ = 0;
}

} // namespace hornbeamlane
