#include "hornbeamlane_routing/choice/ChoicePolicies.h"

#include <memory>

namespace hornbeamlane::choice_policies {

namespace {

/** All servers that may take the request: of its data centre, or of all if there is none. */
std::vector<ServerIndex> eligibleServers(const ServerChooser &chooser, const ServerChooser::Input &input)
{
    std::vector<ServerIndex> servers;
    const auto collect = [&](DataCentreIndex dataCentre) {
        for (const auto server : chooser.view().pool(input.target, dataCentre).servers) {
            if (chooser.isEligible(input, server)) {
                servers.push_back(server);
            }
        }
    };
    collect(input.request.dataCentre);
    for (DataCentreIndex i = 0; servers.empty() && input.request.maySpill && i < chooser.view().dataCentreCount();
         ++i) {
        collect(i);
    }
    return servers;
}

double reportedLoad(const ServerState &server)
{
    return (static_cast<double>(server.reportedInFlight) + server.queued) / std::max(server.limit, 1U);
}

} // namespace

ServerChooser::Policy random()
{
    return [](const ServerChooser &chooser, const ServerChooser::Input &input) -> std::optional<ServerIndex> {
        const auto servers = eligibleServers(chooser, input);
        if (servers.empty()) {
            return std::nullopt;
        }
        return servers[input.random.below(servers.size())];
    };
}

ServerChooser::Policy roundRobin()
{
    return [position = std::size_t{0}](const ServerChooser &chooser,
                                       const ServerChooser::Input &input) mutable -> std::optional<ServerIndex> {
        const auto servers = eligibleServers(chooser, input);
        if (servers.empty()) {
            return std::nullopt;
        }
        return servers[position++ % servers.size()];
    };
}

ServerChooser::Policy leastReportedLoad()
{
    return [](const ServerChooser &chooser, const ServerChooser::Input &input) {
        std::optional<ServerIndex> best;
        for (const auto server : eligibleServers(chooser, input)) {
            if (!best || reportedLoad(chooser.view().server(server)) < reportedLoad(chooser.view().server(*best))) {
                best = server;
            }
        }
        return best;
    };
}

ServerChooser::Policy twoChoices()
{
    return [](const ServerChooser &chooser, const ServerChooser::Input &input) -> std::optional<ServerIndex> {
        const auto servers = eligibleServers(chooser, input);
        if (servers.empty()) {
            return std::nullopt;
        }
        const auto first = servers[input.random.below(servers.size())];
        const auto second = servers[input.random.below(servers.size())];
        const auto load = [&](ServerIndex server) {
            return chooser.loadShare(chooser.view().server(server), input.now);
        };
        return load(first) <= load(second) ? first : second;
    };
}

} // namespace hornbeamlane::choice_policies
