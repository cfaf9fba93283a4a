#pragma once

#include "hornbeamlane_dispatch/pace/StreamGovernor.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hornbeamlane {

/** Servers that share a pace: the ranks of a group, or one server that is in none. */
using PaceUnitId = Identifier<struct PaceUnitTag>;

/** Unit of a server that is in no group. */
PaceUnitId paceUnitOf(const ServerId &server);

/** Unit of the ranks of a group. */
PaceUnitId paceUnitOf(const GroupId &group);

/** Places of the servers of a unit and how many of them are taken, by all entries. */
struct PaceUnitLoad
{
    std::uint32_t places = 0;
    /** Requests that are no streams which the servers take without slowing down. */
    std::uint32_t takesWell = 0;
    std::uint32_t inFlight = 0;
};

/** The pace of each unit of servers that stream, and the bound on its requests; a slow unit says nothing of others. */
class PaceBook final
{
public:
    PaceBook();
    explicit PaceBook(StreamGovernor::Options options);

    void onPause(const PaceUnitId &unit, Duration pause, std::chrono::milliseconds target, TimePoint now);
    void onStreamEnded(const PaceUnitId &unit, std::size_t events);

    /** Time of a pass of the unit's engines that does not depend on the requests in it. */
    void setFixedPassTime(const PaceUnitId &unit, Duration time);

    /** Takes the present load of a unit and moves its bound when it is time to. */
    void update(const PaceUnitId &unit, const PaceUnitLoad &load, TimePoint now);

    /** Requests that the unit may have at once, of all entries; empty if nothing is known of it. */
    std::optional<std::uint32_t> limitOf(const PaceUnitId &unit, std::uint32_t places) const;

    /** Requests over the bound; 1 or more: no room. Zero for a unit without places. */
    double fillOf(const PaceUnitId &unit, const PaceUnitLoad &load) const;

    /** Whether streams of the unit are late with however few requests. */
    bool isOutOfReach(const PaceUnitId &unit) const;

    /** The engines of the unit are new, or are seen for the first time. */
    void restart(const PaceUnitId &unit, StreamGovernor::RestartCause cause);

    /** Bounds that this entry has measured, as shares of the places. */
    std::vector<std::pair<PaceUnitId, double>> bounds() const;

    /** Takes over the bounds that the other entries tell; the hook is empty for a unit of which none is told. */
    void onPeerBounds(const std::function<std::optional<double>(const PaceUnitId &)> &boundFor);

    /** Forgets units that have not been updated for a while. */
    void sweep(TimePoint now);

    /** Visits each unit with its governor and its last load, for the log and metrics. */
    void
    forEach(const std::function<void(const PaceUnitId &, const StreamGovernor &, const PaceUnitLoad &)> &visit) const;

private:
    struct Unit
    {
        StreamGovernor governor;
        PaceUnitLoad load;
        TimePoint updatedAt;
    };

    Unit &of(const PaceUnitId &unit);

    StreamGovernor::Options options_;
    std::map<PaceUnitId, Unit> units_;
};

} // namespace hornbeamlane
