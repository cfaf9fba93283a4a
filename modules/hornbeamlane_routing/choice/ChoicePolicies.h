#pragma once

#include "hornbeamlane_routing/choice/ServerChooser.h"

namespace hornbeamlane {

/** Baselines for the choice of a server; all see only servers that may take the request. */
namespace choice_policies {

/** A uniformly random server. */
ServerChooser::Policy random();

/** Each server in turn; the position is the policy's own. */
ServerChooser::Policy roundRobin();

/** The server with the least load in its last report, without own requests and without the report's age. */
ServerChooser::Policy leastReportedLoad();

/** The less loaded of two random servers, without locality, budgets or distance. */
ServerChooser::Policy twoChoices();

} // namespace choice_policies

} // namespace hornbeamlane
