/**
    Structured logs and metrics.

    Logs go through Boost.Log, one line an event; metrics are rendered in the Prometheus text form. Depends on
    hornbeamlane_base.
*/
#pragma once

#include "hornbeamlane_observability/logging/Containment.h"
#include "hornbeamlane_observability/logging/Log.h"
#include "hornbeamlane_observability/logging/LogThrottle.h"
#include "hornbeamlane_observability/metrics/LatencyHistogram.h"
#include "hornbeamlane_observability/metrics/MetricsRegistry.h"
