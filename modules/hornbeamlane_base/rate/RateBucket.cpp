#include "hornbeamlane_base/rate/RateBucket.h"

#include <algorithm>

namespace hornbeamlane {

RateBucket::RateBucket()
    : RateBucket(Options())
{
}

RateBucket::RateBucket(Options options)
    : options_(options)
{
}

double RateBucket::rate() const
{
    return std::clamp(perSecond_, options_.lowestPerSecond, options_.highestPerSecond);
}

void RateBucket::advance(TimePoint now, double part)
{
    const auto filling = rate() * part;
    bucket_.advance(now, filling, 1 + filling * std::chrono::duration<double>(options_.burst).count());
}

void RateBucket::take(std::size_t requests)
{
    bucket_.take(static_cast<double>(requests));
}

Duration RateBucket::timeUntil(std::size_t requests) const
{
    const auto count = static_cast<double>(requests);
    return bucket_.timeUntil(count, rate(), count);
}

} // namespace hornbeamlane
