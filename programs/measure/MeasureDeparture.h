#pragma once

#include "measure/Measurement.h"

namespace hornbeamlane::measure {

/** Service from a minute before a data centre leaves to a minute after its return, beside the baselines. */
Measurements measureDeparture(const Options &options);

} // namespace hornbeamlane::measure
