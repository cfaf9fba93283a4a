#pragma once

#include "hornbeamlane_dispatch/catalogue/DispatchCatalogue.h"
#include "hornbeamlane_dispatch/pace/PaceBook.h"
#include "hornbeamlane_dispatch/ratelimits/ServerRateLimits.h"
#include "hornbeamlane_dispatch/servers/GroupStates.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace hornbeamlane {

/** What a backend server says of itself. */
struct BackendSpec
{
    ServerId id;
    ServiceId service;
    /** "<ip>:<port>". */
    std::string address;
    DataCentreId dataCentre;
    /** Requests that it runs at the same time. */
    std::uint32_t slots = 1;
    bool isDraining = false;
    /** Time for which it stays cold from now on. */
    std::chrono::milliseconds warmupLeft{0};
    std::optional<GroupPlace> group;
    /** Start of the server, in milliseconds of Unix time; another one under the same id is another server. Zero if it
       is not told. */
    std::uint64_t incarnation = 0;

    /** The same as a time; empty if it is not told. */
    std::optional<std::chrono::system_clock::time_point> startedAt() const
    {
        if (incarnation == 0) {
            return std::nullopt;
        }
        return std::chrono::system_clock::time_point(std::chrono::milliseconds(incarnation));
    }
};

/** A backend server as this entry sees it. */
struct Backend
{
    BackendSpec spec;
    /** Name of this start of the server. */
    ServerStartHash start = 0;
    /** Servers whose streams share its pace. */
    PaceUnitId paceUnit;
    TimePoint coldUntil;
    /** A server whose entry has lapsed is used until then; empty while it is listed. */
    std::optional<TimePoint> lapsesAt;
    /** Requests of this entry that it runs or queues. */
    std::uint32_t ownInFlight = 0;
    /** The same of all other entries, as they last told. */
    std::uint32_t peersInFlight = 0;
    /** Moving average of failed requests, 0 to 1. */
    double failureShare = 0;
    TimePoint failureAt;
    /** It gets no work before this time unless no other server can take it. */
    TimePoint avoidUntil;
    /** Another server has answered at its address; it gets no work before this time. */
    TimePoint replacedUntil;
    std::uint32_t failuresInRow = 0;
    /** From then on this entry may send the next request to the cold server; empty before the first choice. */
    std::optional<TimePoint> coldSlotAt;
    bool isGone = false;

    std::uint32_t inFlight() const
    {
        return ownInFlight + peersInFlight;
    }
};

/** How a request ended at a server, as far as it tells about the server. */
enum class BackendOutcome {
    Served,
    Rejected, ///< The server is full and said that it has not run the request.
    Misdirected, ///< Another server has the address.
    Failed, ///< An error, a broken connection or bytes that are no response.
    Unreachable,
    Cancelled, ///< Ended by the entry; says nothing about the server.
};

} // namespace hornbeamlane
