#pragma once

#include "hornbeamlane_dispatch/hornbeamlane_dispatch.h"
#include "hornbeamlane_network/loop/EventLoop.h"
#include "hornbeamlane_observability/hornbeamlane_observability.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace hornbeamlane {

/** Tells what has been learned of servers of plain services from the answers that this gateway and the others get. */
class ServerLimitGuard final
{
public:
    /** The references must outlive this. */
    ServerLimitGuard(EventLoop &loop, MetricsRegistry &metrics, const BackendBook &servers);

    /** Servers have come, gone or changed. */
    void serversChanged();

    /** A server has answered a request in full that was sent at that time, when it had so many requests. */
    void onAnswered(const ServerId &server, std::uint64_t incarnation, TimePoint sentAt, std::uint32_t inFlightThen);

    /** The time of such a request has run out at the server. */
    void onTimedOut(const ServerId &server, std::uint64_t incarnation, TimePoint sentAt, std::uint32_t inFlightThen);

    /** Null for a server that is like the others of its service and takes what it states. */
    const ServerFinding *findingOf(const Backend &backend) const
    {
        return limits_.find(backend.start);
    }

    /** Answers that have not been told, of a few servers. */
    std::vector<LatencyReport> reports(bool areManyEntries);
    void onPeerReports(const std::vector<LatencyReport> &reports);

    void sweep();

    /** Writes a line for each server that differs from what it states or from the others, up to a few. */
    void logStates() const;

private:
    /** Requests that the server had on average meanwhile; empty for one whose latencies say nothing. */
    std::optional<double> inFlightSince(const ServerId &server, std::uint64_t incarnation,
                                        std::uint32_t inFlightThen) const;

    EventLoop &loop_;
    MetricsRegistry &metrics_;
    const BackendBook &servers_;
    ServerLimits limits_;
};

} // namespace hornbeamlane
