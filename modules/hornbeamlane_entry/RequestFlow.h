#pragma once

#include "hornbeamlane_entry/CallerReply.h"
#include "hornbeamlane_entry/CallerRequest.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace hornbeamlane {

/** The way of one caller's request through the entry, over all its attempts. */
class RequestFlow
{
public:
    /** A server for an attempt and what its link last said about its agent. */
    struct Target
    {
        ServerId server;
        Incarnation incarnation;
        std::chrono::milliseconds agentTime{0};
    };

    /** Why no server was chosen. */
    struct NoTarget
    {
        Refusal refusal;
        /** A server may be possible shortly; ask again. */
        bool isTemporary = false;
    };

    /** What a flow needs from the entry. */
    struct Hooks
    {
        std::function<std::optional<Target>(const CallerRequest &, const std::vector<ServerId> &tried, NoTarget &)>
            chooseTarget;
        std::function<AttemptId()> nextAttempt;
        /** False if no byte of the message left the process. */
        std::function<bool(const Target &, const Message &)> send;
        /** An attempt was sent to, or has ended at, the server; keeps the entry's own counts. */
        std::function<void(const Target &, const Dispatch &, const CallerRequest &)> dispatched;
        /** `isAnswered`: the server has run it to an end that is no error, so the request does not crash servers. */
        std::function<void(const Target &, const Dispatch &, bool isAnswered)> ended;
        /** The engine broke the response off while the agent lives; what it ran may have crashed it. */
        std::function<void(const Target &, std::uint64_t engineLoss)> engineLost;
        std::function<bool(TimePoint)> takeRetry;
        std::function<TimePoint()> now;
    };

    virtual ~RequestFlow() = default;

    virtual void start() = 0;

    /** A message of the agent incarnation that the link belongs to. */
    virtual void onMessage(const ServerId &server, Incarnation sender, const Message &message) = 0;
    virtual void onLinkLost(const ServerId &server, Incarnation incarnation) = 0;
    virtual void onLinkUp(const ServerId &server, Incarnation incarnation) = 0;
    virtual void onTime() = 0;
    virtual void onCallerGone() = 0;
    virtual void onCallerDrained() = 0;

    /** When onTime() is next needed. */
    virtual std::optional<TimePoint> nextWakeUp() const = 0;

    /** Nothing is left to do; the entry destroys the flow. */
    virtual bool isFinished() const = 0;
};

} // namespace hornbeamlane
