#include "hornbeamlane_routing/crashes/CrashFindings.h"

#include <algorithm>
#include <map>
#include <set>

namespace hornbeamlane {

namespace {

using Crashes = std::set<const ServerCrash *>;
using CrashesByTrait = std::map<TraitHash, Crashes>;
using Traits = std::set<TraitHash>;

/** Open traits of the likely candidates of each crash. */
CrashesByTrait crashesByTrait(const Crashes &crashes)
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
            if (!crash->isCleared(traits.whole)) {
                result[traits.whole].insert(crash);
            }
        }
    }
    return result;
}

bool hadBegunBefore(TraitHash trait, const Crashes &crashes)
{
    return std::any_of(crashes.begin(), crashes.end(),
                       [trait](const ServerCrash *crash) { return crash->hadBegunBefore(trait); });
}

/** Those traits with which no answer had begun before; all of them if there is none. */
Traits leastProven(const Traits &traits, const Crashes &crashes)
{
    Traits unproven;
    std::copy_if(traits.begin(), traits.end(), std::inserter(unproven, unproven.end()),
                 [&crashes](TraitHash trait) { return !hadBegunBefore(trait, crashes); });
    return unproven.empty() ? traits : unproven;
}

TimePoint lastOf(const Crashes &crashes)
{
    TimePoint last;
    for (const auto *crash : crashes) {
        last = std::max(last, crash->at);
    }
    return last;
}

void noteChange(CrashFindings &findings, TimePoint at, TimePoint now)
{
    if (at > now && (!findings.changesAt || at < *findings.changesAt)) {
        findings.changesAt = at;
    }
}

/** The crashes of the trait that was at most of them; of equals one with which no answer had begun before. */
const Crashes *largest(const CrashesByTrait &byTrait)
{
    const Crashes *most = nullptr;
    bool isProven = false;
    for (const auto &[trait, crashes] : byTrait) {
        const bool hadBegun = hadBegunBefore(trait, crashes);
        if (most == nullptr || crashes.size() > most->size()
            || (crashes.size() == most->size() && isProven && !hadBegun)) {
            most = &crashes;
            isProven = hadBegun;
        }
    }
    return most;
}

/** Takes out the crashes that one culprit explains; false if no trait was at enough of them. */
bool takeCulprit(Crashes &unexplained, const CrashRules &rules, TimePoint now, CrashFindings &findings)
{
    const auto byTrait = crashesByTrait(unexplained);
    const auto *most = largest(byTrait);
    if (most == nullptr || most->size() < rules.crashesToQuarantine) {
        return false;
    }
    const auto explained = *most;
    Traits together;
    for (const auto &[trait, crashes] : byTrait) {
        if (crashes == explained) {
            together.insert(trait);
        }
    }
    const auto guilty = leastProven(together, explained);
    const auto until = lastOf(explained) + rules.quarantine;
    if (now < until) {
        findings.culprits.push_back(
            {.traits = {guilty.begin(), guilty.end()}, .until = until, .crashes = explained.size()});
        noteChange(findings, until, now);
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

bool hadHead(const ServerCrash &crash)
{
    return std::any_of(crash.candidates.begin(), crash.candidates.end(),
                       [](const CrashCandidate &candidate) { return candidate.hadHead; });
}

/** Judges a crash that no culprit explains. */
void judgeSingle(const ServerCrash &crash, const CrashRules &rules, TimePoint now, CrashFindings &findings)
{
    const auto heldUntil = crash.at + rules.hold;
    const auto suspectUntil = crash.at + rules.suspicion;
    const auto explanation = hadHead(crash) ? onlyExplanation(crash) : Traits();
    if (!explanation.empty() && now < heldUntil) {
        findings.culprits.push_back(
            {.traits = {explanation.begin(), explanation.end()}, .until = heldUntil, .crashes = 1});
        noteChange(findings, heldUntil, now);
        return;
    }
    if (now >= suspectUntil) {
        return;
    }
    noteChange(findings, suspectUntil, now);
    for (const auto &[trait, crashes] : crashesByTrait({&crash})) {
        findings.suspects.push_back(trait);
    }
}

} // namespace

CrashFindings findCulprits(const std::vector<ServerCrash> &crashes, const CrashRules &rules, TimePoint now)
{
    CrashFindings findings;
    Crashes unexplained;
    for (const auto &crash : crashes) {
        unexplained.insert(&crash);
    }
    while (takeCulprit(unexplained, rules, now, findings)) {}
    for (const auto *crash : unexplained) {
        judgeSingle(*crash, rules, now, findings);
    }
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
