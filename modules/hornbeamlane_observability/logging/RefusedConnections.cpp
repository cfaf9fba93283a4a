#include "hornbeamlane_observability/logging/RefusedConnections.h"

#include "hornbeamlane_observability/logging/Log.h"

#include <utility>

namespace hornbeamlane {

namespace {

constexpr std::chrono::seconds logInterval{1};

} // namespace

RefusedConnections::RefusedConnections(MetricsRegistry &metrics, const MemoryAccount &memory, std::string prefix)
    : metrics_(metrics)
    , memory_(memory)
    , prefix_(std::move(prefix))
{
}

void RefusedConnections::note(int status, std::string_view cause)
{
    metrics_.addToCounter(prefix_ + "connection_refusals_total",
                          {{"status", std::to_string(status)}, {"cause", std::string(cause)}});
    ++sinceLastLine_[std::string(cause)];
}

void RefusedConnections::report(TimePoint now)
{
    const auto &counters = memory_.counters();
    metrics_.setGauge(prefix_ + "memory_held_bytes", {}, static_cast<double>(memory_.heldBytes()));
    metrics_.setGauge(prefix_ + "memory_limit_bytes", {}, static_cast<double>(memory_.limit()));
    const auto setDrops = [this](const char *kind, std::size_t count) {
        metrics_.setGauge(prefix_ + "memory_drops", {{"kind", kind}}, static_cast<double>(count));
    };
    setDrops("reading", counters.droppedReading);
    setDrops("unread_answer", counters.droppedUnread);
    setDrops("descriptor", counters.droppedForDescriptor);
    if (now - loggedAt_ < logInterval) {
        return;
    }
    loggedAt_ = now;
    for (const auto &[cause, count] : std::exchange(sinceLastLine_, {})) {
        logEvent(LogLevel::Warning, "connections_refused",
                 {{"cause", cause},
                  {"count", std::to_string(count)},
                  {"memory_held", std::to_string(memory_.heldBytes())},
                  {"memory_limit", std::to_string(memory_.limit())}});
    }
}

} // namespace hornbeamlane
