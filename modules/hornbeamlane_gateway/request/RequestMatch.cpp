#include "hornbeamlane_gateway/request/RequestMatch.h"

#include "hornbeamlane_gateway/request/RequestHeaders.h"

namespace hornbeamlane {

std::uint32_t RequestMatch::priority() const
{
    return team != nullptr && team->priority ? *team->priority : route->priority;
}

std::optional<RequestMatch> matchRequest(const Http1Request &request, const RouteTable *table,
                                         const GatewayHeaders &names, GatewayRefusal &reason)
{
    if (table == nullptr) {
        reason = GatewayRefusal::NotReady;
        return std::nullopt;
    }
    const auto *host = request.header("Host");
    if (host == nullptr || !request.target.starts_with('/')) {
        reason = GatewayRefusal::BadRequest;
        return std::nullopt;
    }
    RequestMatch match{.route = table->findRoute(*host, request.path())};
    if (match.route == nullptr || match.route->services.empty()) {
        reason = GatewayRefusal::NoRoute;
        return std::nullopt;
    }
    if (table->hasTeams()) {
        const auto *key = request.header(names.key);
        match.team = key == nullptr ? nullptr : table->findTeam(*key);
        if (match.team == nullptr && !match.route->isPublic) {
            reason = GatewayRefusal::UnknownKey;
            return std::nullopt;
        }
    }
    return match;
}

RequestTraits traitsOfRequest(const Http1Request &request, const RequestMatch &match, const ServiceId &service,
                              const GatewayHeaders &names)
{
    return traitsOf({.target = service.name(),
                     .team = match.team == nullptr ? TeamId() : match.team->name,
                     .method = request.method,
                     .path = request.target,
                     .body = request.body,
                     .sharedParts = sharedPromptParts(request.headers, names.promptParts),
                     .route = match.route->name.name()});
}

} // namespace hornbeamlane
