#pragma once

#include "fault_matrix/FaultCell.h"
#include "hornbeamlane_routing/hornbeamlane_routing.h"

#include <memory>

namespace hornbeamlane::testing {

/** Two entries, a pool of servers and a request that crashes every server; virtual time advances in ticks. */
class CrashWorld final
{
public:
    static constexpr int ticks = 160;
    static constexpr int serverCount = 10;

    enum class UpdateFault { None, Lost, Doubled, Delayed };
    static constexpr int delayTicks = 12;

    /** What happens besides the plain run; a tick of -1 means never. */
    struct Faults
    {
        int resendAt = -1;
        std::size_t resendTo = 0;
        /** Whether the caller abandons its first call when it resends. */
        bool isFirstCallAbandoned = false;
        /** Ticks until the resent call crashes its server. */
        int resendRunTicks = 3;
        UpdateFault update = UpdateFault::None;
        int updateAt = -1;
        /** The second entry is cut off and all calls go to the first. */
        bool isAlone = false;
        /** A server is lost without any fault of a request. */
        int loseServerAt = -1;
        std::size_t lostServer = 0;
    };

    struct Outcome
    {
        int lostToCrasher = 0;
        /** Refused calls of others that were not themselves in flight on two lost servers. */
        int refusedWithoutCause = 0;
        /** Calls of others that were refused for any reason. */
        int refusedOthers = 0;
        int unfinishedOthers = 0;
        /** Quarantine refusals that state that nothing ran. */
        int falseNotRun = 0;
    };

    CrashWorld(const Faults &faults, const DisabledMechanisms &disabled);

    Outcome run();

private:
    enum class CallState { Waiting, Running, Finished, Refused, Abandoned };

    struct Call
    {
        std::size_t entry = 0;
        TeamId team;
        std::string body;
        bool isCrasher = false;
        /** First server that its policy looks at. */
        std::size_t firstServer = 0;
        Hash128 fingerprint;
        CallState state = CallState::Waiting;
        int runTicks = 3;
        std::size_t server = 0;
        int endsAt = 0;
        int lostServers = 0;
    };

    struct Entry
    {
        std::unique_ptr<ServerView> view;
        std::unique_ptr<PrefixCacheView> cache;
        std::unique_ptr<ServerChooser> chooser;
        std::unique_ptr<CrashQuarantine> quarantine;
        Incarnation incarnation;
    };

    struct Update
    {
        std::size_t to = 0;
        int arrivesAt = 0;
        QuarantineUpdate content;
    };

    void addCall(std::size_t entry, const std::string &team, const std::string &body, bool isCrasher,
                 std::size_t firstServer);
    void tryDispatch(Call &call);
    void endAttempts();
    void loseServer(std::size_t server);
    void returnServers();
    void sendUpdates();
    void deliverUpdates();
    static ServerId serverId(std::size_t server);

    Faults faults_;
    std::vector<Entry> entries_;
    std::vector<Call> calls_;
    std::vector<Update> updates_;
    std::vector<Incarnation> servers_;
    std::vector<int> returnsAt_;
    RandomSource random_{1};
    int tick_ = 0;
    TimePoint now_{std::chrono::hours(1)};
    std::size_t firstServer_ = 0;
    Outcome outcome_;
};

} // namespace hornbeamlane::testing
