#pragma once

#include "hornbeamlane_membership/lease/LeaseRow.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace hornbeamlane {

/** A request of a LeaseKeeper to the table: a read of the lease row, or a conditional write. */
struct LeaseRequest
{
    std::string key;
    /** Empty for a read. */
    std::optional<TableWrite> write;
};

/**
    Acquires, renews and releases one lease row by conditional writes.

    Where the table service tells its time, the row names the end of the lease on that clock and a contender takes over
    then; otherwise it takes over after it has seen the row unchanged for long enough.

    The owner sends the request that poll() returns and passes its reply to handleReply(); at most one request is
    outstanding. Holding ends by the holder's own clock, without any message.
*/
class LeaseKeeper final
{
public:
    struct Options
    {
        std::string key;
        /** The process that wants the lease; must not be zero. */
        Incarnation holder;
        /** Nominal duration of the lease, equal for all contenders. */
        Duration duration = std::chrono::seconds(10);
        /** Time after which the holder renews; leaves room for two failed renewals before it stops. */
        Duration renewInterval = std::chrono::seconds(2);
        /** Pause between reads while another process holds the lease, and after a failed request. */
        Duration readInterval = std::chrono::seconds(1);
        /** How long a holder may act after an acquisition or renewal. Default: 80 % of the duration. */
        std::function<Duration(Duration duration)> holdTime;
        /** How long a contender must see the row unchanged before it takes over. Default: 150 % of the duration. */
        std::function<Duration(Duration duration)> takeoverWait;
        /** Wait of this contender after the end of a lease; different ones keep contenders from writing all at once. */
        Duration takeoverDelay{};
        /** Start of the holding time of a write. Default: when it was sent, because it may take effect at once. */
        std::function<TimePoint(TimePoint sentAt, TimePoint answeredAt)> holdStart;
    };

    explicit LeaseKeeper(Options options);

    /** The next request to the table, if one is due and none is outstanding. */
    std::optional<LeaseRequest> poll(TimePoint now);

    /** Takes the reply to the outstanding request. */
    void handleReply(const TableReply &reply, TimePoint now);

    /** Token of the lease while it is held; empty as soon as the holding time is over. */
    std::optional<FencingToken> token(TimePoint now) const;

    /** When the holder has to stop unless a renewal succeeds. */
    TimePoint heldUntil() const
    {
        return heldUntil_;
    }

    /** The table service has come back from an older copy. Stops holding at once, forgets all that the earlier era
       told, and acquires nothing before every holder of that era has stopped. Also called for a reply of a later era.
     */
    void onEraRisen(TableEra era, TimePoint now);

    /** Stops holding at once; the next request frees the row. */
    void release();

    /** Competes for the lease again after release(). */
    void compete();

private:
    enum class Pending { None, Read, Acquire, Renew, Free };

    /** A time of the table service's clock, and when it was asked for and learned on the own clock. */
    struct ServiceTime
    {
        std::chrono::milliseconds time{0};
        TimePoint askedAt;
        TimePoint answeredAt;
    };

    LeaseRequest makeRead(TimePoint now);
    LeaseRequest makeWrite(Pending kind, const LeaseRow &row, TimePoint now);
    /** Takes the era of a reply; false if what the reply tells does not count in this era. */
    bool takeEra(const TableReply &reply, TimePoint now);
    void observe(RowVersion version, const std::optional<LeaseRow> &row, TimePoint now);
    void adoptOwnRow(const LeaseRow &row, RowVersion version, TimePoint answeredAt);
    bool mayAcquire(TimePoint now) const;
    /** End of a lease that starts now, on the service's clock; not too early, however long replies take. */
    std::optional<std::chrono::milliseconds> expiryOfLeaseFrom(TimePoint now) const;
    bool hasExpired(const LeaseRow &row, TimePoint now) const;

    Options options_;
    /** Era of all that is known of the row; empty while the service has told none. */
    std::optional<TableEra> era_;
    /** The outstanding request was made in an earlier era. */
    bool isPendingOutdated_ = false;
    /** Until then a holder of an earlier era may go on. */
    TimePoint mayAcquireFrom_;
    bool wantsLease_ = true;
    bool mustFree_ = false;
    Pending pending_ = Pending::None;
    TimePoint askedAt_;
    std::optional<ServiceTime> serviceTime_;
    std::uint64_t sequence_ = 0;
    /** When each write was sent whose outcome is not known; the row names the one that took effect. */
    std::map<std::uint64_t, TimePoint> sentAt_;
    bool hasObserved_ = false;
    RowVersion observedVersion_;
    std::optional<LeaseRow> observedRow_;
    TimePoint unchangedSince_;
    TimePoint nextReadAt_;
    TimePoint renewAt_;
    FencingToken token_;
    TimePoint heldUntil_;
};

} // namespace hornbeamlane
