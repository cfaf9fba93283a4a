#include "hornbeamlane_gateway/request/GatewayRefusal.h"

#include <array>

namespace hornbeamlane {

std::string_view toString(GatewayRefusal refusal)
{
    static constexpr std::array<std::string_view, 18> names = {
        "not_ready",       "no_route",      "unknown_key",  "bad_request",       "no_server",   "group_broken",
        "overloaded",      "over_share",    "rate_limited", "servers_paused",    "quarantined", "suspected",
        "retries_used_up", "server_failed", "timed_out",    "timed_out_waiting", "stopping",    "cut_off_by_stop"};
    return names[static_cast<std::size_t>(refusal)];
}

int statusOf(GatewayRefusal refusal)
{
    switch (refusal) {
    case GatewayRefusal::NoRoute:
        return 404;
    case GatewayRefusal::UnknownKey:
        return 401;
    case GatewayRefusal::BadRequest:
        return 400;
    case GatewayRefusal::ServerFailed:
        return 502;
    case GatewayRefusal::TimedOut:
    case GatewayRefusal::CutOffByStop:
        return 504;
    case GatewayRefusal::NotReady:
    case GatewayRefusal::NoServer:
    case GatewayRefusal::GroupBroken:
    case GatewayRefusal::Overloaded:
    case GatewayRefusal::OverShare:
    case GatewayRefusal::RateLimited:
    case GatewayRefusal::ServersPaused:
    case GatewayRefusal::Quarantined:
    case GatewayRefusal::Suspected:
    case GatewayRefusal::RetriesUsedUp:
    case GatewayRefusal::TimedOutWaiting:
    case GatewayRefusal::Stopping:
        return 503;
    }
    return 503;
}

GatewayRefusal refusalFor(BackendBook::NoChoice reason)
{
    switch (reason) {
    case BackendBook::NoChoice::NoServer:
        return GatewayRefusal::NoServer;
    case BackendBook::NoChoice::GroupBroken:
        return GatewayRefusal::GroupBroken;
    case BackendBook::NoChoice::GroupForming:
    case BackendBook::NoChoice::AllFull:
    case BackendBook::NoChoice::AtPaceBound:
        return GatewayRefusal::Overloaded;
    case BackendBook::NoChoice::RateLimited:
        return GatewayRefusal::RateLimited;
    case BackendBook::NoChoice::AllPaused:
        return GatewayRefusal::ServersPaused;
    case BackendBook::NoChoice::AllExcluded:
        return GatewayRefusal::RetriesUsedUp;
    }
    return GatewayRefusal::NoServer;
}

} // namespace hornbeamlane
