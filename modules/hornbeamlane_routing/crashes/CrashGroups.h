#pragma once

#include "hornbeamlane_routing/crashes/ServerCrash.h"

#include <set>
#include <vector>

namespace hornbeamlane::detail {

using Crashes = std::set<const ServerCrash *>;

/** The crashes by time, in groups of those that are within `together` of the first of their group. */
std::vector<Crashes> groupsOf(const Crashes &crashes, std::chrono::milliseconds together);

TimePoint lastOf(const Crashes &crashes);

/** Whether a server had begun an answer with the trait before one of the crashes. */
bool hadBegunBefore(TraitHash trait, const Crashes &crashes);

/** The time, doubled that many times. */
std::chrono::milliseconds doubled(std::chrono::milliseconds time, std::size_t times);

} // namespace hornbeamlane::detail
