#pragma once

#include "hornbeamlane_dispatch/catalogue/DispatchCatalogue.h"

#include <chrono>
#include <unordered_map>

namespace hornbeamlane {

/** Recognises callers that come back after a refusal, by the time that they have left. */
class ReturningCallers final
{
public:
    /** Whether a request with that much time left is shorter than what callers of its route usually state. */
    bool isReturning(const RouteSpec &route, std::chrono::milliseconds timeLeft);

private:
    /** Time left of callers that come for the first time, by route, in milliseconds. */
    std::unordered_map<RouteId, double> usualTimeLeft_;
};

} // namespace hornbeamlane
