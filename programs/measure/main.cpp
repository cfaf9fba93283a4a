#include "measure/MeasureDeparture.h"
#include "measure/MeasureGroups.h"
#include "measure/MeasureOverload.h"
#include "measure/MeasurePath.h"
#include "measure/MeasureRouting.h"
#include "measure/Measurement.h"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <map>
#include <string>
#include <utility>
#include <vector>

DEFINE_uint64(seed, 1, "First seed; each measurement runs with this and the following seeds");
DEFINE_uint64(seeds, 3, "Number of seeds");
DEFINE_string(only, "", "Run only this part: path, overload, groups, routing or departure");
DEFINE_bool(decisions_only, false, "Leave out the cost figures, which differ between runs");

namespace {

using namespace hornbeamlane::measure;

void printMeasurement(const Measurement &measurement)
{
    nlohmann::ordered_json line;
    line["measure"] = measurement.measure;
    line["policy"] = measurement.policy;
    line["seed"] = measurement.seed;
    line["kind"] = measurement.isCost ? "cost" : "decision";
    for (const auto &[name, value] : measurement.figures) {
        line[name] = value;
    }
    std::printf("%s\n", line.dump().c_str());
}

/** Prints median, smallest and largest value over the seeds for each figure of each policy. */
void printSummaries(const Measurements &measurements)
{
    std::map<std::pair<std::string, std::string>, std::map<std::string, std::vector<double>>> groups;
    for (const auto &measurement : measurements) {
        auto &group = groups[{measurement.measure, measurement.policy}];
        for (const auto &[name, value] : measurement.figures) {
            group[name].push_back(value);
        }
    }
    for (auto &[key, figures] : groups) {
        nlohmann::ordered_json line;
        line["measure"] = key.first;
        line["policy"] = key.second;
        line["kind"] = "summary";
        for (auto &[name, values] : figures) {
            std::sort(values.begin(), values.end());
            line[name] = {{"median", values[values.size() / 2]}, {"min", values.front()}, {"max", values.back()}};
        }
        std::printf("%s\n", line.dump().c_str());
    }
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("Measures the policies beside their baselines; JSON lines on standard output.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    Options options;
    options.seeds.clear();
    for (std::uint64_t i = 0; i < FLAGS_seeds; ++i) {
        options.seeds.push_back(FLAGS_seed + i);
    }
    Measurements measurements;
    const std::vector<std::pair<std::string, Measurements (*)(const Options &)>> parts = {
        {"path", measurePath},       {"overload", measureOverload},   {"groups", measureGroups},
        {"routing", measureRouting}, {"departure", measureDeparture},
    };
    for (const auto &[name, measure] : parts) {
        if (FLAGS_only.empty() || FLAGS_only == name) {
            const auto part = measure(options);
            measurements.insert(measurements.end(), part.begin(), part.end());
        }
    }
    if (FLAGS_decisions_only) {
        std::erase_if(measurements, [](const Measurement &measurement) { return measurement.isCost; });
    }
    for (const auto &measurement : measurements) {
        printMeasurement(measurement);
    }
    printSummaries(measurements);
    return EXIT_SUCCESS;
}
