#pragma once

#include "hornbeamlane_dispatch/hornbeamlane_dispatch.h"

#include <string_view>

namespace hornbeamlane {

/** Why a gateway answered a request itself. */
enum class GatewayRefusal {
    NotReady, ///< No catalogue is known yet.
    NoRoute,
    UnknownKey,
    BadRequest,
    NoServer, ///< No server of the service can be used now.
    GroupBroken, ///< The group that serves the model has lost a rank.
    Overloaded, ///< No place became free in time.
    OverShare, ///< The capacity does not suffice, and its priority and team have used their share of it.
    RateLimited, ///< The servers have named limits on requests a second that leave no room for it in time.
    ServersPaused, ///< The servers have asked this entry for a pause.
    Quarantined, ///< Requests like it have crashed servers.
    Suspected, ///< It may crash servers like one that ran beside them, and it was not shown in time whether it does.
    RetriesUsedUp, ///< The server rejected the request and it may not be sent again.
    ServerFailed, ///< The server broke off; the request may have run.
    TimedOut, ///< The time ran out at a server; the request may have run.
    TimedOutWaiting, ///< The time ran out before the request was sent.
    Stopping, ///< This entry stops before the request could end.
    CutOffByStop, ///< This entry stopped while the request was at a server; it may have run.
};

std::string_view toString(GatewayRefusal refusal);

/** HTTP status of a refusal; 503 states that the request has not run. */
int statusOf(GatewayRefusal refusal);

/** What a caller is told when no server could be chosen. */
GatewayRefusal refusalFor(BackendBook::NoChoice reason);

} // namespace hornbeamlane
