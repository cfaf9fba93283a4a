#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hornbeamlane {

enum class HostRole { Entry, Backend };

enum class HostState { Live, Leaving };

/** One host of the platform's host list. */
struct HostRecord
{
    HostId name;
    DataCentreId dataCentre;
    /** "<ip>:<port>". */
    std::string address;
    HostRole role = HostRole::Entry;
    HostState state = HostState::Live;

    bool operator==(const HostRecord &) const = default;
};

/** The last known host list. It lags: a listed host may be dead, and a new one may be missing. */
class HostView final
{
public:
    /** Replaces the view with a newly read list. */
    void update(const std::vector<HostRecord> &hosts, TimePoint now);

    /** Time since the last update; empty if there was none. */
    std::optional<Duration> age(TimePoint now) const;

    const std::map<HostId, HostRecord> &hosts() const
    {
        return hosts_;
    }

    const HostRecord *find(const HostId &host) const;

    /** Entry hosts of a data centre, live and leaving, in the order of their names. */
    std::vector<HostRecord> entries(const DataCentreId &dataCentre) const;

private:
    std::map<HostId, HostRecord> hosts_;
    std::optional<TimePoint> updated_;
};

} // namespace hornbeamlane
