#include "hornbeamlane_gateway/backends/ServerLimitGuard.h"

#include <string>

namespace hornbeamlane {

namespace {

/** Servers told in one message. Where entries pass messages on, a datagram carries those of up to 200 of them. */
constexpr std::size_t reportsToFew = 32;
constexpr std::size_t reportsToMany = 4;

/** Lines on servers at a time; the gauges tell how many there are. */
constexpr std::size_t maxLines = 12;

} // namespace

ServerLimitGuard::ServerLimitGuard(EventLoop &loop, MetricsRegistry &metrics, const BackendBook &servers)
    : loop_(loop)
    , metrics_(metrics)
    , servers_(servers)
{
}

void ServerLimitGuard::serversChanged()
{
    std::vector<ServerLimits::KnownServer> known;
    for (const auto &[id, backend] : servers_.all()) {
        // Ranks of a group share a pace, which their streams show.
        if (!backend.spec.group) {
            known.push_back(
                {.start = backend.start, .id = id, .service = backend.spec.service, .slots = backend.spec.slots});
        }
    }
    limits_.retainOnly(known);
}

std::optional<double> ServerLimitGuard::inFlightSince(const ServerId &server, std::uint64_t incarnation,
                                                      std::uint32_t inFlightThen) const
{
    const auto *backend = servers_.find(server);
    // A cold server is slow for a reason that passes.
    if (backend == nullptr || backend->spec.incarnation != incarnation || loop_.now() < backend->coldUntil) {
        return std::nullopt;
    }
    return (inFlightThen + static_cast<double>(backend->inFlight())) / 2;
}

void ServerLimitGuard::onAnswered(const ServerId &server, std::uint64_t incarnation, TimePoint sentAt,
                                  std::uint32_t inFlightThen)
{
    if (const auto inFlight = inFlightSince(server, incarnation, inFlightThen)) {
        const auto now = loop_.now();
        limits_.onAnswered(hashOfStart(server, incarnation), now - sentAt, *inFlight, now);
    }
}

void ServerLimitGuard::onTimedOut(const ServerId &server, std::uint64_t incarnation, TimePoint sentAt,
                                  std::uint32_t inFlightThen)
{
    if (const auto inFlight = inFlightSince(server, incarnation, inFlightThen)) {
        const auto now = loop_.now();
        limits_.onTimedOut(hashOfStart(server, incarnation), now - sentAt, *inFlight, now);
    }
}

std::vector<LatencyReport> ServerLimitGuard::reports(bool areManyEntries)
{
    return limits_.takeReports(areManyEntries ? reportsToMany : reportsToFew);
}

void ServerLimitGuard::onPeerReports(const std::vector<LatencyReport> &reports)
{
    limits_.onPeerReports(reports, loop_.now());
}

void ServerLimitGuard::sweep()
{
    limits_.advance(loop_.now());
    std::size_t lowered = 0;
    std::size_t slower = 0;
    limits_.forEach([&](const ServerLimits::KnownServer &server, const ServerFinding &finding) {
        lowered += finding.takesWell < server.slots ? 1 : 0;
        slower += finding.extraLatency > Duration::zero() ? 1 : 0;
    });
    metrics_.setGauge("servers_with_learned_limit", {}, static_cast<double>(lowered));
    metrics_.setGauge("servers_slower_than_others", {}, static_cast<double>(slower));
}

void ServerLimitGuard::logStates() const
{
    std::size_t lines = 0;
    limits_.forEach([&](const ServerLimits::KnownServer &server, const ServerFinding &finding) {
        const auto *backend = servers_.find(server.id);
        if (backend == nullptr || ++lines > maxLines) {
            return;
        }
        const auto extra = std::chrono::duration_cast<std::chrono::milliseconds>(finding.extraLatency);
        logEvent(LogLevel::Info, "server_limit_state",
                 {{"server", server.id.name()},
                  {"service", server.service.name()},
                  {"slots", std::to_string(server.slots)},
                  {"takes_well", std::to_string(static_cast<std::uint32_t>(finding.takesWell))},
                  {"in_flight", std::to_string(backend->inFlight())},
                  {"extra_ms", std::to_string(extra.count())}});
    });
}

} // namespace hornbeamlane
