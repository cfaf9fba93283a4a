#pragma once

#include "hornbeamlane_routing/crashes/CrashFindings.h"
#include "hornbeamlane_routing/crashes/CrashGroups.h"

namespace hornbeamlane {

/**
    Finds requests that come again as they were and were at crash after crash; returns the crashes that they explain.

    Requests that servers had answered before are left out: many callers may send them, and whatever crashes servers,
    some are there.

    A whole request is so special that also crashes count which prove nothing against a part or an origin: those of many
    servers at once, those that a server which has started again quickly seems to refute, and those at which the answer
    to another request had begun.
*/
detail::Crashes findRepeatedRequests(const std::vector<ServerCrash> &crashes, const CrashRules &rules, TimePoint now,
                                     CrashFindings &findings);

} // namespace hornbeamlane
