#pragma once

#include "group_fakes/FakeTable.h"
#include "hornbeamlane_groups/hornbeamlane_groups.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hornbeamlane::testing {

/**
    One group of lock-step ranks with their agents, two entries that compete for the group's lease, and a table, on a
    virtual clock with ticks of one millisecond. Messages take one tick. Everything is deterministic.
*/
class GroupWorld final
{
public:
    struct Options
    {
        RankIndex ranks = 3;
        bool engineEnforcesFencing = true;
        /** Protecting mechanisms that are off. */
        std::set<std::string> disabled;
        /** A second switch follows the first. */
        bool hasSecondSwitch = false;
        /** The run does not end before this many messages of the switch. */
        int leastMessages = 0;
    };

    /** What happens to one message. */
    struct Delivery
    {
        bool isLost = false;
        int delay = 1;
        /** A second copy arrives after this delay; zero for none. */
        int copyDelay = 0;
    };

    /** Called for each message of the first switch, with its number; may alter its delivery and the world. */
    using Strike = std::function<void(GroupWorld &world, int message, RankIndex rank, Delivery &delivery)>;

    GroupWorld(Options options, Strike strike);

    /** Runs to the end; gives what was violated, empty if nothing. */
    std::string run();

    /** Messages of the switch seen so far. */
    int messages() const
    {
        return messages_;
    }

    void killRank(RankIndex rank, int downTicks);
    /** From now on each order to the rank arrives a second time after this delay. */
    void doubleOrders(RankIndex rank, int copyDelay);
    void stallRank(RankIndex rank, int ticks);
    void restartAgent(RankIndex rank);
    /** Pauses the entry that holds the lease; from then on it trusts its old token until it is refused. */
    void pauseController(int ticks);
    void resumeController();
    void killController();
    void takeTableDown(int ticks);
    /** The next write takes effect but its reply is lost. */
    void loseNextWriteReply();
    /** The next order that the agent passes on reaches the engine after this time. */
    void delayAtEngine(RankIndex rank, int ticks);
    void releaseSlowOrders();

private:
    struct Rank
    {
        std::unique_ptr<RankGate> gate;
        std::unique_ptr<FencingGuard> guard;
        int deadUntil = 0;
        int stalledUntil = 0;
        int enteredAt = 0;
        int loadedAt = 0;
        int agentStartedAt = 0;
        int engineDelay = 0;
        int copyDelay = 0;
    };
    struct Entry
    {
        std::unique_ptr<LeaseKeeper> lease;
        std::unique_ptr<MapSwitchController> controller;
        FencingToken token;
        int pausedUntil = 0;
        int deadUntil = 0;
        bool ignoresLease = false;
    };
    struct Envelope
    {
        int dueAt = 0;
        int number = 0;
        std::size_t entry = 0;
        std::optional<MapOrder> order;
        std::optional<MapStatus> status;
        /** The agent has passed the order on; it is on its way to this engine. */
        bool isAtEngine = false;
        Incarnation engine;
    };

    bool isOff(const std::string &mechanism) const
    {
        return options_.disabled.contains(mechanism);
    }
    TimePoint time() const;
    bool hasSettled() const;
    void startEngine(RankIndex rank);
    void startAgent(RankIndex rank);
    void startEntry(std::size_t entry);
    void send(Envelope envelope);
    void deliver(const Envelope &envelope);
    void passToEngine(const Envelope &envelope);
    void answerTableRequest(Entry &entry);
    void runEntry(std::size_t index);
    void runRank(RankIndex index);
    void record(RankIndex rank, StepNumber step, ExpertMapVersion map);
    std::unique_ptr<MapSwitchController> makeController(FencingToken token) const;
    ExpertMapVersion wantedMap() const;

    Options options_;
    Strike strike_;
    int now_ = 0;
    int messages_ = 0;
    int tableDownUntil_ = 0;
    bool losesWriteReply_ = false;
    FakeTable table_;
    RandomSource random_{7};
    std::vector<Rank> ranks_;
    std::vector<Entry> entries_;
    std::vector<Envelope> inFlight_;
    /** Map that each rank has used, for each step that is not complete. */
    std::map<StepNumber, std::map<RankIndex, ExpertMapVersion>> entered_;
    StepNumber completeStep_;
    int lastProgressAt_ = 0;
    std::string violation_;
};

} // namespace hornbeamlane::testing
