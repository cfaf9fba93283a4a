#pragma once

#include "hornbeamlane_admission/teams/FloorSplit.h"
#include "hornbeamlane_admission/teams/TeamLeaseBook.h"
#include "hornbeamlane_base/rate/TokenBucket.h"

#include <functional>
#include <limits>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace hornbeamlane {

/**
    Limits of the teams on one server: its share of each team's floor, and leases on the shared part.

    As long as a catalogue version is not settled, the smallest share of all versions from the settled to the newest
    one holds. All agents have the settled version in their range, so the sum of their shares is within its limit.
*/
class TeamLimits final
{
public:
    struct Options
    {
        FloorSplit::Options split;
        TeamLeaseBook::Options leases;
        /** Capacity of a bucket, as time at its rate. */
        std::chrono::milliseconds burst{1000};
        /** Whether older versions that are not settled count; replaced to switch "settled-minimum" off. */
        std::function<bool()> countsUnsettled;
        /** Level of a new bucket; replaced to switch "bucket-starts-empty" off. */
        std::function<double(double capacity)> startLevel;
    };

    struct TableAction
    {
        TeamId team;
        LeaseAction action;
    };

    TeamLimits(ServerId server, Incarnation agent, Options options);

    /** Takes a catalogue version, in any order; versions older than the settled one are forgotten. */
    void apply(CatalogueVersion version, const Catalogue &catalogue, CatalogueVersion settled, TimePoint now);

    /** Versions between the settled and the newest one that have not arrived. Until then the shares are zero. */
    std::vector<CatalogueVersion> missingVersions() const;

    /** Running requests whose team is unknown; they count against every team. */
    void setLeftovers(std::uint32_t leftovers);

    /** Takes a slot and the rates for a request that ends by the deadline, or refuses it. */
    std::optional<Refusal> reserve(const TeamId &team, TimePoint deadline, std::uint32_t tokens, TimePoint now);

    /** Whether the reserved slot of a queued request still exists; shares can shrink while it waits. */
    bool mayStart(const TeamId &team, TimePoint now);

    /** Ends a reservation. Tokens that were reserved and not generated are given back; a debt is negative. */
    void release(const TeamId &team, std::int64_t unusedTokens, TimePoint now);
    /** Ends the reservation of a request that never ran. */
    void giveBack(const TeamId &team, std::uint32_t tokens, TimePoint now);

    /** Requests that the team may still add. Unlimited teams have the largest number. */
    std::uint32_t freeConcurrency(const TeamId &team, TimePoint now);

    /** Teams whose free concurrency may have changed since the last call, at most so many. */
    std::vector<TeamId> takeChangedTeams(std::size_t limit);

    /** True when no team runs more than its share, so that other servers may rely on the newest version. */
    bool isWithinShares(TimePoint now);

    CatalogueVersion newestVersion() const
    {
        return newest_;
    }

    std::vector<TableAction> takeTableActions(TimePoint now);
    void readFinished(const TeamId &team, const TableReply &reply, TimePoint now);
    void writeFinished(const TeamId &team, const TableReply &reply, TimePoint now);

    std::optional<TimePoint> nextTimer() const;

private:
    static constexpr std::uint32_t unlimited = std::numeric_limits<std::uint32_t>::max();

    /** What one version, or several together, allow on this server. Rates are per second and infinite if not limited.
     */
    struct Share
    {
        std::uint32_t floor = unlimited;
        /** Shared part of the limit in all data centres. */
        std::uint32_t remainder = 0;
        float requestRate = std::numeric_limits<float>::infinity();
        float requestRateOfLease = std::numeric_limits<float>::infinity();
        float tokenRate = std::numeric_limits<float>::infinity();
        float tokenRateOfLease = std::numeric_limits<float>::infinity();

        void limitBy(const Share &other);
    };

    struct Team
    {
        std::vector<std::pair<CatalogueVersion, Share>> versions;
        Share share;
        std::uint32_t used = 0;
        TokenBucket requests;
        TokenBucket tokens;
        /** Rates of the lease that were counted since the last update of the buckets. */
        std::uint32_t leaseInBuckets = 0;
        bool hasBuckets = false;
        std::unique_ptr<TeamLeaseBook> book;
        /** Its place in tableTimers_. */
        std::optional<TimePoint> tableTimer;
    };

    struct Rates
    {
        double requests = 0;
        double tokens = 0;
    };

    using Teams = std::unordered_map<TeamId, Team>;

    Share shareOf(const FloorSplit &split, const Catalogue &catalogue, const TeamEntry &entry) const;
    void combine(Team &team);
    Rates ratesOf(const Team &team, std::uint32_t lease) const;
    double capacityOf(double rate) const;
    void advanceBuckets(Team &team, TimePoint now);
    std::uint32_t extraInUse(const Team &team) const;
    void noteDemand(const TeamId &id, Team &team, std::uint32_t amount);
    std::optional<Refusal> refuseByRate(const Team &team, std::uint32_t tokens) const;
    void noteChange(const TeamId &team);
    void schedule(const TeamId &id, Team &team);

    ServerId server_;
    Incarnation agent_;
    Options options_;
    Teams teams_;
    std::set<CatalogueVersion> versions_;
    CatalogueVersion newest_;
    CatalogueVersion settled_;
    std::uint32_t leftovers_ = 0;
    std::set<TeamId> changed_;
    /** When the lease books of the teams may have something to send. */
    std::set<std::pair<TimePoint, TeamId>> tableTimers_;
};

} // namespace hornbeamlane
