#pragma once

#include "hornbeamlane_gateway/GatewaySettings.h"
#include "hornbeamlane_gateway/request/GatewayRefusal.h"
#include "hornbeamlane_network/http1/Http1Messages.h"
#include "hornbeamlane_routing/crashes/RequestTraits.h"

#include <optional>

namespace hornbeamlane {

/** What the catalogue says of a request; valid as long as the table. */
struct RequestMatch
{
    const RouteSpec *route = nullptr;
    /** Null for a public route without a known key. */
    const TeamSpec *team = nullptr;

    /** 0 is the most urgent; the team's takes precedence over the route's. */
    std::uint32_t priority() const;
};

/** Finds the route and the team of a request; empty with the reason if it may not be served. */
std::optional<RequestMatch> matchRequest(const Http1Request &request, const RouteTable *table,
                                         const GatewayHeaders &names, GatewayRefusal &reason);

/** What the request shares with others, some of which may have crashed servers. */
RequestTraits traitsOfRequest(const Http1Request &request, const RequestMatch &match, const ServiceId &service,
                              const GatewayHeaders &names);

} // namespace hornbeamlane
