#pragma once

#include "hornbeamlane_dispatch/hornbeamlane_dispatch.h"
#include "hornbeamlane_gateway/queue/PlaceWait.h"
#include "hornbeamlane_gateway/request/AnswerRelay.h"
#include "hornbeamlane_gateway/request/BackendExchange.h"
#include "hornbeamlane_gateway/request/GatewayRefusal.h"
#include "hornbeamlane_network/http1/Http1Server.h"
#include "hornbeamlane_network/loop/Timer.h"
#include "hornbeamlane_routing/crashes/SuspectTrials.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hornbeamlane {

class Gateway;

/** One request of a caller on its way to a server and back. */
class ForwardedRequest final : public std::enable_shared_from_this<ForwardedRequest>
{
public:
    /** The number names the request within the gateway. */
    ForwardedRequest(Gateway &gateway, RequestNumber number, std::shared_ptr<Http1Exchange> exchange);
    ~ForwardedRequest();

    ForwardedRequest(const ForwardedRequest &) = delete;
    ForwardedRequest &operator=(const ForwardedRequest &) = delete;

    void start();

    /** A place may have become free; true if the request has left the queue. */
    bool tryLeaveQueue();

    /** The wait for a place has become too long. */
    void onWaitExpired();

    /** More may be known of requests that crash servers; also called from time to time while it waits for that. */
    void onCrashesChanged();

    /** It waits until another request has shown whether it may crash servers. */
    bool isHeld() const
    {
        return isHeld_;
    }

    /** The entry stops now: answers the caller with what is known of the request. */
    void onCutOff();

    /** What it would tell if its server crashed now; empty if it is at no server or has got something of an answer. */
    std::optional<LostRequest> unansweredAt(const ServerId &server) const;

    /** Bytes of the answer that wait for the caller to read them. */
    std::size_t bufferedBytes() const
    {
        return exchange_->bufferedBytes();
    }

private:
    bool admit();
    /** Whether the request is within the share of its priority and team; rejects it otherwise. */
    bool admitToShare();
    PlaceWait::Stage stage() const;
    /** Whether the entry runs on for as long as the request may need. */
    bool canEndBeforeStop() const;
    /** When the entry gives the request up, by its own time or because of a planned stop. */
    TimePoint lastMoment() const;
    void dispatch(bool mayQueue);
    void refuseAsQuarantined();
    void hold();
    /** No server can take it in time, because they are busy or because of the limits that they name. */
    void refuseForLackOfPlace();
    enum class PaceBound { Applies, Ignored };
    std::optional<ServerId> chooseServer(PaceBound bound);
    /** Whether a place is expected soon after the last choice found none, so that waiting for it makes sense. */
    bool isWorthWaiting() const;
    void send(const ServerId &server);
    HttpHeaders requestHeaders(const ServerId &server) const;
    BackendExchange::Hooks backendHooks();
    /** Whether the server has crashed decides whether another one may be tried. */
    void retryUnlessCrashed(const ServerStart &start, const LostRequest &request);
    /** Sends the request again if it may be repeated and the retry budget allows it; refuses it otherwise. */
    void retryOrRefuse(GatewayRefusal reason);
    bool mayRepeat() const;
    void refuse(GatewayRefusal refusal);
    /** When the caller should come back. */
    Duration retryAfter(GatewayRefusal refusal);
    void onTimeout();
    /** Ends the request for the caller, wherever it is. */
    void giveUp(GatewayRefusal beforeSending, GatewayRefusal atServer);
    void onCallerLeft();
    std::optional<Duration> timeToFirstByte() const;
    void finish(std::string_view outcome);
    TimePoint now() const;

    Gateway &gateway_;
    RequestNumber number_;
    std::shared_ptr<Http1Exchange> exchange_;
    /** Kept so that a request is served to its end under the version that admitted it. */
    std::shared_ptr<const RouteTable> table_;
    const RouteSpec *route_ = nullptr;
    const TeamSpec *team_ = nullptr;
    ServiceId service_;
    std::string attemptId_;
    /** What it shares with other requests, some of which may have crashed servers. */
    RequestTraits traits_;
    TimePoint arrivedAt_;
    TimePoint deadline_;
    Timer timer_;
    /** Empty before the request is admitted. */
    std::optional<PlaceWait> wait_;
    AnswerRelay answers_;
    /** Empty before the request is admitted. */
    std::optional<BackendExchange> backend_;
    std::vector<ServerId> tried_;
    /** Servers that may have run the request. */
    std::uint32_t runs_ = 0;
    std::uint32_t sends_ = 0;
    bool isHeld_ = false;
    /** When a caller that is beyond its share should come back. */
    Duration shareRetryAfter_{};
    /** Until when it waits as a suspect, from its first such wait on. */
    std::optional<TimePoint> holdsUntil_;
    bool hasCallerLeft_ = false;
    bool isFinished_ = false;
};

} // namespace hornbeamlane
