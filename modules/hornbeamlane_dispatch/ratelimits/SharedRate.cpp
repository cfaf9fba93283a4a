#include "hornbeamlane_dispatch/ratelimits/SharedRate.h"

#include <algorithm>
#include <cmath>

namespace hornbeamlane {

SharedRate::SharedRate()
    : SharedRate(Options())
{
}

SharedRate::SharedRate(Options options)
    : bucket_(options)
{
}

bool SharedRate::mayTake(const Share &share, TimePoint now, RandomSource &random)
{
    bucket_.advance(now, share.heard);
    if (now - drawnAt_ >= share.delay) {
        drawnAt_ = now;
        drawAllowance(bucket_.level() * share.ofDemand, random);
    }
    return allowance_ > 0 && bucket_.level() > 0;
}

void SharedRate::drawAllowance(double tokens, RandomSource &random)
{
    // Many entries with a small part each: drawing lots for the fraction keeps their sum at what is there, where each
    // rounding up or down would send far too much or nothing.
    const auto part = std::max(0.0, tokens);
    const auto whole = std::floor(part);
    allowance_ = static_cast<std::uint32_t>(whole) + (random.unit() < part - whole ? 1U : 0U);
}

void SharedRate::onTaken()
{
    allowance_ -= std::min(allowance_, 1U);
    bucket_.take(1);
}

void SharedRate::onTakenByOthers(std::uint32_t count)
{
    bucket_.take(count);
}

} // namespace hornbeamlane
