#pragma once

#include "hornbeamlane_dispatch/hornbeamlane_dispatch.h"
#include "hornbeamlane_gateway/GatewaySettings.h"
#include "hornbeamlane_gateway/crashes/CrashDetector.h"
#include "hornbeamlane_network/http1/Http1Messages.h"
#include "hornbeamlane_network/loop/EventLoop.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hornbeamlane {

/** Keeps the requests of all entries within the limits that servers name: what a gateway asks before each sending. */
class RateLimitGuard final
{
public:
    struct Hooks
    {
        /** Requests that wait here for a server of the service. */
        std::function<std::size_t(const ServiceId &)> waiting;
        /** Requests that all other entries have to send to the service at once. */
        std::function<double(const ServiceId &)> demandOfPeers;
        /** Time after which the other entries have heard of a sending. */
        std::function<std::chrono::milliseconds()> tellingTime;
        /** Part of the entries that may be running that is heard, this one included; 0 to 1. */
        std::function<double()> heardShare;
        /** Name of a server that a report of another entry is about; empty if it is not known here. */
        std::function<std::optional<ServerId>(ServerStartHash)> serverOf;
    };

    RateLimitGuard(EventLoop &loop, RandomSource &random, MetricsRegistry &metrics, const GatewayHeaders &names,
                   Hooks hooks);

    /** The head of an answer to a request that was sent at that time. */
    void onAnswer(const std::string &attemptId, const ServerStart &start, TimePoint sentAt,
                  const Http1ResponseHead &head);

    /** A caller's request for the service has come. */
    void onRequest(const ServiceId &service);

    /** Whether the limit of a server leaves no room for a request of this entry now. */
    bool isLimited(const Backend &backend);

    /** A request has left for the server; a repeat is any sending of it but the first. */
    void onSent(const ServerStart &start, bool isRepeat);

    /** Whether any server may have a limit. */
    bool isActive() const
    {
        return !limits_.isEmpty();
    }

    /** Requests a second that this entry may send to the servers, all of which have named limits; empty if one has not
        or there are none. */
    std::optional<double> ownRate(const ServiceId &service, const std::vector<const Backend *> &servers) const;

    /** Time between two looks at requests that wait because of limits. */
    std::chrono::milliseconds checkInterval() const;

    /** For the messages to the other entries: all limits, or those with news. */
    std::vector<RateLimitReport> reports(bool all) const;

    /** Requests that this entry has to send to the service at once. */
    double demand(const ServiceId &service) const;

    void onPeerReports(Incarnation sender, const std::vector<RateLimitReport> &reports);

    void sweep();

private:
    /** What became of requests of this entry for a limited server since it was last logged. */
    struct Sendings
    {
        ServerId server;
        std::uint32_t first = 0;
        std::uint32_t repeated = 0;
        /** Choices that had to leave the server out. */
        std::uint32_t leftOut = 0;
    };

    SharedRate::Share shareOf(const ServiceId &service) const;
    void logChange(ServerStartHash server, const std::string &name, std::optional<double> before,
                   const std::string &source);
    void logSendings(TimePoint now);

    EventLoop &loop_;
    RandomSource &random_;
    MetricsRegistry &metrics_;
    const GatewayHeaders &names_;
    Hooks hooks_;
    ServerRateLimits limits_;
    std::map<ServiceId, RateMeter> arrivals_;
    std::map<ServerStartHash, Sendings> sendings_;
    /** Lines on changes since the last sweep. */
    std::size_t changeLines_ = 0;
    TimePoint sendingsLoggedAt_;
};

} // namespace hornbeamlane
