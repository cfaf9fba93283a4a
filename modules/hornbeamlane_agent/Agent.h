#pragma once

#include "hornbeamlane_agent/AgentSettings.h"
#include "hornbeamlane_agent/EngineAttempt.h"
#include "hornbeamlane_network/hornbeamlane_network.h"

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

    std::uint16_t linkPort() const;

    /** Takes no new work from now on; calls the handler when no attempt is running. */
    void shutDown(std::function<void()> done);

private:
    using SessionId = std::uint64_t;

    struct Session
    {
        std::unique_ptr<Link> link;
    };

    struct Running
    {
        SessionId session = 0;
        std::unique_ptr<EngineAttempt> attempt;
    };

    void acceptSession(std::intptr_t socket);
    void handleMessage(SessionId session, const Message &message);
    void handleDispatch(SessionId session, const Dispatch &dispatch);
    void startAttempt(SessionId session, const Dispatch &dispatch);
    void handleFinished(const AttemptId &attempt, const EngineAttempt::Result &result);
    void handleSessionClosed(SessionId session, LinkEnd end);
    void removeAttempt(const AttemptId &attempt);
    void reject(SessionId session, const AttemptId &attempt, const Refusal &refusal);
    void sendTo(SessionId session, const Message &message);
    void broadcastLoad();
    std::chrono::milliseconds localTime() const;
    Hello hello() const;
    Heartbeat heartbeat() const;

    EventLoop &loop_;
    AgentSettings settings_;
    Incarnation incarnation_;
    LinkListener listener_;
    Timer loadTimer_;
    std::map<SessionId, Session> sessions_;
    std::map<AttemptId, Running> running_;
    SessionId lastSession_ = 0;
    bool isLeaving_ = false;
    std::function<void()> whenIdle_;
};

} // namespace hornbeamlane
