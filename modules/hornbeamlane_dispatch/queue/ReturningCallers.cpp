#include "hornbeamlane_dispatch/queue/ReturningCallers.h"

#include <algorithm>

namespace hornbeamlane {

namespace {

/** Callers' patience differs by some 15 %; one with less time than this share of the usual one has come back. */
constexpr double comeBackShare = 0.8;

/** Weights of a caller with more and with less time than usual. Most have less than those that come for the first time
    while many come back. A maximum would let one caller that states a long time make all others late. */
constexpr double weightAbove = 0.05;
constexpr double weightBelow = 0.005;

} // namespace

bool ReturningCallers::isReturning(const RouteSpec &route, std::chrono::milliseconds timeLeft)
{
    const auto stated = static_cast<double>(std::min(timeLeft, route.timeout).count());
    auto &usual = usualTimeLeft_.try_emplace(route.name, stated).first->second;
    usual += (stated - usual) * (stated > usual ? weightAbove : weightBelow);
    return stated < usual * comeBackShare;
}

} // namespace hornbeamlane
