#pragma once

#include "hornbeamlane_dispatch/catalogue/DispatchCatalogue.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace hornbeamlane {

/** Finds route, team and service of a request in one version of the catalogue. */
class RouteTable final
{
public:
    explicit RouteTable(DispatchCatalogue catalogue);

    CatalogueVersion version() const
    {
        return catalogue_.version;
    }

    const DispatchCatalogue &catalogue() const
    {
        return catalogue_;
    }

    /** The route of that host with the longest prefix of the path; null if there is none. */
    const RouteSpec *findRoute(std::string_view host, std::string_view path) const;

    /** Whether requests need a key at all. */
    bool hasTeams() const
    {
        return catalogue_.teams.has_value();
    }

    /** The team that holds the key; null if no team does. */
    const TeamSpec *findTeam(const std::string &key) const;

    const ServiceSpec *findService(const ServiceId &service) const;

private:
    DispatchCatalogue catalogue_;
    /** By host and prefix; a lookup tries each prefix of the path that ends with a slash. */
    std::unordered_map<std::string, std::unordered_map<std::string, const RouteSpec *>> routes_;
    std::unordered_map<std::string, const TeamSpec *> teams_;
    std::unordered_map<ServiceId, const ServiceSpec *> services_;
};

/** Picks one of the route's services by their weights; the route names at least one. */
ServiceId chooseService(const RouteSpec &route, RandomSource &random);

} // namespace hornbeamlane
