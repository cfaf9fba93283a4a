#pragma once

#include "hornbeamlane_messages/types/AttemptMessages.h"
#include "hornbeamlane_routing/view/ServerState.h"

#include <functional>
#include <span>
#include <string_view>

namespace hornbeamlane {

/** A request for which a server is chosen. The views must outlive the call. */
struct RoutingRequest
{
    TeamId team;
    WorkKind kind = WorkKind::Model;
    /** Name of the model or the service. */
    std::string_view target;
    /** Hashes of the prompt's prefixes, shortest first. */
    std::span<const std::uint64_t> prefixes;
    /** Where the spill policy sends the request. */
    DataCentreIndex dataCentre = 0;
    /** Whether other data centres may be used when that one has no server left. */
    bool maySpill = true;
    /** Further condition on the server, for instance the quarantine's or "not yet tried"; empty means none. */
    std::function<bool(const ServerState &)> mayUse;
};

} // namespace hornbeamlane
