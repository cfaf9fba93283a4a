#include "measure/MeasureDeparture.h"

#include "measure/RoutingLoad.h"

namespace hornbeamlane::measure {

namespace {

Measurement measureOne(const std::string &policy, const SpillPolicy::Options &spill, bool isSudden, std::uint64_t seed)
{
    constexpr double minute = 60;
    const RoutingLoad::Departure departure{.isSudden = isSudden};
    RoutingLoad load({.seed = seed,
                      .seconds = departure.returnsAt + minute + 5,
                      .utilisation = 0.62,
                      .countFrom = departure.leavesAt - minute,
                      .spill = spill,
                      .departure = departure});
    const auto result = load.run();
    const auto requests = static_cast<double>(result.requests);
    return {.measure = isSudden ? "data_centre_loss" : "data_centre_drain",
            .policy = policy,
            .seed = seed,
            .figures = {{"on_time_share", static_cast<double>(result.onTime) / requests},
                        {"refused_share", static_cast<double>(result.refused) / requests},
                        {"refused_share_of_highest_class",
                         static_cast<double>(result.refusedHighest) / static_cast<double>(result.highest)},
                        {"late_share", static_cast<double>(result.late) / requests},
                        {"cut_attempts", static_cast<double>(result.cut)},
                        {"run_twice", static_cast<double>(result.runTwice)},
                        {"no_new_work_after_s", result.lastNewWork - departure.leavesAt},
                        {"peak_load_of_others", result.peakOfOthers}}};
}

} // namespace

Measurements measureDeparture(const Options &options)
{
    const auto allAtOnce = [](Duration) { return 1.0; };
    const auto evenly = [](const SpillPolicy::Share &) { return 1.0; };
    const auto never = [](double, double) { return 0.0; };
    Measurements measurements;
    for (const auto seed : options.seeds) {
        for (const bool isSudden : {false, true}) {
            measurements.push_back(measureOne("ramp_and_free_capacity", {}, isSudden, seed));
            measurements.push_back(measureOne("immediate_full_return", {.ramp = allAtOnce}, isSudden, seed));
            measurements.push_back(measureOne("spill_evenly", {.weight = evenly, .shedding = never}, isSudden, seed));
        }
    }
    return measurements;
}

} // namespace hornbeamlane::measure
