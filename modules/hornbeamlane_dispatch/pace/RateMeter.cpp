#include "hornbeamlane_dispatch/pace/RateMeter.h"

#include <cmath>

namespace hornbeamlane {

namespace {

/** Time after which an event counts for 1/e of its first weight. */
constexpr std::chrono::duration<double> memory{1.0};

} // namespace

void RateMeter::count(TimePoint now)
{
    rate_ = perSecond(now) + 1.0 / memory.count();
    updatedAt_ = now;
}

double RateMeter::perSecond(TimePoint now) const
{
    return rate_ * std::exp(-(std::chrono::duration<double>(now - updatedAt_) / memory));
}

} // namespace hornbeamlane
