#pragma once

#include "hornbeamlane_catalogue/hornbeamlane_catalogue.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace hornbeamlane {

/**
    Splits the floor of a team in a data centre over its home servers there.

    Every process computes the same split from the same catalogue, and the shares of a data centre add up to its floor.
*/
class FloorSplit final
{
public:
    struct Options
    {
        /** A team gets one home server for each so many requests of its floor. */
        std::uint32_t requestsPerHome = 4;
    };

    /** Keeps a reference to the catalogue. */
    FloorSplit(const Catalogue &catalogue, Options options);

    /** Part of the team's floor that belongs to the server; 0 if it is no home server of the team. */
    std::uint32_t share(const TeamEntry &team, const ServerId &server) const;

    /** Number of servers of the team's models and services in all data centres. */
    std::size_t serverCount(const TeamEntry &team) const;

    /** Whether the server offers a model or service of the team. */
    static bool isOffered(const TeamEntry &team, const ServerEntry &server);

private:
    using Servers = std::vector<const ServerEntry *>;

    std::vector<const ServerEntry *> homes(const TeamEntry &team, const DataCentreId &dataCentre,
                                           std::uint32_t floor) const;
    std::vector<Servers> candidates(const TeamEntry &team, const DataCentreId &dataCentre) const;

    const Catalogue &catalogue_;
    Options options_;
    std::map<std::pair<DataCentreId, ModelId>, Servers> byModel_;
    std::map<std::pair<DataCentreId, ServiceId>, Servers> byService_;
};

} // namespace hornbeamlane
