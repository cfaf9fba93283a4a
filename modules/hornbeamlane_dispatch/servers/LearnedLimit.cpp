#include "hornbeamlane_dispatch/servers/LearnedLimit.h"

#include <algorithm>
#include <cmath>

namespace hornbeamlane {

namespace {

/** Longer ones are errors of a clock or of a sender. */
constexpr std::chrono::hours longestLatency{1};

/** A sample that stands for more answers counts as so many. */
constexpr std::uint32_t maxAnswers = 64;

/** A server with fewer requests than this share of its limit has few. */
constexpr double fewRequests = 0.5;

/** A step down is judged only by answers with fewer requests than before, by this share at most. */
constexpr double fewerRequests = 0.85;

/** Answers that the half-life of the latency spans for a server with one request after the other. */
constexpr int answersPerHalfLife = 4;

/** Time after which a step down is taken back if it has not shown what it leads to. */
constexpr std::chrono::seconds longestTrial{10};

constexpr double growth = 1.1;

} // namespace

LearnedLimit::LearnedLimit(Options options, std::uint32_t slots)
    : options_(options)
    , slots_(std::max(slots, 1U))
    , limit_({.minimum = 1, .maximum = slots_, .adapt = {}})
{
    adaptMemory();
}

void LearnedLimit::setSlots(std::uint32_t slots)
{
    slots_ = std::max(slots, 1U);
    limit_.setBounds(1, slots_);
}

void LearnedLimit::add(const LatencySample &sample, bool mayStepDown, TimePoint now)
{
    // A request beyond the slots waits for one, so its latency says nothing about the others.
    const bool isValid = sample.latency > Duration::zero() && sample.latency <= longestLatency
        && sample.deviation >= Duration::zero() && sample.deviation <= longestLatency && sample.answers > 0
        && std::isfinite(sample.inFlight) && sample.inFlight <= slots_;
    if (!isValid) {
        return;
    }
    auto taken = sample;
    taken.inFlight = std::max(sample.inFlight, 1.0);
    taken.answers = std::min(sample.answers, maxAnswers);
    advance(now);
    const bool hasFew = taken.inFlight <= std::max(1.0, limit_.value() * fewRequests);
    (hasFew ? withFew_ : withMany_).add(taken, now);
    recent_.add(taken, now);
    answers_ += taken.answers;
    highestInFlight_ = std::max(highestInFlight_, taken.inFlight);
    if (trial_) {
        trial_->latency.add(taken, now);
        trial_->answers += taken.answers;
    }
    if (answers_ >= options_.answersPerChange && now - adaptedAt_ >= options_.changeInterval) {
        adapt(mayStepDown, now);
    }
}

void LearnedLimit::advance(TimePoint now)
{
    if (now <= advancedAt_) {
        return;
    }
    if (advancedAt_ != TimePoint{}) {
        const std::chrono::duration<double> passed(now - advancedAt_);
        limit_.relax(1 - std::exp2(-passed / std::chrono::duration<double>(options_.relaxHalfLife)));
    }
    advancedAt_ = now;
    if (trial_ && now - trial_->startedAt >= longestTrial) {
        takeBack(now);
    }
    withFew_.forget(now);
    withMany_.forget(now);
    recent_.forget(now);
}

void LearnedLimit::adapt(bool mayStepDown, TimePoint now)
{
    answers_ = 0;
    adaptedAt_ = now;
    adaptMemory();
    if (!judgeTrial(now) && withMany_.isKnown()) {
        const double many = withMany_.mean();
        const double reachable = reachableLatency();
        if (many <= options_.inProportion * (withFew_.isKnown() ? withFew_.mean() : reachable)) {
            // As fast with few requests, so a server that is slower than others is so whatever it has.
            if (isLowered()) {
                limit_.follow(growth, highestInFlight_);
                withMany_.clear();
            }
        } else if (reachable > 0 && mayStepDown && now >= noTrialBefore_
                   && withMany_.lowerBound(options_.confidence) > options_.outOfProportion * reachable) {
            stepDown(reachable);
        }
    }
    highestInFlight_ = 0;
}

double LearnedLimit::reachableLatency() const
{
    if (!withFew_.isKnown()) {
        return usualLatency_;
    }
    const double own = withFew_.upperBound(options_.confidence);
    return usualLatency_ > 0 ? std::min(own, usualLatency_) : own;
}

void LearnedLimit::stepDown(double reachable)
{
    const double inFlight = withMany_.meanInFlight();
    trial_ = {.limitBefore = limit_.value(),
              .latencyBefore = withMany_.mean(),
              .inFlightBefore = inFlight,
              .latency = {},
              .startedAt = adaptedAt_};
    // From what it has, or the step might not change that. As many are in work as give the same answers a second at the
    // latency with few requests.
    limit_.restore(std::min(limit_.value(), inFlight));
    limit_.follow(inFlight * reachable / withMany_.mean() / limit_.value(), highestInFlight_);
    withMany_.clear();
}

// The requests may have become longer, or the server slower, whatever its load. Then fewer of them do not shorten the
// latency, and without this the limit would fall to one and the service's capacity with it.
bool LearnedLimit::judgeTrial(TimePoint now)
{
    if (!trial_ || trial_->answers < options_.answersPerTrial) {
        return trial_.has_value();
    }
    const auto &after = trial_->latency;
    const double share = after.meanInFlight() / trial_->inFlightBefore;
    const double halfway = trial_->latencyBefore * (1 + share) / 2;
    if (share > fewerRequests || after.upperBound(options_.trialConfidence) > halfway) {
        takeBack(now);
        return false;
    }
    trial_.reset();
    trialPause_ = {};
    return false;
}

void LearnedLimit::takeBack(TimePoint now)
{
    limit_.restore(trial_->limitBefore);
    trial_.reset();
    withFew_.clear();
    trialPause_ = std::clamp(trialPause_ * 2, options_.trialPause, options_.maxTrialPause);
    noTrialBefore_ = now + trialPause_;
}

void LearnedLimit::adaptMemory()
{
    const std::chrono::duration<double> latency(recent_.isKnown() ? recent_.mean() : 0);
    const auto halfLife =
        std::max<std::chrono::duration<double>>(options_.latencyHalfLife, latency * answersPerHalfLife);
    withMany_.setHalfLife(std::chrono::duration_cast<Duration>(halfLife));
    withFew_.setHalfLife(std::chrono::duration_cast<Duration>(halfLife * options_.fewRequestsMemory));
    recent_.setHalfLife(std::chrono::duration_cast<Duration>(halfLife * 2));
}

} // namespace hornbeamlane
