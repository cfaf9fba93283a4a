#include "hornbeamlane_admission/concurrency/ColdStartLimiter.h"

#include <algorithm>
#include <cmath>

namespace hornbeamlane {

namespace {

constexpr std::size_t medianWindow = 31;
// With fewer samples a single odd prompt moves the median too far.
constexpr std::size_t minMedianSamples = 8;

} // namespace

ColdStartLimiter::ColdStartLimiter(Options options)
    : options_(std::move(options))
{
    HORNBEAMLANE_ASSERT(options_.coldConcurrency >= 1 && options_.concurrency >= options_.coldConcurrency);
    if (!options_.startLimit) {
        options_.startLimit = [](const Options &current) { return current.coldConcurrency; };
    }
    if (!options_.mayGrowUnproved) {
        options_.mayGrowUnproved = [](std::uint32_t growth, const Options &current) {
            return growth <= current.coldConcurrency;
        };
    }
    limit_ = options_.startLimit(options_);
    minima_.push_back({});
}

void ColdStartLimiter::setBounds(std::uint32_t coldConcurrency, std::uint32_t concurrency)
{
    options_.concurrency = std::max(concurrency, 1U);
    options_.coldConcurrency = std::clamp(coldConcurrency, 1U, options_.concurrency);
    limit_ = std::clamp<double>(limit_, options_.coldConcurrency, options_.concurrency);
}

std::uint32_t ColdStartLimiter::limit() const
{
    return static_cast<std::uint32_t>(limit_);
}

bool ColdStartLimiter::mayStart(std::uint32_t leftovers) const
{
    if (running_ + leftovers >= limit()) {
        return false;
    }
    return options_.mayGrowUnproved(running_ + 1 - minima_.front().running, options_);
}

std::uint64_t ColdStartLimiter::started()
{
    ++running_;
    ++lastNumber_;
    noteRunning();
    return lastNumber_;
}

void ColdStartLimiter::finished()
{
    HORNBEAMLANE_ASSERT(running_ > 0);
    --running_;
    noteRunning();
}

void ColdStartLimiter::noteRunning()
{
    while (!minima_.empty() && minima_.back().running >= running_) {
        minima_.pop_back();
    }
    minima_.push_back({.number = lastNumber_, .running = running_});
}

void ColdStartLimiter::noteProof(std::uint64_t number)
{
    // An entry holds from its own number up to the next entry's, so it ends when the next one starts at or before the
    // proof.
    while (minima_.size() > 1 && minima_[1].number <= number) {
        minima_.pop_front();
    }
}

bool ColdStartLimiter::firstToken(std::uint64_t number, Duration latency, TimePoint now)
{
    if (number <= ignoredUpTo_) {
        return true;
    }
    const bool hasMedian = samples_.size() >= minMedianSamples;
    const auto slowAfter =
        hasMedian ? std::chrono::duration_cast<Duration>(median() * options_.slowFactor) : options_.firstTokenTarget;
    if (latency > slowAfter && hasMedian) {
        successes_ = 0;
        if (++slowInARow_ >= options_.slowLimit) {
            fallBackToCold(now);
            return false;
        }
        return true;
    }
    slowInARow_ = 0;
    if (samples_.size() < medianWindow) {
        samples_.push_back(latency);
    } else {
        samples_[nextSample_] = latency;
        nextSample_ = (nextSample_ + 1) % medianWindow;
    }
    if (latency > slowAfter) {
        successes_ = 0;
        return true;
    }
    noteProof(number);
    ++successes_;
    grow(now);
    return true;
}

void ColdStartLimiter::grow(TimePoint now)
{
    if (!hasChanged_) {
        lastChange_ = now;
        hasChanged_ = true;
    }
    if (successes_ < limit() || now - lastChange_ < options_.growthInterval || limit() >= options_.concurrency) {
        return;
    }
    // The ceiling lets a limit of 1 grow.
    limit_ = std::min<double>(std::ceil(limit_ * options_.growthFactor), options_.concurrency);
    lastChange_ = now;
    successes_ = 0;
}

void ColdStartLimiter::fallBackToCold(TimePoint now)
{
    limit_ = std::min<double>(options_.startLimit(options_), options_.concurrency);
    lastChange_ = now;
    hasChanged_ = true;
    successes_ = 0;
    slowInARow_ = 0;
    ignoredUpTo_ = lastNumber_;
    // The old median describes another engine state. Keeping it could hold the limit at cold for ever when the prompts
    // have become longer.
    samples_.clear();
    nextSample_ = 0;
}

double ColdStartLimiter::warmFraction() const
{
    if (options_.concurrency <= options_.coldConcurrency) {
        return 1;
    }
    const double fraction = (limit_ - options_.coldConcurrency) / (options_.concurrency - options_.coldConcurrency);
    return std::clamp(fraction, 0.0, 1.0);
}

Duration ColdStartLimiter::median() const
{
    auto sorted = samples_;
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    return *middle;
}

} // namespace hornbeamlane
