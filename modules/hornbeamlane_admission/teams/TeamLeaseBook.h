#pragma once

#include "hornbeamlane_admission/teams/TeamLeaseRow.h"
#include "hornbeamlane_membership/hornbeamlane_membership.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>

namespace hornbeamlane {

/** The row has to be read; the reply goes to TeamLeaseBook::readFinished(). */
struct LeaseRead
{
    std::string key;
};

/** The write has to be sent; the reply goes to TeamLeaseBook::writeFinished(). */
struct LeaseWrite
{
    TableWrite write;
};

using LeaseAction = std::variant<LeaseRead, LeaseWrite>;

/**
    One agent's side of the row `limits/<team>`: takes, renews and returns a lease on the shared part of a team's limit
    and reclaims the leases of others that have expired.

    The holder counts the duration from before it sent the write. A lender counts from when it first read the lease and
    waits longer, so the holder has stopped even if its clock is slower.
*/
class TeamLeaseBook final
{
public:
    struct Options
    {
        /** A request runs under a lease only if its deadline is within it, so this is well above the deadlines. */
        std::chrono::milliseconds duration{120000};
        Duration renewAfter = std::chrono::seconds(40);
        /** Time between two looks at a row without a free share, and after a failure. */
        Duration retryAfter = std::chrono::seconds(10);
        /** Time to repeat a write whose reply was lost. */
        Duration repeatAfter = std::chrono::seconds(1);
        /** Time that a lender waits; replaced to switch "lender-waits-longer" off. */
        std::function<Duration(Duration duration)> reclaimAfter;
        /** Whether the holder may use its lease; replaced to switch "holder-stops-first" off. */
        std::function<bool(TimePoint now, TimePoint end)> isUsable;
    };

    TeamLeaseBook(const TeamId &team, ServerId server, Incarnation agent, Options options);

    /** Shared part of the limit: the smallest over the catalogue versions that may be in force. */
    void setRemainder(std::uint32_t remainder);

    /** The team could use so much beyond its floor. */
    void noteDemand(std::uint32_t amount);

    /** What has to be sent now, at most one at a time. extraInUse is what runs beyond the floor. */
    std::optional<LeaseAction> nextAction(TimePoint now, std::uint32_t extraInUse);
    void readFinished(const TableReply &reply, TimePoint now);
    void writeFinished(const TableReply &reply, TimePoint now);

    /** Extra requests that may run now. */
    std::uint32_t usable(TimePoint now) const;
    /** End of what usable() returns. */
    TimePoint usableUntil() const;

    /** When nextAction() can have something new. Empty while a reply is awaited or nothing is wanted. */
    std::optional<TimePoint> nextTimer(std::uint32_t extraInUse) const;

    /** Has nothing that would be lost with it: no lease, no wish, no reply to come, no lease of others in view. */
    bool isIdle(TimePoint now) const;

private:
    struct Held
    {
        std::uint32_t amount = 0;
        std::uint64_t sequence = 0;
        TimePoint sentAt;
        TimePoint end;
        /** Sum of all leases of the row in the write that granted this one. */
        std::uint64_t rowTotal = 0;
    };

    /** A write that may have taken effect. */
    struct Pending
    {
        TableWrite write;
        Held held;
        /** A reply was lost; until then a refusal means that nothing was written. */
        bool isUncertain = false;
    };

    struct Observation
    {
        std::uint64_t sequence = 0;
        TimePoint firstSeen;
    };

    using Holder = std::pair<ServerId, Incarnation>;

    bool isOwn(const TeamLease &lease) const;
    std::uint32_t wanted(std::uint32_t extraInUse) const;
    bool needsWrite(TimePoint now, std::uint32_t extraInUse) const;
    void learnRow(const TableReply &reply, TimePoint now);
    /** The row with what this agent may change: expired leases and its own one removed. */
    TeamLeaseRow rowWithoutExpired(TimePoint now) const;
    std::optional<LeaseAction> composeWrite(TimePoint now, std::uint32_t extraInUse);
    LeaseAction send(const Pending &pending);

    Options options_;
    std::string key_;
    ServerId server_;
    Incarnation agent_;
    std::uint32_t remainder_ = 0;
    std::uint32_t demand_ = 0;
    std::uint64_t sequence_ = 0;
    bool isAwaiting_ = false;
    bool isRowKnown_ = false;
    RowVersion rowVersion_;
    TeamLeaseRow row_;
    std::map<Holder, Observation> observations_;
    std::optional<Held> held_;
    std::optional<Pending> pending_;
    TimePoint retryAt_{};
};

} // namespace hornbeamlane
