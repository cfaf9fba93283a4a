#include "hornbeamlane_gateway/backends/ServerNoticeReader.h"

#include "hornbeamlane_gateway/request/RequestHeaders.h"
#include "hornbeamlane_network/http/HttpMessages.h"
#include "hornbeamlane_observability/hornbeamlane_observability.h"

#include <algorithm>

namespace hornbeamlane {

namespace {

/** Lines on unreadable values between two sweeps; a faulty server may send one with each answer. */
constexpr std::size_t maxUnreadableLines = 2;

/** Lines on pauses between two sweeps; many servers may be full at the same time. */
constexpr std::size_t maxPauseLines = 8;

/** A longer pause counts as this one. */
constexpr std::chrono::hours longestPause{24};

const std::string retryAfterHeader = "Retry-After";

/** Bytes of an unreadable value that are logged. */
constexpr std::size_t loggedBytes = 32;

} // namespace

ServerNoticeReader::ServerNoticeReader(EventLoop &loop, MetricsRegistry &metrics, const GatewayHeaders &names,
                                       BackendBook &servers)
    : loop_(loop)
    , metrics_(metrics)
    , names_(names)
    , servers_(servers)
{
}

void ServerNoticeReader::onAnswer(const std::string &attemptId, const ServerStart &start, const Http1ResponseHead &head)
{
    if (const auto *value = head.header(names_.leaving)) {
        readLeaving(attemptId, start, *value);
    }
    const auto *pause = head.status == statusUnavailable ? head.header(retryAfterHeader) : nullptr;
    if (pause != nullptr) {
        readPause(attemptId, start, *pause);
    }
}

void ServerNoticeReader::readLeaving(const std::string &attemptId, const ServerStart &start, const std::string &value)
{
    if (value == "0") {
        return;
    }
    if (value != "1") {
        logUnreadable(attemptId, start, names_.leaving, value);
        return;
    }
    if (!servers_.onLeaving(start.server, start.incarnation, loop_.now())) {
        return;
    }
    metrics_.addToCounter("server_notices_total", {{"kind", "leaving"}});
    logEvent(LogLevel::Info, "server_leaving",
             {{"id", attemptId},
              {"server", start.server.name()},
              {"address", start.address},
              {"start", std::to_string(start.incarnation)}});
}

void ServerNoticeReader::readPause(const std::string &attemptId, const ServerStart &start, const std::string &value)
{
    const auto asked = parseSeconds(value);
    if (!asked) {
        logUnreadable(attemptId, start, retryAfterHeader, value);
        return;
    }
    const auto pause = std::min<Duration>(*asked, longestPause);
    const auto now = loop_.now();
    if (pause <= Duration::zero() || !servers_.onPause(start.server, start.incarnation, now + pause, now)) {
        return;
    }
    metrics_.addToCounter("server_notices_total", {{"kind", "pause"}});
    if (++pauseLines_ <= maxPauseLines) {
        logEvent(LogLevel::Info, "server_paused",
                 {{"id", attemptId},
                  {"server", start.server.name()},
                  {"start", std::to_string(start.incarnation)},
                  {"for_s", formatSeconds(pause)},
                  {"asked", value.substr(0, loggedBytes)}});
    }
}

void ServerNoticeReader::logUnreadable(const std::string &attemptId, const ServerStart &start,
                                       const std::string &header, const std::string &value)
{
    metrics_.addToCounter("server_notices_total", {{"kind", "unreadable"}});
    if (++unreadableLines_ <= maxUnreadableLines) {
        logEvent(LogLevel::Warning, "server_notice_unreadable",
                 {{"id", attemptId},
                  {"server", start.server.name()},
                  {"header", header},
                  {"value", value.substr(0, loggedBytes)}});
    }
}

void ServerNoticeReader::sweep()
{
    unreadableLines_ = 0;
    pauseLines_ = 0;
}

} // namespace hornbeamlane
