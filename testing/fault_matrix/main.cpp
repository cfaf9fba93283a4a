#include "fault_matrix/FaultCell.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>

DEFINE_string(without, "", "Name of a protecting mechanism to switch off");
DEFINE_bool(list_mechanisms, false, "Print the names of the mechanisms that can be switched off");

namespace {

using hornbeamlane::testing::DisabledMechanisms;
using hornbeamlane::testing::FaultCells;

constexpr int exitUsage = 2;

std::set<std::string> mechanismsOf(const FaultCells &cells)
{
    std::set<std::string> names;
    for (const auto &cell : cells) {
        names.insert(cell.protectedBy.begin(), cell.protectedBy.end());
    }
    return names;
}

int runCells(const FaultCells &cells, const DisabledMechanisms &disabled)
{
    int passed = 0;
    int failed = 0;
    for (const auto &cell : cells) {
        const auto result = cell.run(disabled);
        std::printf("%s | %s | %s | %s\n", cell.invariant.c_str(), cell.step.c_str(), cell.fault.c_str(),
                    result.hasPassed ? "pass" : "fail");
        if (!result.hasPassed) {
            std::fprintf(stderr, "  %s\n", result.detail.c_str());
        }
        ++(result.hasPassed ? passed : failed);
    }
    std::printf("%d passed, %d failed\n", passed, failed);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("Runs every fault at every step against the core.\n"
                            "  --list_mechanisms       lists what can be switched off\n"
                            "  --without=MECHANISM     must fail in the cells that it protects");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto cells = hornbeamlane::testing::allFaultCells();
    const auto mechanisms = mechanismsOf(cells);
    if (FLAGS_list_mechanisms) {
        for (const auto &name : mechanisms) {
            std::printf("%s\n", name.c_str());
        }
        return EXIT_SUCCESS;
    }
    DisabledMechanisms disabled;
    if (!FLAGS_without.empty()) {
        if (!mechanisms.contains(FLAGS_without)) {
            std::fprintf(stderr, "unknown mechanism '%s'; --list_mechanisms names them\n", FLAGS_without.c_str());
            return exitUsage;
        }
        disabled.insert(FLAGS_without);
    }
    return runCells(cells, disabled);
}
