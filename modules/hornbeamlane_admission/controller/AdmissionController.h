#pragma once

#include "hornbeamlane_admission/concurrency/AdaptiveConcurrency.h"
#include "hornbeamlane_admission/concurrency/ColdStartLimiter.h"
#include "hornbeamlane_admission/concurrency/EngineRateLimit.h"
#include "hornbeamlane_admission/concurrency/EngineWatch.h"
#include "hornbeamlane_admission/controller/LatencyEstimate.h"
#include "hornbeamlane_admission/teams/TeamLimits.h"
#include "hornbeamlane_messages/hornbeamlane_messages.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace hornbeamlane {

/**
    Decides what the backend server beside this agent runs.

    After every event the agent carries out takeActions(), and calls it again at nextTimer(). Every refusal from here
    is true in saying "not run": a request is refused only before it is returned as one to start.
*/
class AdmissionController final
{
public:
    struct Options
    {
        ColdStartLimiter::Options coldStart;
        AdaptiveConcurrency::Options adaptive;
        EngineWatch::Options engine;
        RateBucket::Options engineRate;
        FairQueue<AttemptId>::Options queue;
        TeamLimits::Options teams;
        /** Bounds the size of a load report; the rest follows with the next one. */
        std::size_t budgetsPerReport = 64;
        /** Whether a drain refuses new work; replaced to switch "drain-refuses" off. */
        std::function<bool()> refusesUnderDrain;
    };

    struct Request
    {
        AttemptId attempt;
        TeamId team;
        ClassId requestClass;
        std::uint32_t priority = 0;
        /** Time until the caller stops waiting. */
        Duration remainingDeadline{};
        /** Most tokens that it may generate; 0 for a plain service. */
        std::uint32_t tokens = 0;
    };

    /** The request has to be sent to the engine now. */
    struct Admitted
    {
    };

    /** The request waits; takeActions() starts or refuses it. */
    struct Queued
    {
    };

    using Decision = std::variant<Admitted, Queued, Refusal>;

    enum class Outcome {
        Succeeded,
        Failed, ///< The engine answered with an error.
        ConnectionLost, ///< The connection was refused or reset.
        Cancelled,
    };

    struct Actions
    {
        /** Queued requests that have to be sent to the engine now. */
        std::vector<AttemptId> start;
        /** Queued requests that will not run. */
        std::vector<std::pair<AttemptId, Refusal>> refuse;
        /** Running requests to cancel in the engine; they count until finished() is called. */
        std::vector<AttemptId> cancelInEngine;
        std::vector<TeamLimits::TableAction> table;
    };

    AdmissionController(ServerId server, Incarnation agent, Options options, TimePoint now);

    void applyCatalogue(CatalogueVersion version, const Catalogue &catalogue, CatalogueVersion settled, TimePoint now);

    Decision submit(const Request &request, TimePoint now);

    /** The request was handed to the engine's connection. */
    void started(const AttemptId &attempt, TimePoint now);
    void firstToken(const AttemptId &attempt, TimePoint now);
    /** So many tokens have arrived since the last call, the first one excluded. */
    void tokens(const AttemptId &attempt, std::uint32_t count, TimePoint now);
    /** The engine runs the request no longer. */
    void finished(const AttemptId &attempt, Outcome outcome, TimePoint now);
    /** The caller is gone. */
    void cancelled(const AttemptId &attempt, TimePoint now);

    void engineReported(const EngineReport &report, TimePoint now);
    /** A connection outside of any request, such as a health check, was refused or reset. */
    void connectionFailed(TimePoint now);
    /** An answer of the engine, to a request of that time, names how many requests a second it takes, or nothing.
        Returns true if that is a change. */
    bool engineAnswered(std::optional<double> requestsPerSecond, TimePoint sentAt, TimePoint now);

    void setDraining(bool isDraining);
    /** Refuses new work from now on, for good. */
    void leave();

    void leaseReadFinished(const TeamId &team, const TableReply &reply, TimePoint now);
    void leaseWriteFinished(const TeamId &team, const TableReply &reply, TimePoint now);

    Actions takeActions(TimePoint now);
    std::optional<TimePoint> nextTimer() const;

    /** The fields of the report that admission knows; cache events are the agent's. */
    LoadReport loadReport(TimePoint now);

    /** Newest catalogue version that may be confirmed as the only one in use here; see TeamLimits::isWithinShares(). */
    std::optional<CatalogueVersion> confirmableVersion(TimePoint now);
    std::vector<CatalogueVersion> missingVersions() const;

    std::uint32_t freeConcurrency(const TeamId &team, TimePoint now);

    /** Nothing runs or waits; a leaving agent may exit. */
    bool isIdle() const
    {
        return entries_.empty();
    }

    std::uint32_t running() const
    {
        return coldStart_.running();
    }

    /** Requests that the engine may run at once. */
    std::uint32_t limit() const;

    /** Requests a second that the engine takes; empty if it names no limit. */
    std::optional<double> engineRate() const
    {
        return rate_.perSecond();
    }

private:
    struct Entry
    {
        TeamId team;
        std::uint32_t tokens = 0;
        std::uint32_t generated = 0;
        Duration firstTokenTarget{};
        Duration intervalTarget{};
        TimePoint deadline;
        bool isRunning = false;
        bool hasFirstToken = false;
        /** Of ColdStartLimiter. */
        std::uint64_t number = 0;
        TimePoint startedAt;
        TimePoint lastTokenAt;
    };

    bool mayStartOne(TimePoint now);
    void start(const AttemptId &attempt, Entry &entry, TimePoint now);
    Duration predictedFirstToken() const;
    Duration predictedWait(std::size_t ahead, TimePoint now);
    std::uint32_t reportedLimit() const;
    void refuseQueued(const FairQueue<AttemptId>::Item &item, RefusalReason reason, const char *detail, TimePoint now);
    void noteFirstToken(Entry &entry, TimePoint now);
    void startQueued(TimePoint now);
    void noteLeftovers();

    Options options_;
    ServerId server_;
    ColdStartLimiter coldStart_;
    AdaptiveConcurrency adaptive_;
    EngineWatch engine_;
    EngineRateLimit rate_;
    FairQueue<AttemptId> queue_;
    TeamLimits teams_;
    std::map<ClassId, ClassEntry> classes_;
    CatalogueVersion newest_;
    bool isListed_ = false;
    bool isDraining_ = false;
    bool isLeaving_ = false;
    std::unordered_map<AttemptId, Entry> entries_;
    /** Ends of the running requests. */
    std::set<std::pair<TimePoint, AttemptId>> deadlines_;
    LatencyEstimate firstTokenTime_;
    LatencyEstimate holdTime_;
    LatencyEstimate interval_;
    Actions actions_;
};

} // namespace hornbeamlane
