#include "hornbeamlane_routing/crashes/RepeatedRequestFindings.h"

#include "hornbeamlane_routing/crashes/CrashGroups.h"

#include <algorithm>
#include <map>

namespace hornbeamlane {

namespace {

using detail::Crashes;

/** The crashes at which each request was that has not been answered since. */
std::map<TraitHash, Crashes> crashesByRequest(const std::vector<ServerCrash> &crashes)
{
    std::map<TraitHash, Crashes> result;
    for (const auto &crash : crashes) {
        for (const auto &candidate : crash.candidates) {
            if (!crash.isCleared(candidate.traits.whole)) {
                result[candidate.traits.whole].insert(&crash);
            }
        }
    }
    return result;
}

Crashes likelyOf(const Crashes &crashes)
{
    Crashes result;
    std::copy_if(crashes.begin(), crashes.end(), std::inserter(result, result.end()),
                 [](const ServerCrash *crash) { return isLikely(*crash); });
    return result;
}

void judgeRequest(TraitHash request, const Crashes &crashes, const CrashRules &rules, TimePoint now,
                  CrashFindings &findings)
{
    const auto times = detail::groupsOf(crashes, rules.together).size();
    const auto likelyTimes = detail::groupsOf(likelyOf(crashes), rules.together).size();
    const auto last = detail::lastOf(crashes);
    auto hold = std::chrono::milliseconds(0);
    if (likelyTimes >= rules.crashesToQuarantine || times >= rules.doubtfulToQuarantine) {
        hold = rules.quarantine;
    } else if (times >= rules.crashesToQuarantine) {
        hold = rules.doubtfulHold;
    }
    const auto until = last + hold;
    const auto suspectUntil = last + rules.doubt;
    if (now < until) {
        findings.culprits.push_back({.traits = {request}, .until = until, .crashes = crashes.size()});
        findings.noteChange(until);
    } else if (now < suspectUntil) {
        findings.suspects.push_back(request);
        findings.noteChange(suspectUntil);
    }
}

} // namespace

void findRepeatedRequests(const std::vector<ServerCrash> &crashes, const CrashRules &rules, TimePoint now,
                          CrashFindings &findings)
{
    for (const auto &[request, ofRequest] : crashesByRequest(crashes)) {
        judgeRequest(request, ofRequest, rules, now, findings);
    }
}

} // namespace hornbeamlane
