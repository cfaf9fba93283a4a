#include "hornbeamlane_routing/crashes/CrashFindings.h"

#include "hornbeamlane_routing/crashes/CrashGroups.h"
#include "hornbeamlane_routing/crashes/OriginFindings.h"
#include "hornbeamlane_routing/crashes/RepeatedRequestFindings.h"

#include <algorithm>
#include <map>
#include <set>

namespace hornbeamlane {

namespace {

using detail::Crashes;
using detail::doubled;
using detail::groupsOf;
using detail::hadBegunBefore;
using detail::lastOf;
using CrashesByTrait = std::map<TraitHash, Crashes>;
using Traits = std::set<TraitHash>;

/** Open traits of the likely candidates of each crash, and all requests at it as a whole; of those crashes that a
    request which came again explains, no request that servers had answered before. */
CrashesByTrait crashesByTrait(const Crashes &crashes, const Crashes &explained = {})
{
    CrashesByTrait result;
    for (const auto *crash : crashes) {
        for (const auto *candidate : crash->likelyCandidates()) {
            const auto &traits = candidate->traits;
            for (const auto part : traits.parts) {
                if (!crash->isCleared(part)) {
                    result[part].insert(crash);
                }
            }
        }
        for (const auto &candidate : crash->candidates) {
            const auto whole = candidate.traits.whole;
            const bool isElsewhere = explained.contains(crash) && crash->hadBegunBefore(whole);
            if (!crash->isCleared(whole) && !isElsewhere) {
                result[whole].insert(crash);
            }
        }
    }
    return result;
}

/** Those traits with which no answer had begun before; all of them if there is none. */
Traits leastProven(const Traits &traits, const Crashes &crashes)
{
    Traits unproven;
    std::copy_if(traits.begin(), traits.end(), std::inserter(unproven, unproven.end()),
                 [&crashes](TraitHash trait) { return !hadBegunBefore(trait, crashes); });
    return unproven.empty() ? traits : unproven;
}

/** Leaves out the crashes of many servers at the same moment, except those of a trait that was at most of them. */
Crashes withoutCuts(const Crashes &crashes, const CrashRules &rules)
{
    Crashes result;
    for (const auto &group : groupsOf(crashes, rules.together)) {
        if (group.size() <= rules.mostTogether) {
            result.insert(group.begin(), group.end());
            continue;
        }
        for (const auto &[trait, ofTrait] : crashesByTrait(group)) {
            if (ofTrait.size() * 2 > group.size()) {
                result.insert(ofTrait.begin(), ofTrait.end());
            }
        }
    }
    return result;
}

/** How much speaks against a trait that was at these crashes. */
std::size_t weightOf(TraitHash trait, const Crashes &crashes, const CrashRules &rules)
{
    if (!hadBegunBefore(trait, crashes)) {
        return crashes.size();
    }
    return groupsOf(crashes, rules.together).size();
}

/** The crashes of the trait that most speaks against; of equals one with which no answer had begun before. */
struct Heaviest
{
    Crashes crashes;
    std::size_t weight = 0;
};

Heaviest heaviest(const CrashesByTrait &byTrait, const CrashRules &rules)
{
    Heaviest result;
    bool isProven = false;
    for (const auto &[trait, crashes] : byTrait) {
        const bool hadBegun = hadBegunBefore(trait, crashes);
        const auto weight = weightOf(trait, crashes, rules);
        if (weight > result.weight || (weight == result.weight && isProven && !hadBegun)) {
            result = {.crashes = crashes, .weight = weight};
            isProven = hadBegun;
        }
    }
    return result;
}

/** How long after the last of the crashes requests are refused with traits that were at all of them. */
std::chrono::milliseconds holdFor(const Traits &traits, const Crashes &crashes, const CrashRules &rules)
{
    const auto times = groupsOf(crashes, rules.together).size();
    if (times >= rules.crashesToQuarantineProven) {
        return rules.quarantine;
    }
    const bool isProven = std::any_of(traits.begin(), traits.end(),
                                      [&crashes](TraitHash trait) { return hadBegunBefore(trait, crashes); });
    if (isProven) {
        return doubled(rules.doubtfulHold, times - std::min(times, rules.crashesToQuarantine));
    }
    const auto likely =
        std::count_if(crashes.begin(), crashes.end(), [](const ServerCrash *crash) { return isLikely(*crash); });
    return static_cast<std::size_t>(likely) >= rules.crashesToQuarantine ? rules.quarantine : rules.doubtfulHold;
}

/** Takes out the crashes that one culprit explains; false if no trait was at enough of them. */
bool takeCulprit(Crashes &unexplained, const Crashes &explainedByRequests, const CrashRules &rules, TimePoint now,
                 CrashFindings &findings)
{
    const auto byTrait = crashesByTrait(unexplained, explainedByRequests);
    const auto [explained, weight] = heaviest(byTrait, rules);
    if (weight < rules.crashesToQuarantine) {
        return false;
    }
    Traits together;
    for (const auto &[trait, crashes] : byTrait) {
        if (crashes == explained) {
            together.insert(trait);
        }
    }
    const auto guilty = leastProven(together, explained);
    const auto until = lastOf(explained) + holdFor(guilty, explained, rules);
    const auto suspectUntil = until + rules.doubt;
    if (now < until) {
        findings.culprits.push_back(
            {.traits = {guilty.begin(), guilty.end()}, .until = until, .crashes = explained.size()});
        findings.noteChange(until);
    } else if (now < suspectUntil) {
        findings.suspects.insert(findings.suspects.end(), guilty.begin(), guilty.end());
        findings.noteChange(suspectUntil);
    }
    for (const auto *crash : explained) {
        unexplained.erase(crash);
    }
    return true;
}

/** Parts that are the one explanation of the crash: all candidates with parts that nothing speaks for have them. */
Traits onlyExplanation(const ServerCrash &crash)
{
    std::optional<Traits> common;
    for (const auto *candidate : crash.likelyCandidates()) {
        Traits unproven;
        for (const auto part : candidate->traits.parts) {
            if (!crash.isCleared(part) && !crash.hadBegunBefore(part)) {
                unproven.insert(part);
            }
        }
        if (unproven.empty()) {
            continue;
        }
        if (!common) {
            common = unproven;
            continue;
        }
        std::erase_if(*common, [&unproven](TraitHash part) { return !unproven.contains(part); });
    }
    return common.value_or(Traits());
}

/** Judges a crash that no culprit explains. */
void judgeSingle(const ServerCrash &crash, const CrashRules &rules, TimePoint now, CrashFindings &findings)
{
    const auto heldUntil = crash.at + rules.hold;
    const auto suspectUntil = crash.at + (isLikely(crash) ? rules.suspicion : rules.doubt);
    const auto explanation = crash.hasHead() ? onlyExplanation(crash) : Traits();
    if (!explanation.empty() && now < heldUntil) {
        findings.culprits.push_back(
            {.traits = {explanation.begin(), explanation.end()}, .until = heldUntil, .crashes = 1});
        findings.noteChange(heldUntil);
        return;
    }
    if (now >= suspectUntil) {
        return;
    }
    findings.noteChange(suspectUntil);
    for (const auto &[trait, crashes] : crashesByTrait({&crash})) {
        findings.suspects.push_back(trait);
    }
}

} // namespace

void CrashFindings::noteChange(TimePoint at)
{
    changesAt = std::min(changesAt.value_or(at), at);
}

bool isLikely(const ServerCrash &crash)
{
    return crash.isConfirmed || (crash.hasHead() && !crash.isVoid());
}

CrashFindings findCulprits(const std::vector<ServerCrash> &crashes, const CrashRules &rules, TimePoint now)
{
    CrashFindings findings;
    Crashes likely;
    Crashes doubtful;
    for (const auto &crash : crashes) {
        if (!crash.isVoid()) {
            (isLikely(crash) ? likely : doubtful).insert(&crash);
        }
    }
    const auto explained = findRepeatedRequests(crashes, rules, now, findings);
    likely = withoutCuts(likely, rules);
    while (takeCulprit(likely, explained, rules, now, findings)) {}
    for (const auto *crash : likely) {
        judgeSingle(*crash, rules, now, findings);
    }
    // What was at one likely crash may be explained by doubtful ones too.
    auto unexplained = withoutCuts(doubtful, rules);
    unexplained.insert(likely.begin(), likely.end());
    while (takeCulprit(unexplained, explained, rules, now, findings)) {}
    for (const auto *crash : unexplained) {
        if (!likely.contains(crash)) {
            judgeSingle(*crash, rules, now, findings);
        }
    }
    findOrigins(crashes, rules, now, findings);
    // Of a culprit with several traits, a request that has only some of them can tell which one it is.
    for (const auto &culprit : findings.culprits) {
        if (culprit.traits.size() > 1) {
            findings.suspects.insert(findings.suspects.end(), culprit.traits.begin(), culprit.traits.end());
        }
    }
    std::sort(findings.suspects.begin(), findings.suspects.end());
    findings.suspects.erase(std::unique(findings.suspects.begin(), findings.suspects.end()), findings.suspects.end());
    return findings;
}

} // namespace hornbeamlane
