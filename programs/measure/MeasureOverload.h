#pragma once

#include "measure/Measurement.h"

namespace hornbeamlane::measure {

/**
    One agent and one engine at 1, 1.5 and 2 times the engine's capacity, with few large and many small teams; and the
    memory for a team and the time of an admission decision.
*/
Measurements measureOverload(const Options &options);

} // namespace hornbeamlane::measure
