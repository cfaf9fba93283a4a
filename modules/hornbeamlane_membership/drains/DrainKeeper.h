#pragma once

#include "hornbeamlane_membership/actions/KeeperAction.h"
#include "hornbeamlane_membership/drains/DrainSet.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace hornbeamlane {

/** Keeps the drain set of one process up to date, passes it to its peers and stores local drains in the table. */
class DrainKeeper final
{
public:
    struct Options
    {
        /** Agents do not use the table service. */
        bool hasTable = true;
        Duration pollInterval = std::chrono::seconds(1);
        /** A reply that is later than this is no longer waited for. */
        Duration requestTimeout = std::chrono::seconds(2);
        /** Time between two repairs sent to one peer. */
        Duration repairInterval = std::chrono::seconds(1);

        /** Combines the own set with another one; returns whether the own set changed. */
        std::function<bool(DrainSet &own, const DrainSet &other)> merge = [](DrainSet &own, const DrainSet &other) {
            return own.merge(other);
        };
        /** Whether changes are sent to linked processes and differing digests in heartbeats are repaired. */
        std::function<bool()> gossips = [] { return true; };
        /** Whether a write that failed or got no reply is repeated. */
        std::function<bool()> retriesWrite = [] { return true; };
        /** Whether new work is refused where the drain set says so. */
        std::function<bool()> refusesDrained = [] { return true; };
    };

    explicit DrainKeeper(Options options);

    /** An operator's drain given to this process. */
    KeeperActions addLocal(const DrainRecord &record, TimePoint now);

    /** An operator's removal given to this process. */
    KeeperActions removeLocal(const DrainId &id, TimePoint now);

    KeeperActions linkUp(const std::string &peer, TimePoint now);
    void linkDown(const std::string &peer);

    KeeperActions onUpdate(const std::string &peer, const DrainUpdate &update, TimePoint now);
    /** A starting process asks for the catalogue and the drains. */
    KeeperActions onRequest(const std::string &peer, TimePoint now);
    KeeperActions onHeartbeat(const std::string &peer, const Heartbeat &heartbeat, TimePoint now);

    /** Reply to a ReadRow action. */
    KeeperActions onRow(const TableReply &reply, TimePoint now);

    /** Reply to a WriteRow action. */
    KeeperActions onWritten(const TableReply &reply, TimePoint now);

    /** Call several times a second. Readers of the data centre read the row each interval. */
    KeeperActions tick(bool isReader, TimePoint now);

    /** Whether the set is known from the table or from a process that knows it; no work is taken before. */
    bool isReady() const
    {
        return isReady_;
    }

    const DrainSet &set() const
    {
        return set_;
    }

    /** Whether the row holds every drain given to this process. */
    bool isStored() const;

    /** Whether new work may start on the server. */
    bool mayStartWork(const DataCentreId &dataCentre, const HostId &host, const ServerId &server) const;

private:
    struct Peer
    {
        std::optional<TimePoint> repaired;
    };

    KeeperActions announce(const std::string &except, TimePoint now);
    KeeperActions readRow(TimePoint now);

    Options options_;
    DrainSet set_;
    /** Drains given to this process by an operator; it stores them itself, whether or not it is a reader. */
    DrainSet local_;
    /** The row as last read or written. */
    DrainSet stored_;
    DrainSet writing_;
    bool isReady_ = false;
    std::map<std::string, Peer> peers_;
    std::optional<TimePoint> lastPoll_;
    std::optional<TimePoint> pendingSince_;
};

} // namespace hornbeamlane
