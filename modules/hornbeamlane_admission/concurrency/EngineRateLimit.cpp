#include "hornbeamlane_admission/concurrency/EngineRateLimit.h"

namespace hornbeamlane {

EngineRateLimit::EngineRateLimit(RateBucket::Options options)
    : options_(options)
{
}

bool EngineRateLimit::onAnswer(std::optional<double> perSecond, TimePoint sentAt, TimePoint now)
{
    // The answer to an earlier request may have been written before the limit was named.
    if (!perSecond && sentAt <= namedAt_) {
        return false;
    }
    const bool isChange = perSecond != perSecond_;
    if (perSecond && !perSecond_) {
        bucket_ = RateBucket(options_);
    }
    if (perSecond) {
        // What has come until now came at the rate until now.
        fill(now);
        bucket_.setRate(*perSecond);
        namedAt_ = now;
    }
    perSecond_ = perSecond;
    return isChange;
}

bool EngineRateLimit::mayStart(TimePoint now)
{
    return timeUntil(1, now) == Duration::zero();
}

void EngineRateLimit::onStarted()
{
    bucket_.take(1);
}

Duration EngineRateLimit::timeUntil(std::size_t requests, TimePoint now)
{
    if (!perSecond_) {
        return Duration::zero();
    }
    fill(now);
    return bucket_.timeUntil(requests);
}

std::optional<TimePoint> EngineRateLimit::nextStart() const
{
    const auto wait = bucket_.timeUntil(1);
    return perSecond_ && wait > Duration::zero() ? std::optional(filledAt_ + wait) : std::nullopt;
}

void EngineRateLimit::fill(TimePoint now)
{
    bucket_.advance(now);
    filledAt_ = now;
}

} // namespace hornbeamlane
