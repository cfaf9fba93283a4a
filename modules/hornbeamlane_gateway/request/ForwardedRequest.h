#pragma once

#include "hornbeamlane_dispatch/hornbeamlane_dispatch.h"
#include "hornbeamlane_gateway/request/GatewayRefusal.h"
#include "hornbeamlane_network/http1/Http1ClientConnection.h"
#include "hornbeamlane_network/http1/Http1Server.h"
#include "hornbeamlane_network/loop/Timer.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hornbeamlane {

class Gateway;

namespace detail {

/** One sending of the request to one server. */
struct BackendSend
{
    ServerId server;
    std::string address;
    std::unique_ptr<Http1ClientConnection> connection;
    std::optional<Http1ResponseHead> head;
    /** Collected body of an answer that is not streamed. */
    std::string body;
    bool isStreamed = false;
    /** Epoch of the server's group when the request was sent. */
    std::uint64_t groupEpoch = 0;
    TimePoint startedAt;
    TimePoint lastEventAt;
};

} // namespace detail

/** One request of a caller on its way to a server and back. */
class ForwardedRequest final : public std::enable_shared_from_this<ForwardedRequest>
{
public:
    ForwardedRequest(Gateway &gateway, std::shared_ptr<Http1Exchange> exchange);
    ~ForwardedRequest();

    ForwardedRequest(const ForwardedRequest &) = delete;
    ForwardedRequest &operator=(const ForwardedRequest &) = delete;

    void start();

    /** A place may have become free; true if the request has left the queue. */
    bool tryLeaveQueue();

    /** The wait for a place has become too long. */
    void onWaitExpired();

    /** Bytes of the answer that wait for the caller to read them. */
    std::size_t bufferedBytes() const
    {
        return exchange_->bufferedBytes();
    }

private:
    bool admit();
    void dispatch(bool mayQueue);
    std::optional<ServerId> chooseServer();
    void send(const ServerId &server);
    HttpHeaders requestHeaders(const ServerId &server) const;
    bool handleHead(const Http1ResponseHead &head);
    void handleData(std::string_view bytes);
    void handleEnd(Http1CallEnd end);
    void logFailedSend(Http1CallEnd end) const;
    void handleUnreachable();
    void handleCompleteAnswer();
    void handleRejection();
    /** Sends the request again if it may be repeated and the retry budget allows it; refuses it otherwise. */
    void retryOrRefuse(GatewayRefusal reason);
    bool mayRepeat() const;
    void deliverAnswer();
    /** Longest time from now for which waiting for a place makes sense. */
    Duration longestWait(TimePoint time);
    void notePace();
    void forwardEvents(std::string_view bytes);
    void finishStream();
    void endSend(BackendOutcome outcome);
    void refuse(GatewayRefusal refusal);
    void onTimeout();
    void onCallerLeft();
    void leaveQueue();
    /** Joins the queue behind those that can still be on time; false if the backlog is too long for it. */
    bool queueAsLate(TimePoint time);
    void joinQueue(TimePoint latestStart);
    std::uint32_t queueRank() const;
    void finish(std::string_view outcome);
    TimePoint now() const;

    Gateway &gateway_;
    std::shared_ptr<Http1Exchange> exchange_;
    /** Kept so that a request is served to its end under the version that admitted it. */
    std::shared_ptr<const RouteTable> table_;
    const RouteSpec *route_ = nullptr;
    const TeamSpec *team_ = nullptr;
    ServiceId service_;
    std::string attemptId_;
    std::uint32_t priority_ = 0;
    TimePoint arrivedAt_;
    TimePoint deadline_;
    Timer timer_;
    std::optional<detail::BackendSend> send_;
    std::vector<ServerId> tried_;
    /** Servers that may have run the request. */
    std::uint32_t runs_ = 0;
    std::uint32_t sends_ = 0;
    std::optional<TicketNumber> ticket_;
    /** Answer of a server that failed, kept in case no other server does better. */
    std::optional<Http1ResponseHead> failedHead_;
    std::string failedBody_;
    EventStreamFilter events_;
    TimePoint firstByteAt_;
    Duration longestPause_{};
    /** Its latency target is missed already, because the caller came back or because it has waited. */
    bool isLate_ = false;
    bool hasCallerLeft_ = false;
    bool isFinished_ = false;
};

} // namespace hornbeamlane
