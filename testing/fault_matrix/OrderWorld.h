#pragma once

#include "fault_matrix/FaultCell.h"

#include <map>

namespace hornbeamlane::testing {

/** A fault that strikes when the message with this number is sent. */
struct OrderFaultAt
{
    std::string fault;
    std::size_t step;
};

struct OrderRun
{
    /** Kind of each message that was sent, in order; the index is the step. */
    std::vector<std::string> steps;
    /** By "C4", "C5" and "C6". */
    std::map<std::string, std::string> violations;
};

/** Names of the faults, in a fixed order. */
std::vector<std::string> orderFaults();

/** Sends one keyed request several times through two entries, a table and a server whose agent can restart. */
OrderRun runOrderWorld(const std::vector<OrderFaultAt> &faults, const DisabledMechanisms &disabled);

} // namespace hornbeamlane::testing
