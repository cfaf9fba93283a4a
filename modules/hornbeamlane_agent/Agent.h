#pragma once

#include "hornbeamlane_admission/hornbeamlane_admission.h"
#include "hornbeamlane_agent/AgentSettings.h"
#include "hornbeamlane_agent/EngineAttempt.h"
#include "hornbeamlane_daemon/hornbeamlane_daemon.h"
#include "hornbeamlane_network/hornbeamlane_network.h"
#include "hornbeamlane_orders/hornbeamlane_orders.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace hornbeamlane {

/** The agent process: accepts links of entries and runs their attempts at the engine beside it. */
class Agent final
{
public:
    Agent(EventLoop &loop, RandomSource &random, AgentSettings settings);
    ~Agent();

    /** Starts to listen for entries; false if the address cannot be bound. */
    bool start();

    /** Port in use after a successful start(). */
    std::uint16_t linkPort() const;

    /** Takes no new work from now on; calls the handler when no attempt is running. */
    void shutDown(std::function<void()> done);

private:
    using SessionId = std::uint64_t;

    struct Session
    {
        std::unique_ptr<Link> link;
        std::string peer;
    };

    struct Work
    {
        SessionId session = 0;
        Dispatch dispatch;
        /** Empty while the request waits in the queue. */
        std::shared_ptr<EngineAttempt> attempt;
        std::uint64_t engineLossesAtStart = 0;
    };

    void acceptSession(std::intptr_t socket);
    void handleOpened(SessionId session, const Hello &hello);
    void handleSessionClosed(SessionId session, LinkEnd end);
    void handleMessage(SessionId session, const Message &message);
    void handleDispatch(SessionId session, const Dispatch &dispatch);
    void handleCancel(const AttemptId &attempt);
    void handleFinished(const AttemptId &attempt, const EngineAttempt::Result &result);

    void startAttempt(const AttemptId &attempt);
    void abandonAttempt(const AttemptId &attempt);
    void refuseWork(const AttemptId &attempt, const Refusal &refusal);
    void endWork(const AttemptId &attempt, AdmissionController::Outcome outcome);
    void reject(SessionId session, const AttemptId &attempt, const TeamId &team, const Refusal &refusal,
                std::uint64_t engineLoss = 0);

    void runAdmission();
    void runTableAction(const TeamLimits::TableAction &action);
    void armAdmissionTimer();
    void pollEngine();
    void setEngineDown(bool isDown);
    void handleEngineStatus(HttpCallEnd end, const HttpResponse &response);
    /** Reads the limit on requests that an answer of the engine names, to a request that was sent at that time. */
    void readRateLimit(const HttpResponse &answer, TimePoint sentAt);
    void applyCatalogue(CatalogueVersion version, const Catalogue &catalogue);
    void fetchMissingVersions();
    void housekeep();

    void sendTo(SessionId session, const Message &message);
    void sendToPeer(const std::string &peer, const Message &message);
    LoadReport makeLoadReport();
    std::chrono::milliseconds localTime() const;
    static bool isKeyed(const Dispatch &dispatch);
    void reportIfIdle();

    EventLoop &loop_;
    AgentSettings settings_;
    Incarnation incarnation_;
    HttpTableClient table_;
    LinkListener listener_;
    AdmissionController admission_;
    AttemptLedger ledger_;
    MembershipNode membership_;
    Timer admissionTimer_;
    Timer engineTimer_;
    Timer housekeepingTimer_;
    std::map<SessionId, Session> sessions_;
    std::map<AttemptId, Work> work_;
    /** Prefixes that finished requests have left in the engine's cache and that are not reported yet. */
    std::vector<std::uint64_t> newPrefixes_;
    std::uint64_t cacheSequence_ = 0;
    CatalogueVersion appliedSettled_;
    SessionId lastSession_ = 0;
    /** Losses of the engine, counted by attempts that it broke off. */
    std::uint64_t engineLosses_ = 0;
    bool isPollingEngine_ = false;
    TimePoint engineAskedAt_;
    bool isEngineDown_ = false;
    bool isFetchingVersions_ = false;
    bool isLeaving_ = false;
    std::function<void()> whenIdle_;
};

} // namespace hornbeamlane
