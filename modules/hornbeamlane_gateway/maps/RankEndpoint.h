#pragma once

#include "hornbeamlane_dispatch/servers/Backend.h"
#include "hornbeamlane_groups/placement/ExpertMap.h"

#include <cstdint>
#include <string>

namespace hornbeamlane {

/** A server as one rank of a group, as its row states it. */
struct RankEndpoint
{
    ServerId server;
    ServiceId service;
    /** "<ip>:<port>". */
    std::string address;
    /** Start of the server. */
    std::uint64_t incarnation = 0;
    GroupId group;
    RankIndex rank = 0;
    /** Number of ranks of the group. */
    std::uint32_t size = 1;
};

/** The endpoint that the row of a rank states; only for a server with a group. */
inline RankEndpoint rankEndpointOf(const BackendSpec &spec)
{
    return {.server = spec.id,
            .service = spec.service,
            .address = spec.address,
            .incarnation = spec.incarnation,
            .group = spec.group->group,
            .rank = spec.group->rank,
            .size = spec.group->size};
}

} // namespace hornbeamlane
