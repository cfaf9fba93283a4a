#pragma once

#include "hornbeamlane_routing/crashes/CrashFindings.h"

namespace hornbeamlane {

/**
    Finds origins whose requests crash servers one after the other though they share nothing else.

    Two crashes with different requests of an origin, not outweighed by sound ones since, are enough. Its requests are
    refused for a while and then tried one at a time, until sound ones outweigh the crashes.
*/
void findOrigins(const std::vector<ServerCrash> &crashes, const CrashRules &rules, TimePoint now,
                 CrashFindings &findings);

} // namespace hornbeamlane
