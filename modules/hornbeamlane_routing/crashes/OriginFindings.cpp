#include "hornbeamlane_routing/crashes/OriginFindings.h"

#include "hornbeamlane_routing/crashes/CrashGroups.h"

#include <algorithm>
#include <map>
#include <set>

namespace hornbeamlane {

namespace {

using detail::Crashes;

using CrashesByOrigin = std::map<TraitHash, Crashes>;

/** Leaves out those of many servers at the same moment, which are a cut or a loss of power. */
Crashes withoutCuts(const std::vector<ServerCrash> &crashes, const CrashRules &rules)
{
    Crashes all;
    for (const auto &crash : crashes) {
        if (!crash.isVoid()) {
            all.insert(&crash);
        }
    }
    Crashes result;
    for (const auto &group : detail::groupsOf(all, rules.together)) {
        if (group.size() <= rules.mostTogether) {
            result.insert(group.begin(), group.end());
        }
    }
    return result;
}

/** Requests that may have caused the crash, have an origin and have not been answered since. */
std::vector<RequestTraits> openRequests(const ServerCrash &crash)
{
    std::vector<RequestTraits> requests;
    for (const auto *candidate : crash.likelyCandidates()) {
        const auto &traits = candidate->traits;
        if (traits.origin && !crash.isCleared(traits.whole)) {
            requests.push_back(traits);
        }
    }
    return requests;
}

using RequestsByCrash = std::map<const ServerCrash *, std::vector<RequestTraits>>;

/** Requests that were at crashes of different moments, one after the other. */
std::set<TraitHash> repeatedRequests(const RequestsByCrash &requests, const CrashRules &rules)
{
    std::map<TraitHash, Crashes> crashes;
    for (const auto &[crash, open] : requests) {
        for (const auto &request : open) {
            crashes[request.whole].insert(crash);
        }
    }
    std::set<TraitHash> repeated;
    for (const auto &[whole, ofRequest] : crashes) {
        if (detail::groupsOf(ofRequest, rules.together).size() >= rules.crashesToQuarantine) {
            repeated.insert(whole);
        }
    }
    return repeated;
}

/** The open requests at each crash; a request that comes again explains its crashes, so the others there do not count.
 */
RequestsByCrash possibleCauses(const Crashes &crashes, const CrashRules &rules)
{
    RequestsByCrash requests;
    for (const auto *crash : crashes) {
        requests[crash] = openRequests(*crash);
    }
    const auto repeated = repeatedRequests(requests, rules);
    for (auto &[crash, open] : requests) {
        const auto isRepeated = [&repeated](const RequestTraits &request) { return repeated.contains(request.whole); };
        if (std::any_of(open.begin(), open.end(), isRepeated)) {
            std::erase_if(open, [&](const RequestTraits &request) { return !isRepeated(request); });
        }
    }
    return requests;
}

CrashesByOrigin crashesByOrigin(const RequestsByCrash &requests)
{
    CrashesByOrigin result;
    for (const auto &[crash, open] : requests) {
        for (const auto &request : open) {
            result[*request.origin].insert(crash);
        }
    }
    return result;
}

/** Different requests of the origin at the crashes. */
std::size_t countRequests(TraitHash origin, const Crashes &crashes, const RequestsByCrash &requests)
{
    std::set<TraitHash> wholes;
    for (const auto *crash : crashes) {
        for (const auto &request : requests.at(crash)) {
            if (request.origin == origin) {
                wholes.insert(request.whole);
            }
        }
    }
    return wholes.size();
}

std::chrono::milliseconds holdAfter(std::size_t crashes, const CrashRules &rules)
{
    const auto further = crashes - std::min(crashes, rules.crashesToQuarantine);
    return std::min(detail::doubled(rules.firstOriginHold, further), rules.longestOriginHold);
}

void judgeOrigin(TraitHash origin, const Crashes &crashes, const RequestsByCrash &requests, const CrashRules &rules,
                 TimePoint now, CrashFindings &findings)
{
    Crashes open;
    std::copy_if(crashes.begin(), crashes.end(), std::inserter(open, open.end()),
                 [origin](const ServerCrash *crash) { return !crash->isOutweighed(origin); });
    const auto openGroups = detail::groupsOf(open, rules.together).size();
    // A single request that comes again is refused as a whole.
    if (std::min(openGroups, countRequests(origin, open, requests)) < rules.crashesToQuarantine) {
        return;
    }
    const auto likely =
        std::count_if(open.begin(), open.end(), [](const ServerCrash *crash) { return isLikely(*crash); });
    const bool isConfirmed = static_cast<std::size_t>(likely) >= rules.crashesToQuarantine;
    const auto hold = holdAfter(detail::groupsOf(crashes, rules.together).size(), rules);
    const auto until = detail::lastOf(open) + (isConfirmed ? hold : std::min(hold, rules.doubtfulHold));
    if (now >= until) {
        findings.suspects.push_back(origin);
        return;
    }
    findings.culprits.push_back({.traits = {origin}, .until = until, .crashes = open.size()});
    findings.noteChange(until);
}

} // namespace

void findOrigins(const std::vector<ServerCrash> &crashes, const CrashRules &rules, TimePoint now,
                 CrashFindings &findings)
{
    const auto requests = possibleCauses(withoutCuts(crashes, rules), rules);
    for (const auto &[origin, ofOrigin] : crashesByOrigin(requests)) {
        judgeOrigin(origin, ofOrigin, requests, rules, now, findings);
    }
}

} // namespace hornbeamlane
