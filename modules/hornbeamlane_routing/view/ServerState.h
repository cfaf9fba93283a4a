#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace hornbeamlane {

/** Position of a server in a ServerView; the same while the catalogue holds the server, then used again. */
using ServerIndex = std::uint32_t;

/** Position of a data centre in a ServerView. */
using DataCentreIndex = std::uint32_t;

/** Position of a model or service in a ServerView. */
using TargetIndex = std::uint32_t;

/** What an entry knows of one backend server. */
struct ServerState
{
    ServerId id;
    HostId host;
    DataCentreIndex dataCentre = 0;
    std::vector<TargetIndex> targets;
    std::uint32_t coldConcurrency = 0;

    /** Incarnation of the agent on the current or last link; zero before the first. */
    Incarnation incarnation;
    bool isConnected = false;
    bool isLeaving = false;
    bool isDrained = false;
    /** By the last report, the agent cannot connect to its engine. */
    bool isEngineDown = false;
    std::uint32_t ownInFlight = 0;

    /** Arrival of the last report of this incarnation; the fields below come from it. */
    std::optional<TimePoint> reportedAt;
    std::uint32_t ownInFlightAtReport = 0;
    std::uint32_t reportedInFlight = 0;
    std::uint32_t queued = 0;
    /** The cold concurrency until the first report. */
    std::uint32_t limit = 0;
    double warmFraction = 0;

    /** Requests that other entries had at the server at the last report. */
    std::uint32_t foreignInFlight() const
    {
        return reportedInFlight > ownInFlightAtReport ? reportedInFlight - ownInFlightAtReport : 0;
    }
};

} // namespace hornbeamlane
