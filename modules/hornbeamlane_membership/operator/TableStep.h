#pragma once

#include "hornbeamlane_membership/actions/KeeperAction.h"

#include <variant>

namespace hornbeamlane {

/** The one table request that an operation waits for. */
using TableStep = std::variant<ReadRow, WriteRow>;

} // namespace hornbeamlane
