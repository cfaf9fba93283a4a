#pragma once

#include "hornbeamlane_base/memory/MemoryAccount.h"
#include "hornbeamlane_observability/metrics/MetricsRegistry.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace hornbeamlane {

/** Counts the connections and requests of callers that were refused before they were handed out, and logs them. */
class RefusedConnections final
{
public:
    /** Both must outlive this; the prefix begins the names of the metrics. */
    RefusedConnections(MetricsRegistry &metrics, const MemoryAccount &memory, std::string prefix);

    void note(int status, std::string_view cause);

    /** Sets the gauges and logs what has been refused, at most one line a second for each cause; call repeatedly. */
    void report(TimePoint now);

private:
    MetricsRegistry &metrics_;
    const MemoryAccount &memory_;
    std::string prefix_;
    std::map<std::string, std::size_t, std::less<>> sinceLastLine_;
    TimePoint loggedAt_;
};

} // namespace hornbeamlane
