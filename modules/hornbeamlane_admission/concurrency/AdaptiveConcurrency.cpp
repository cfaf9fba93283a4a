#include "hornbeamlane_admission/concurrency/AdaptiveConcurrency.h"

#include <algorithm>

namespace hornbeamlane {

namespace {

// A percentile of fewer samples follows single requests.
constexpr std::uint32_t minFirstTokens = 8;
constexpr std::uint32_t minIntervals = 40;

} // namespace

AdaptiveConcurrency::AdaptiveConcurrency(Options options)
    : options_(std::move(options))
    , limit_({.minimum = options_.minimum, .maximum = options_.maximum, .adapt = options_.adapt})
{
}

void AdaptiveConcurrency::setBounds(std::uint32_t minimum, std::uint32_t maximum)
{
    limit_.setBounds(minimum, maximum);
}

std::uint32_t AdaptiveConcurrency::limit() const
{
    return static_cast<std::uint32_t>(limit_.value());
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
    limit_.follow(options_.targetFraction / std::max(worst, 0.01), highestRunning_);
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
