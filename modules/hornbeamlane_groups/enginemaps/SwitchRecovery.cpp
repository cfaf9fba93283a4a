#include "hornbeamlane_groups/enginemaps/SwitchRecovery.h"

#include <algorithm>

namespace hornbeamlane {

namespace {

using Reports = std::vector<EngineRankReport>;

/** A pass that has begun is held no longer: the report is older than that. */
bool isHolding(const EngineRankReport &report, StepNumber newest)
{
    return report.heldStep && *report.heldStep > newest;
}

/** The reports are of different ages; versions only grow. */
ExpertMapVersion newestActive(const Reports &reports)
{
    ExpertMapVersion active;
    for (const auto &report : reports) {
        active = std::max(active, report.active);
    }
    return active;
}

/** The map that all ranks have prepared; empty if they differ. */
std::optional<ExpertMapVersion> commonPrepared(const Reports &reports)
{
    const auto prepared = reports.front().prepared;
    const bool isCommon = std::all_of(reports.begin(), reports.end(),
                                      [&](const EngineRankReport &report) { return report.prepared == prepared; });
    return isCommon ? prepared : std::nullopt;
}

// Without a hold the release has been sent, and that only when all ranks were armed. A group without requests may be a
// long way from that pass, and until then it can be held again by a copy of the hold, and refuses each new map.
SwitchRecovery recoverReleased(const Reports &reports, StepNumber newest)
{
    SwitchRecovery result{.next = SwitchRecovery::Next::BeIdle, .active = newestActive(reports)};
    for (const auto &report : reports) {
        if (report.isArmed && report.armedStep) {
            result.active = std::max(result.active, report.armedMap);
            result.step = std::max(result.step, *report.armedStep);
        }
    }
    if (result.step > newest) {
        result.next = SwitchRecovery::Next::AwaitArmedPass;
    }
    result.target = result.active;
    return result;
}

/** Sets the map from the held pass on and what to do, from what the ranks are armed for. */
void decideHeld(SwitchRecovery &result, const Reports &reports, bool areNewerThanHold)
{
    bool isAnyArmed = false;
    for (const auto &report : reports) {
        isAnyArmed = isAnyArmed || report.isArmed;
        if (report.isArmed && (!report.armedStep || *report.armedStep == result.step)) {
            // Some ranks are armed: completing the switch is always possible, taking it back is not.
            result.target = report.armedMap;
            result.next = SwitchRecovery::Next::CompleteSwitch;
        }
    }
    if (result.next == SwitchRecovery::Next::CompleteSwitch) {
        return;
    }
    if (const auto prepared = commonPrepared(reports); prepared && !isAnyArmed) {
        result.target = *prepared;
        result.next = SwitchRecovery::Next::CompleteSwitch;
        return;
    }
    // A pass is held only after all ranks have prepared the map, so no arm for it can be on its way. Ranks that are
    // armed for a later pass were prepared for that one after this hold, which was carried out late.
    result.target = result.active;
    result.next = areNewerThanHold ? SwitchRecovery::Next::ReleaseOnly : SwitchRecovery::Next::AskAgain;
}

} // namespace

SwitchRecovery recoverSwitch(const Reports &reports, StepNumber newest, bool areNewerThanHold)
{
    const EngineRankReport *first = nullptr;
    std::size_t held = 0;
    for (const auto &report : reports) {
        if (!isHolding(report, newest)) {
            continue;
        }
        ++held;
        if (first == nullptr || *report.heldStep < *first->heldStep) {
            first = &report;
        }
    }
    if (first == nullptr) {
        return recoverReleased(reports, newest);
    }
    SwitchRecovery result{
        .active = newestActive(reports), .holder = first->rank, .step = *first->heldStep, .areMoreHeld = held > 1};
    decideHeld(result, reports, areNewerThanHold);
    return result;
}

} // namespace hornbeamlane
