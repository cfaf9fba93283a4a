#pragma once

#include "hornbeamlane_dispatch/hornbeamlane_dispatch.h"
#include "hornbeamlane_gateway/GatewaySettings.h"
#include "hornbeamlane_gateway/crashes/CrashDetector.h"
#include "hornbeamlane_network/http1/Http1Messages.h"
#include "hornbeamlane_network/loop/EventLoop.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace hornbeamlane {

/** Limits that servers name for the requests of all entries: what a gateway tells of each sending and each answer. */
class RateLimitGuard final
{
public:
    RateLimitGuard(EventLoop &loop, MetricsRegistry &metrics, const GatewayHeaders &names);

    /** The head of an answer to a request that was sent at that time. */
    void onAnswer(const std::string &attemptId, const ServerStart &start, TimePoint sentAt,
                  const Http1ResponseHead &head);

    /** A request has left for the server; a repeat is any sending of it but the first. */
    void onSent(const ServerStart &start, bool isRepeat);

    void sweep();

private:
    /** Requests of this entry to a limited server since they were last logged. */
    struct Sendings
    {
        ServerId server;
        std::uint32_t first = 0;
        std::uint32_t repeated = 0;
    };

    void logChange(const std::string &attemptId, const ServerStart &start, std::optional<double> before);
    void logSendings(TimePoint now);

    EventLoop &loop_;
    MetricsRegistry &metrics_;
    const GatewayHeaders &names_;
    ServerRateLimits limits_;
    std::map<ServerStartHash, Sendings> sendings_;
    /** Lines on changes since the last sweep. */
    std::size_t changeLines_ = 0;
    TimePoint sendingsLoggedAt_;
};

} // namespace hornbeamlane
