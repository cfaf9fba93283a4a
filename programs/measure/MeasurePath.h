#pragma once

#include "measure/Measurement.h"

namespace hornbeamlane::measure {

/**
    Time and processor time that entry and agent add to a request and to a streamed token.

    Platform, engine, agent, entry and caller share one event loop, so the difference to a direct call to the same
    engine is the work of entry and agent. The slope over the number of tokens separates a token from a request.
*/
Measurements measurePath(const Options &options);

} // namespace hornbeamlane::measure
