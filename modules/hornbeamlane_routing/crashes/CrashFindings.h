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
    /** Traits that may crash servers, sorted: a request with one of them runs alone, to find out. */
    std::vector<TraitHash> suspects;
    /** When the findings change by themselves; empty if they do not. */
    std::optional<TimePoint> changesAt;

    /** They change at this moment too. */
    void noteChange(TimePoint at);
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
    /** Time within which a crash that may only be a cut has to be confirmed, and for which what was at it is suspect.
     */
    std::chrono::milliseconds doubt = std::chrono::seconds(15);
    /** Time after the last of several such crashes for which requests with what was at all of them are refused. */
    std::chrono::milliseconds doubtfulHold = std::chrono::seconds(5);
    /** Such crashes, one after the other, that prove as much as confirmed ones against a request that comes again: a
        sound one is answered in between. */
    std::size_t doubtfulToQuarantine = 3;
    /** Such crashes against a part, whose requests may each be lost once; and any crashes against what servers had
       begun to answer before. */
    std::size_t crashesToQuarantineProven = 5;
    /** Crashes so close to each other count as one against a part with which answers had begun before: they may have a
       cause in common that is no request, and the part had no chance to be cleared in between. */
    std::chrono::milliseconds together{100};
    /** Time after the second crash for which requests of an origin are refused that was at several; doubles with each
        further one. */
    std::chrono::milliseconds firstOriginHold{5000};
    std::chrono::milliseconds longestOriginHold{20000};
    /** More crashes so close to each other than this count as a cut or a loss of power, unless one trait was at most of
        them. */
    std::size_t mostTogether = 3;
};

/** Whether a server is likely to have crashed by a request: it was seen to start again, or had begun an answer. */
bool isLikely(const ServerCrash &crash);

/**
    Explains crashes by as few traits as possible.

    The trait that was at most crashes explains all of these; what else was at them is not held against it any more.
*/
CrashFindings findCulprits(const std::vector<ServerCrash> &crashes, const CrashRules &rules, TimePoint now);

} // namespace hornbeamlane
