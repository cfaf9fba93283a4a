#pragma once

#include "measure/Measurement.h"

namespace hornbeamlane::measure {

/** Expert placement, map switches and straggler detection of groups beside their baselines. */
Measurements measureGroups(const Options &options);

} // namespace hornbeamlane::measure
