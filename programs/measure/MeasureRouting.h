#pragma once

#include "measure/Measurement.h"

namespace hornbeamlane::measure {

/** The choice of a server beside its baselines, and what one choice costs. */
Measurements measureRouting(const Options &options);

} // namespace hornbeamlane::measure
