#pragma once

#include "hornbeamlane_routing/hornbeamlane_routing.h"

#include <string>

namespace hornbeamlane {

/** Catalogue of so many data centres "dc0".. with so many servers "s0".. each of the model "m" on a host of its own. */
inline Catalogue routingCatalogue(int dataCentres, int serversEach)
{
    Catalogue catalogue;
    for (int i = 0; i < dataCentres * serversEach; ++i) {
        const std::string number = std::to_string(i);
        const DataCentreId dataCentre("dc" + std::to_string(i / serversEach));
        catalogue.dataCentres[dataCentre].header.name = dataCentre.name();
        catalogue.servers[ServerId("s" + number)] = ServerEntry{
            .dataCentre = dataCentre, .host = HostId("h" + number), .coldConcurrency = 2, .models = {ModelId("m")}};
    }
    return catalogue;
}

/** Incarnation of a server in tests, from the number in its name. */
inline Incarnation incarnationOf(const ServerId &server)
{
    return Incarnation(1000 + std::stoull(server.name().substr(1)));
}

/** Connects all servers of the catalogue and reports them idle and warm. */
inline void connectAll(ServerView &view, const Catalogue &catalogue, std::uint32_t limit, TimePoint now)
{
    for (const auto &[id, entry] : catalogue.servers) {
        view.onLinkUp(id, incarnationOf(id));
        view.onReport(id, incarnationOf(id), LoadReport{.limit = limit, .warmFraction = 1}, now);
    }
}

} // namespace hornbeamlane
