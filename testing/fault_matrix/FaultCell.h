#pragma once

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace hornbeamlane::testing {

/** Names of protecting mechanisms that are switched off in a run. */
using DisabledMechanisms = std::set<std::string>;

/** Outcome of one cell. */
struct CellResult
{
    bool hasPassed = false;
    /** What was seen, for a failed cell. */
    std::string detail;
};

/** One fault at one step of a protocol, checked against one condition of docs/proofs.md. */
struct FaultCell
{
    /** Condition, for instance "C6 at most once". */
    std::string invariant;
    /** Point of the protocol at which the fault strikes. */
    std::string step;
    std::string fault;
    /** Mechanisms without which this cell must fail. */
    std::vector<std::string> protectedBy;
    /** Runs the cell from scratch with the given mechanisms off. Deterministic. */
    std::function<CellResult(const DisabledMechanisms &)> run;
};

using FaultCells = std::vector<FaultCell>;

/** All cells, in a fixed order. */
FaultCells allFaultCells();

} // namespace hornbeamlane::testing
