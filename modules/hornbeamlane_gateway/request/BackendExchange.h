#pragma once

#include "hornbeamlane_dispatch/hornbeamlane_dispatch.h"
#include "hornbeamlane_gateway/request/AnswerRelay.h"
#include "hornbeamlane_gateway/request/BackendSend.h"
#include "hornbeamlane_gateway/request/GatewayRefusal.h"
#include "hornbeamlane_network/http1/Http1Server.h"
#include "hornbeamlane_routing/crashes/SuspectTrials.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace hornbeamlane {

class Gateway;

/**
    The side of a forwarded request towards servers: sends it to one server at a time and takes the answer.

    Tells what became of each sending, and leaves it to its owner whether another one follows.
*/
class BackendExchange final
{
public:
    /** What it needs to know of the request. */
    struct Options
    {
        RequestNumber number;
        std::string attemptId;
        const RouteSpec *route = nullptr;
        ServiceId service;
        RequestTraits traits;
    };

    /** Apart from the first, each is called at the end of a sending and may start another one. */
    struct Hooks
    {
        /** The server may have run the request; called before the hook that tells how the sending ended. */
        std::function<void()> mayHaveRun;
        /** There is no answer for the caller. */
        std::function<void(GatewayRefusal reason)> failed;
        /** The same, and the server may have crashed: it had answered nothing. */
        std::function<void(const ServerStart &start, const LostRequest &request)> brokenOff;
        /** The caller has got the whole answer. */
        std::function<void(const std::string &outcome)> served;
        /** An answer came that cannot go on with the stream of which the caller has a part. */
        std::function<void()> unusable;
    };

    /** All references must outlive this. */
    BackendExchange(Gateway &gateway, const std::shared_ptr<Http1Exchange> &caller, AnswerRelay &answers,
                    Options options, Hooks hooks);

    /** Sends the caller's request with these headers; only while no sending is active. */
    void send(const ServerId &server, const HttpHeaders &headers, bool isRepeat);

    /** Whether the request is at a server now. */
    bool isActive() const
    {
        return send_ != nullptr;
    }

    /** Whether it is at a server of which nothing of an answer has come. */
    bool isUnanswered() const
    {
        return isActive() && send_->isUnanswered();
    }

    /** What it would tell if that server crashed now; empty if it is not there or has got something of an answer. */
    std::optional<LostRequest> unansweredAt(const ServerId &server) const;

    /** Takes the request back from its server, if it is at one; no hook is called. */
    void cancel();

    /** The time of the request has run out at its server. */
    void noteTimeout();

    /** Time of the first byte of an answer; empty before it. */
    std::optional<TimePoint> firstByteAt() const
    {
        return firstByteAt_;
    }

    Duration longestPause() const
    {
        return longestPause_;
    }

private:
    bool handleHead(const Http1ResponseHead &head);
    void handleData(std::string_view bytes);
    void handleEnd(Http1CallEnd end);
    void handleCompleteAnswer();
    void handleRejection();
    void handleBrokenOff();
    void handleUnreachable();
    /** The server may have run the request, and its answer is of no use. */
    void failAfterRun();
    void failAsTooLarge();
    /** Events have been passed on to the caller. */
    void noteEvents();
    void notePace();
    void deliverAnswer();
    /** The server has ended the stream; whether it is whole remains to be seen. */
    void endStream();
    void finishStream();
    /** Whether the answer belongs to this request and not to an earlier one on its connection. */
    bool isOwnAnswer(const Http1ResponseHead &head) const;
    /** Whether the answer can be the server's own. */
    bool isTrustworthy(const Http1ResponseHead &head) const;
    /** The answer is none that can be passed on; nothing more is read from its connection. */
    void dropDoubtfulConnection();
    void reportFailedSend(Http1CallEnd end) const;
    /** Gives up place and connection. */
    void end(BackendOutcome outcome);
    TimePoint now() const;

    Gateway &gateway_;
    std::shared_ptr<Http1Exchange> caller_;
    AnswerRelay &answers_;
    Options options_;
    Hooks hooks_;
    /** Null while the request is at no server. */
    std::shared_ptr<detail::BackendSend> send_;
    std::optional<TimePoint> firstByteAt_;
    Duration longestPause_{};
};

} // namespace hornbeamlane
