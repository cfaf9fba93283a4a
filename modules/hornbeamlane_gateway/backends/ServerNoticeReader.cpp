#include "hornbeamlane_gateway/backends/ServerNoticeReader.h"

#include "hornbeamlane_observability/hornbeamlane_observability.h"

namespace hornbeamlane {

namespace {

/** Lines on unreadable values between two sweeps; a faulty server may send one with each answer. */
constexpr std::size_t maxUnreadableLines = 2;

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
}

} // namespace hornbeamlane
