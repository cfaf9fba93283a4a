#pragma once

#include "hornbeamlane_gateway/queue/ServiceQueues.h"

namespace hornbeamlane {

/** The wait of one request for a place at a server: its rank among others, and how long waiting makes sense. */
class PlaceWait final
{
public:
    struct Options
    {
        ServiceId service;
        /** Empty for a caller without a team. */
        TeamId team;
        RequestKind kind = RequestKind::NonIdempotent;
        std::chrono::milliseconds latencyTarget{0};
        /** 0 is the most urgent. */
        std::uint32_t priority = 0;
        TimePoint arrivedAt;
        TimePoint deadline;
        /** It has missed its latency target before it came, as its caller comes back. */
        bool isLate = false;
    };

    /** Whether the answer has begun, so that its rest is waited for. */
    enum class Stage { Unanswered, Streaming };

    /** The queues must outlive this. */
    PlaceWait(ServiceQueues &queues, Options options);
    ~PlaceWait();

    PlaceWait(const PlaceWait &) = delete;
    PlaceWait &operator=(const PlaceWait &) = delete;

    /** Waits as one that can be on time if that makes sense, otherwise as a late one; false if neither does. */
    bool join(Stage stage, TimePoint now, const std::weak_ptr<ForwardedRequest> &request);

    /** Waits behind those that can still be on time; false if the backlog is too long for it. */
    bool joinAsLate(Stage stage, TimePoint now, const std::weak_ptr<ForwardedRequest> &request);

    void leave();

    bool isWaiting() const
    {
        return ticket_.has_value();
    }

    /** Its latency target is missed already, because the caller came back or because it has waited. */
    bool isLate() const
    {
        return options_.isLate;
    }

    /** 0 is the most urgent. */
    std::uint32_t priority() const
    {
        return options_.priority;
    }

    /** Whether others wait that come first. */
    bool isBehindOthers(Stage stage) const;

private:
    std::uint32_t rank(Stage stage) const;
    /** Longest time from now for which waiting for a place makes sense. */
    Duration longestWait(Stage stage, TimePoint now) const;
    void take(Stage stage, TimePoint latestStart, const std::weak_ptr<ForwardedRequest> &request);

    ServiceQueues &queues_;
    Options options_;
    std::optional<TicketNumber> ticket_;
};

} // namespace hornbeamlane
