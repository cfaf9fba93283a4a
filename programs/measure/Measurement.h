#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace hornbeamlane::measure {

/** One line of output: what was measured, under which policy and seed, and its figures with their units. */
struct Measurement
{
    /** Measure, for instance "step_time_skew". */
    std::string measure;
    /** Policy or baseline, for instance "two_choices". */
    std::string policy;
    std::uint64_t seed = 0;
    /** Name with unit, for instance "p99_ratio" or "pause_ms", and value. */
    std::vector<std::pair<std::string, double>> figures;
    /** True for figures of processor time or memory, which differ between runs; false for decision figures. */
    bool isCost = false;
};

using Measurements = std::vector<Measurement>;

struct Options
{
    std::vector<std::uint64_t> seeds = {1, 2, 3};
};

} // namespace hornbeamlane::measure
