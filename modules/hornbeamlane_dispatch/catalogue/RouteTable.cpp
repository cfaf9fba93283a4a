#include "hornbeamlane_dispatch/catalogue/RouteTable.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace hornbeamlane {

namespace {

/** Host names compare without regard to case, and a port does not belong to the name. */
std::string normaliseHost(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return name;
}

} // namespace

RouteTable::RouteTable(DispatchCatalogue catalogue)
    : catalogue_(std::move(catalogue))
{
    for (const auto &route : catalogue_.routes) {
        routes_[normaliseHost(route.host)].emplace(route.prefix, &route);
    }
    if (catalogue_.teams) {
        for (const auto &team : *catalogue_.teams) {
            for (const auto &key : team.keys) {
                teams_.emplace(key, &team);
            }
        }
    }
    for (const auto &service : catalogue_.services) {
        services_.emplace(service.name, &service);
    }
}

const RouteSpec *RouteTable::findRoute(std::string_view host, std::string_view path) const
{
    const auto ofHost = routes_.find(normaliseHost(host));
    if (ofHost == routes_.end()) {
        return nullptr;
    }
    auto end = path.rfind('/');
    while (end != std::string_view::npos) {
        const auto found = ofHost->second.find(std::string(path.substr(0, end + 1)));
        if (found != ofHost->second.end()) {
            return found->second;
        }
        if (end == 0) {
            break;
        }
        end = path.rfind('/', end - 1);
    }
    return nullptr;
}

const TeamSpec *RouteTable::findTeam(const std::string &key) const
{
    const auto found = teams_.find(key);
    return found == teams_.end() ? nullptr : found->second;
}

const ServiceSpec *RouteTable::findService(const ServiceId &service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : found->second;
}

ServiceId chooseService(const RouteSpec &route, RandomSource &random)
{
    std::uint64_t total = 0;
    for (const auto &part : route.services) {
        total += part.weight;
    }
    auto pick = total == 0 ? 0 : random.below(total);
    for (const auto &part : route.services) {
        if (pick < part.weight) {
            return part.service;
        }
        pick -= part.weight;
    }
    return route.services.front().service;
}

} // namespace hornbeamlane
