#include "hornbeamlane_membership/hosts/ContactWatch.h"

#include <algorithm>

namespace hornbeamlane {

ContactWatch::ContactWatch(Options options, TimePoint start)
    : options_(std::move(options))
    , lastContact_(start)
{
}

void ContactWatch::noteContact(TimePoint now)
{
    lastContact_ = std::max(lastContact_, now);
}

bool ContactWatch::isCutOff(TimePoint now) const
{
    return now - lastContact_ >= options_.silenceLimit;
}

bool ContactWatch::mayServe(CutOffPolicy policy, TimePoint now) const
{
    return !isCutOff(now) || !options_.stopsWhenCutOff(policy);
}

} // namespace hornbeamlane
