#pragma once

#include "hornbeamlane_membership/actions/KeeperAction.h"
#include "hornbeamlane_membership/hosts/HostView.h"
#include "hornbeamlane_messages/types/LinkMessages.h"
#include "hornbeamlane_messages/types/StateMessages.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace hornbeamlane {

/**
    Brings accepted catalogue versions into force in one process and passes them on. Versions only grow.

    Two entries of each data centre read the table; every other process is told over links. A new version from the
    table or from another data centre is sent to all linked processes at once; lost messages are repaired by the
    versions in heartbeats.
*/
class CatalogueKeeper final
{
public:
    /** Answers known to a starting process. */
    struct StartState
    {
        /** Other entries of the data centre by the host list; empty if there is no list yet. */
        std::optional<std::size_t> listedEntries;
        /** Other entries of the data centre that are linked. */
        std::size_t linkedEntries = 0;
        /** Entries of the data centre that have answered. */
        std::size_t answers = 0;
        bool hasReadTable = false;
        Duration sinceStart{0};
    };

    struct Options
    {
        /** Name of this process: of the host for an entry, of the backend server for an agent. */
        std::string name;
        ProcessRole role = ProcessRole::Entry;
        DataCentreId dataCentre;
        /** Agents do not use the table service. */
        bool hasTable = true;
        Duration pollInterval = std::chrono::seconds(1);
        /** A reply that is later than this is no longer waited for. */
        Duration requestTimeout = std::chrono::seconds(2);
        /** A reader that has not been heard for so long is replaced by the next in rank. */
        Duration silenceLimit = std::chrono::seconds(3);
        /** Time between two repairs sent to one peer. */
        Duration repairInterval = std::chrono::seconds(1);
        /** Time in which a starting process waits for links to the entries that it knows of. */
        Duration startGrace = std::chrono::seconds(2);

        /** Whether an offered version replaces the one in force. */
        std::function<bool(CatalogueVersion current, CatalogueVersion offered)> isNewer =
            [](CatalogueVersion current, CatalogueVersion offered) { return offered > current; };
        /** Whether a starting process knows enough to put the newest known version in force. */
        std::function<bool(const StartState &, const Options &)> mayStart = &CatalogueKeeper::hasStartQuorum;
        /** Whether a starting process waits for a version that a linked entry of its data centre already has. */
        std::function<bool()> waitsForClaimedVersion = [] { return true; };
        /** Whether a new version is sent to linked processes. */
        std::function<bool()> forwards = [] { return true; };
        /** Whether differing versions in heartbeats are repaired. */
        std::function<bool()> repairs = [] { return true; };
        /** Whether a silent reader is replaced before the host list drops it. */
        std::function<bool()> replacesSilentReader = [] { return true; };
    };

    CatalogueKeeper(Options options, TimePoint start);

    /** The start-up rule: the table, else a majority of the entries of the data centre or all that are listed. */
    static bool hasStartQuorum(const StartState &state, const Options &options);

    void updateHosts(const HostView &hosts);

    KeeperActions linkUp(const std::string &peer, const Hello &hello, TimePoint now);
    void linkDown(const std::string &peer);

    KeeperActions onUpdate(const std::string &peer, const CatalogueUpdate &update, TimePoint now);
    KeeperActions onRequest(const std::string &peer, const CatalogueRequest &request, TimePoint now);
    KeeperActions onConfirm(const std::string &peer, const CatalogueConfirm &confirm, TimePoint now);
    KeeperActions onHeartbeat(const std::string &peer, const Heartbeat &heartbeat, TimePoint now);

    /** Reply to a ReadRow action. */
    KeeperActions onRow(const std::string &key, const TableReply &reply, TimePoint now);

    /** Call several times a second. */
    KeeperActions tick(TimePoint now);

    /** Whether a version is in force; a process takes no work before. */
    bool isReady() const
    {
        return static_cast<bool>(inForce_.catalogue);
    }

    CatalogueVersion version() const
    {
        return inForce_.version;
    }

    /** The catalogue in force; null before isReady(). */
    const std::shared_ptr<const Catalogue> &catalogue() const
    {
        return inForce_.catalogue;
    }

    /** The newest version known to be confirmed by every server of all older ones. */
    CatalogueVersion settledVersion() const
    {
        return settledVersion_;
    }

    /** The settled catalogue, whose floors bound those in force; null if its document has not arrived. */
    const std::shared_ptr<const Catalogue> &settledCatalogue() const
    {
        return settled_.catalogue;
    }

    /** Raises the settled version; a lower one is ignored. */
    void setSettledVersion(CatalogueVersion version);

    /** Whether this process is one of the readers of its data centre. */
    bool isReader(TimePoint now) const;

    /** Version that this process could not read, because a newer release wrote it; 0 if there is none. */
    CatalogueVersion unreadableVersion() const
    {
        return unreadableVersion_;
    }

private:
    struct Peer
    {
        ProcessRole role = ProcessRole::Entry;
        DataCentreId dataCentre;
        CatalogueVersion version;
        TimePoint heard;
        std::optional<TimePoint> repaired;
        bool hasAnswered = false;
    };

    struct Held
    {
        CatalogueVersion version;
        std::string document;
        std::shared_ptr<const Catalogue> catalogue;
    };

    Peer *noteHeard(const std::string &peer, TimePoint now);
    bool isEntryHere(const Peer &peer) const;
    bool offer(CatalogueVersion version, const std::string &document);
    void advance(bool isNewHere, TimePoint now, KeeperActions &actions);
    bool mayStart(TimePoint now) const;
    void sendUpdate(const std::string &name, Peer &peer, TimePoint now, KeeperActions &actions);
    void repair(const std::string &name, Peer &peer, TimePoint now, KeeperActions &actions);
    void readRow(const std::string &key, TimePoint now, KeeperActions &actions);

    Options options_;
    TimePoint start_;
    HostView hosts_;
    bool hasHosts_ = false;
    std::map<std::string, Peer> peers_;
    Held inForce_;
    TimePoint inForceSince_;
    /** Newest version that has arrived and may not be in force yet. */
    Held candidate_;
    Held settled_;
    CatalogueVersion settledVersion_;
    CatalogueVersion unreadableVersion_;
    bool hasReadTable_ = false;
    std::optional<TimePoint> lastPoll_;
    std::map<std::string, TimePoint> pendingReads_;
};

} // namespace hornbeamlane
