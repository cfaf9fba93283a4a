#include "hornbeamlane_base/rate/TokenBucket.h"

#include <algorithm>

namespace hornbeamlane {

namespace {

// Adding up fractions of a token must not leave a bucket just short of a whole one.
constexpr double roundingSlack = 1e-6;

double wantedLevel(double amount, double capacity)
{
    return std::min(amount, capacity) - roundingSlack;
}

} // namespace

void TokenBucket::advance(TimePoint now, double perSecond, double capacity)
{
    if (!hasLast_) {
        hasLast_ = true;
        last_ = now;
    }
    if (now > last_) {
        level_ += perSecond * std::chrono::duration<double>(now - last_).count();
        last_ = now;
    }
    level_ = std::min(level_, capacity);
}

bool TokenBucket::mayTake(double amount, double capacity) const
{
    return level_ >= wantedLevel(amount, capacity);
}

Duration TokenBucket::timeUntil(double amount, double perSecond, double capacity) const
{
    constexpr double longest = 3600;
    const double missing = std::max(0.0, wantedLevel(amount, capacity) - level_);
    const double seconds = missing < perSecond * longest ? missing / perSecond : longest;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

void TokenBucket::take(double amount)
{
    level_ -= amount;
}

} // namespace hornbeamlane
