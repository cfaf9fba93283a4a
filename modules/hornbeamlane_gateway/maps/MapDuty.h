#pragma once

#include "hornbeamlane_gateway/maps/GroupMapKeeper.h"
#include "hornbeamlane_membership/hornbeamlane_membership.h"
#include "hornbeamlane_network/loop/Timer.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace hornbeamlane {

/** Competes for the lease of the expert maps and keeps the maps of all groups while it holds it. */
class MapDuty final
{
public:
    struct Options
    {
        /** Key of the lease row. */
        std::string leaseKey = "duties/expert-maps";
        Incarnation self;
        std::chrono::milliseconds leaseDuration{1000};
        std::chrono::milliseconds renewInterval{300};
        std::chrono::milliseconds readInterval{200};
        /** The entries' writes to take over a lease that has ended are spread over this time. */
        std::chrono::milliseconds takeoverSpread{200};
        /** While the holder is heard that recently, the lease row is not read. */
        std::chrono::milliseconds holderSilence{600};
        /** Time between two looks at what is due; replies are handled at once. */
        std::chrono::milliseconds tickInterval{25};
        /** The same while another entry is heard as holder. */
        std::chrono::milliseconds watchInterval{150};
        /** A holder whose lease ends because the store is away goes on for this time if nobody else takes over. */
        std::chrono::milliseconds holdWithoutStore{30000};
        /** Groups whose maps are kept at most, the largest ones first. */
        std::size_t maxGroups = 32;
        /** A group whose maps could not be kept, for want of memory, is left alone for this time. */
        std::chrono::milliseconds failedGroupPause{10000};
        GroupMapKeeper::Policy policy;
    };

    struct Hooks
    {
        EngineApi engines;
        /** Servers as this entry knows them. */
        std::function<const std::map<ServerId, Backend> &()> servers;
        /** Engine of a service; empty if its servers are no ranks. */
        std::function<std::optional<EngineModel>(const ServiceId &)> engineOf;
        /** When another entry last said that it holds the lease. */
        std::function<TimePoint()> holderHeardAt;
        /** Time for which a holder that lives may not be heard; the longer of this and the option counts. */
        std::function<std::chrono::milliseconds()> usualSilence = [] { return std::chrono::milliseconds(0); };
    };

    MapDuty(EventLoop &loop, TableClient &table, const Options &options, Hooks hooks);

    void start();

    /** Gives the lease back. */
    void stop();

    /** The table has come back from an older copy: the lease ends, and nobody acquires it while another entry may still
        act under it. */
    void onEraRisen(TableEra era);

    bool isHolder() const
    {
        return token_.has_value();
    }

private:
    /** The rows of a group that state the same size; used within one turn only. */
    struct GroupView
    {
        GroupId group;
        ServiceId service;
        /** Number of ranks as their rows state it. */
        std::uint32_t size = 0;
        RankDirectory::Rows rows;

        bool isComplete() const
        {
            return rows.size() == size;
        }

        bool isOpen() const;
    };

    /** The keeper of a group's maps; empty after a failure, until the given time. */
    struct Kept
    {
        std::uint32_t size = 0;
        std::unique_ptr<GroupMapKeeper> keeper;
        TimePoint pausedUntil;
    };

    void tick();
    void pollLease();
    bool isHolderHeard() const;
    std::optional<FencingToken> tokenToActUnder();
    bool mayGoOnWithoutStore() const;
    /** The groups whose maps this holder keeps, each once, with the largest size for which it has all rows. */
    std::vector<GroupView> groups();
    void dropKeepersWithout(const std::vector<GroupView> &views);
    /** Makes the keeper if there is none of that size; false if the group's maps cannot be kept now. */
    bool makeKeeper(const GroupView &view, const EngineModel &engine, Kept &kept);
    void keepMaps(const GroupView &view);

    EventLoop &loop_;
    TableClient &table_;
    Options options_;
    Hooks hooks_;
    LeaseKeeper lease_;
    std::optional<FencingToken> token_;
    /** When the lease ended by its time; empty while it is held. */
    std::optional<TimePoint> lapsedAt_;
    TimePoint tableAskedAt_;
    TimePoint tableAnsweredAt_;
    TimePoint tableFailedAt_;
    /** Keepers and the token under which they act. A lease that is regained with its token goes on with them, since
       they know which versions of maps they have used. */
    std::map<GroupId, Kept> keepers_;
    /** Groups left out the last time, for the log. */
    std::size_t groupsLeftOut_ = 0;
    std::optional<FencingToken> keepersToken_;
    Timer timer_;
};

} // namespace hornbeamlane
