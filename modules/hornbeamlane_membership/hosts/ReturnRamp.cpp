#include "hornbeamlane_membership/hosts/ReturnRamp.h"

#include <algorithm>

namespace hornbeamlane {

ReturnRamp::ReturnRamp(Options options)
    : options_(std::move(options))
{
    HORNBEAMLANE_ASSERT(options_.length > Duration::zero());
}

void ReturnRamp::noteAbsent(const DataCentreId &dataCentre)
{
    states_[dataCentre].isAbsent = true;
}

void ReturnRamp::notePresent(const DataCentreId &dataCentre, TimePoint now)
{
    const auto match = states_.find(dataCentre);
    if (match == states_.end()) {
        return;
    }
    if (match->second.isAbsent) {
        match->second = {.isAbsent = false, .returned = now};
    } else if (now - match->second.returned >= options_.length) {
        states_.erase(match);
    }
}

double ReturnRamp::share(const DataCentreId &dataCentre, TimePoint now) const
{
    const auto match = states_.find(dataCentre);
    if (match == states_.end()) {
        return 1;
    }
    if (match->second.isAbsent) {
        return 0;
    }
    const auto elapsed = std::chrono::duration<double>(now - match->second.returned);
    const double fraction = std::clamp(elapsed / std::chrono::duration<double>(options_.length), 0.0, 1.0);
    return std::clamp(options_.shape(options_.firstShare, fraction), 0.0, 1.0);
}

} // namespace hornbeamlane
