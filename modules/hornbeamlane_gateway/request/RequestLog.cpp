#include "hornbeamlane_gateway/request/RequestLog.h"

#include "hornbeamlane_gateway/request/RequestHeaders.h"
#include "hornbeamlane_observability/hornbeamlane_observability.h"

namespace hornbeamlane {

namespace {

/** Characters of the list of prompt parts in a log line. */
constexpr std::size_t maxLoggedParts = 160;

std::string orDash(const std::string &text)
{
    return text.empty() ? "-" : text;
}

} // namespace

void logRequestDone(const RequestSummary &summary)
{
    logEvent(LogLevel::Info, "request_done",
             {{"id", summary.attemptId},
              {"route", orDash(summary.route)},
              {"team", orDash(summary.team)},
              {"service", orDash(summary.service)},
              {"version", summary.version ? std::to_string(summary.version->value()) : "-"},
              {"server", orDash(summary.server)},
              {"sends", std::to_string(summary.sends)},
              {"time_left_ms", formatMilliseconds(summary.timeLeft)},
              {"priority", summary.priority ? std::to_string(*summary.priority) : "-"},
              {"late", summary.isLate ? "yes" : "no"},
              {"events", std::to_string(summary.events)},
              {"first_ms", summary.firstByte ? formatMilliseconds(*summary.firstByte) : "-"},
              {"pause_ms", formatMilliseconds(summary.longestPause)},
              {"total_ms", formatMilliseconds(summary.total)},
              {"outcome", std::string(summary.outcome)}});
}

void logFailedSend(const detail::BackendSend &send, const FailedSendReport &report)
{
    logEvent(LogLevel::Info, "send_failed",
             {{"id", report.attemptId},
              {"server", send.start.server.name()},
              {"address", send.start.address},
              {"reason", std::string(toString(report.end))},
              {"has_head", send.head ? "yes" : "no"},
              {"events", std::to_string(report.events)},
              {"sent_ms_ago", formatMilliseconds(report.sinceSent)},
              {"in_flight", report.inFlight ? std::to_string(*report.inFlight) : "-"},
              {"parts", report.parts == nullptr ? "-" : report.parts->substr(0, maxLoggedParts)},
              {"traits", orDash(formatTraits(report.traits.parts))},
              {"origin", formatOrigin(report.traits)}});
}

} // namespace hornbeamlane
