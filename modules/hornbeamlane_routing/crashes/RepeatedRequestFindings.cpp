#include "hornbeamlane_routing/crashes/RepeatedRequestFindings.h"

#include <algorithm>
#include <map>

namespace hornbeamlane {

namespace {

using detail::Crashes;

/** The crashes at which each request was that has not been answered since, nor before. */
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
    std::erase_if(result, [](const auto &entry) { return detail::hadBegunBefore(entry.first, entry.second); });
    return result;
}

Crashes likelyOf(const Crashes &crashes)
{
    Crashes result;
    std::copy_if(crashes.begin(), crashes.end(), std::inserter(result, result.end()),
                 [](const ServerCrash *crash) { return isLikely(*crash); });
    return result;
}

/** Whether the request was at several of the crashes. */
bool judgeRequest(TraitHash request, const Crashes &crashes, const CrashRules &rules, TimePoint now,
                  CrashFindings &findings)
{
    const auto likely = likelyOf(crashes).size();
    const bool isRepeated = crashes.size() >= rules.crashesToQuarantine;
    const bool isProven = likely >= rules.crashesToQuarantine
        || detail::groupsOf(crashes, rules.together).size() >= rules.doubtfulToQuarantine;
    const auto hold = isProven ? rules.quarantine : rules.doubtfulHold;
    const auto until = detail::lastOf(crashes) + (isRepeated ? hold : std::chrono::milliseconds(0));
    const auto suspectUntil = until + rules.doubt;
    if (now < until) {
        findings.culprits.push_back({.traits = {request}, .until = until, .crashes = crashes.size()});
        findings.noteChange(until);
    } else if (now < suspectUntil) {
        findings.suspects.push_back(request);
        findings.noteChange(suspectUntil);
    }
    return isRepeated;
}

} // namespace

Crashes findRepeatedRequests(const std::vector<ServerCrash> &crashes, const CrashRules &rules, TimePoint now,
                             CrashFindings &findings)
{
    Crashes explained;
    for (const auto &[request, ofRequest] : crashesByRequest(crashes)) {
        if (judgeRequest(request, ofRequest, rules, now, findings)) {
            explained.insert(ofRequest.begin(), ofRequest.end());
        }
    }
    return explained;
}

} // namespace hornbeamlane
