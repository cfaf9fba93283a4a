#pragma once

#include "hornbeamlane_routing/crashes/ServerCrash.h"

#include <optional>
#include <vector>

namespace hornbeamlane {

/** Traits that crash servers: requests that have all of them are refused. */
struct Culprit
{
    /** More than one if they have always come together, so that it is not known which of them it is. */
    std::vector<TraitHash> traits;
    TimePoint until;
    std::size_t crashes = 0;
};

/** What the known crashes say about requests. */
struct CrashFindings
{
    std::vector<Culprit> culprits;
    /** Traits that may crash servers: a request with one of them runs alone, to find out. */
    std::vector<TraitHash> suspects;
    /** When the findings change by themselves; empty if they do not. */
    std::optional<TimePoint> changesAt;
};

/** How long crashes count. */
struct CrashRules
{
    /** Crashes that make a culprit of what was at all of them. */
    std::size_t crashesToQuarantine = 2;
    /** Time after the last of them for which requests with the culprit are refused. */
    std::chrono::milliseconds quarantine = std::chrono::minutes(10);
    /** Time after a single crash with one explanation for which requests with it are refused. */
    std::chrono::milliseconds hold = std::chrono::minutes(2);
    /** Time after a single crash for which what was at it is suspect. */
    std::chrono::milliseconds suspicion = std::chrono::minutes(3);
};

/**
    Explains crashes by as few traits as possible.

    The trait that was at most crashes explains all of these; what else was at them is not held against it any more.
*/
CrashFindings findCulprits(const std::vector<ServerCrash> &crashes, const CrashRules &rules, TimePoint now);

} // namespace hornbeamlane
