#pragma once

#include "hornbeamlane_membership/hornbeamlane_membership.h"
#include "hornbeamlane_messages/hornbeamlane_messages.h"
#include "hornbeamlane_network/loop/Timer.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace hornbeamlane {

/** Runs the catalogue and drain keepers of one process: carries out their actions on the table and on links. */
class MembershipNode final
{
public:
    struct Options
    {
        std::string name;
        ProcessRole role = ProcessRole::Entry;
        DataCentreId dataCentre;
        /** The table service; null for agents, which hear of the catalogue from entries only. */
        TableClient *table = nullptr;
        Duration tickInterval = std::chrono::milliseconds(200);
        /** Time between two looks at the confirmations of all data centres, in a reader. */
        Duration settlementInterval = std::chrono::seconds(2);
    };

    struct Hooks
    {
        std::function<void(const std::string &peer, const Message &)> send;
        std::function<void(CatalogueVersion, const Catalogue &)> inForce;
        std::function<void(const DrainSet &)> drainsChanged;
        /** Whether the process may confirm its version now; an agent first gets below its new limits. */
        std::function<bool(CatalogueVersion)> mayConfirm;
    };

    MembershipNode(EventLoop &loop, Options options, Hooks hooks);

    void start();

    void updateHosts(const HostView &hosts);
    void linkUp(const std::string &peer, const Hello &hello);
    void linkDown(const std::string &peer);

    /** Takes messages about catalogue, drains and heartbeats; ignores all others. */
    void onMessage(const std::string &peer, const Message &message);

    void addLocalDrain(const DrainRecord &record);
    void removeLocalDrain(const DrainId &id);

    /** Whether catalogue and drains are known; a process takes no work before. */
    bool isReady() const;
    CatalogueVersion version() const;
    CatalogueVersion settledVersion() const;
    const std::shared_ptr<const Catalogue> &catalogue() const;
    const DrainSet &drains() const;
    const Confirmations &confirmations() const;
    bool mayStartWork(const HostId &host, const ServerId &server) const;

    /** Heartbeat with the versions of this process. */
    Heartbeat heartbeat(bool isLeaving) const;

private:
    void tick();
    void run(const KeeperActions &actions);
    void runRead(const std::string &key);
    void runWrite(const TableWrite &write);
    void sendToPeer(const std::string &peer, const Message &message);
    void confirmWhenAllowed();
    void reportDrainChange();
    void updateSettlement();
    void handleHead(const TableReply &reply);
    void advanceSettlement(const Confirmations &confirmations);
    void storeSettled(CatalogueVersion version);
    bool isReader() const;

    EventLoop &loop_;
    Options options_;
    Hooks hooks_;
    CatalogueKeeper catalogueKeeper_;
    DrainKeeper drainKeeper_;
    ConfirmationBook confirmations_;
    std::optional<SettlementTracker> settlement_;
    CatalogueHead head_;
    Timer tickTimer_;
    Timer settlementTimer_;
    std::set<std::string> entryPeers_;
    CatalogueVersion confirmed_;
    RowVersion settledRowVersion_;
    std::uint64_t drainDigest_ = 0;
};

} // namespace hornbeamlane
