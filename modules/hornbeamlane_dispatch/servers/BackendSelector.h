#pragma once

#include "hornbeamlane_dispatch/servers/Backend.h"
#include "hornbeamlane_dispatch/servers/BackendDraw.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace hornbeamlane {

class BackendBook;

/** Chooses a server for a request among those that a book knows. */
class BackendSelector final
{
public:
    struct Request
    {
        ServiceId service;
        DataCentreId dataCentre;
        /** Data centres whose servers may run it; null: all. */
        const std::set<DataCentreId> *allowed = nullptr;
        /** Servers that have already been tried for it. */
        const std::vector<ServerId> *excluded = nullptr;
        /** Streams go to units by their pace. */
        bool isStream = false;
        /** Part of the bound of a pace unit up to which the request may fill it; empty: the bound does not apply. */
        std::optional<double> shareOfPaceBound;
        /** Time within which the answer of a request that is no stream is on time. */
        std::chrono::milliseconds latencyTarget{400};
    };

    enum class NoChoice {
        NoServer, ///< No server of the service is known and usable.
        GroupBroken, ///< All servers that could take it are ranks of groups that have lost a rank.
        GroupForming, ///< All ranks of such a group are back; it opens within a second.
        AllFull,
        AtPaceBound, ///< Each server that is not full has a pace that one more stream would make too slow.
        RateLimited, ///< Each server that is not full has named a limit that leaves nothing for this entry now.
        AllPaused, ///< Each server that could take it has asked this entry for a pause.
        AllExcluded, ///< Each usable server has been tried already.
    };

    /** Empty: see lastFailure(). */
    std::optional<ServerId> choose(BackendBook &book, const Request &request, TimePoint now, RandomSource &random);

    NoChoice lastFailure() const
    {
        return lastFailure_;
    }

private:
    /** Why servers were passed over. */
    struct Findings
    {
        bool anyUsable = false;
        bool anyForming = false;
        bool anyOpen = false;
        bool anyFull = false;
        bool anyAtPaceBound = false;
        bool anyRateLimited = false;
        bool anyPaused = false;

        NoChoice failure() const;
    };

    /** What a choice needs to know of a pace unit. */
    struct PaceUnitView
    {
        /** Load over bound. */
        double fill = 0;
        /** Requests over slots of all its servers. */
        double load = 0;
        /** Whether any of its servers is in the data centre of the request. */
        bool isHome = false;
    };

    /** One choice: the servers that may take the request, by what is known of them now. */
    struct Round
    {
        BackendBook &book;
        const Request &request;
        TimePoint now;
        RandomSource &random;
        /** The units seen so far. */
        std::unordered_map<PaceUnitId, PaceUnitView> units;
        std::vector<BackendCandidate> candidates;
        /** Used if there are no others. */
        std::vector<BackendCandidate> avoided;
        Findings findings;
    };

    static void collect(Round &round, const std::vector<Backend *> &servers);
    /** Whether the server's group serves; notes one that is about to form again. */
    static bool isGroupOpen(Round &round, const Backend &backend, std::map<GroupId, std::set<std::uint32_t>> &listed);
    static bool isExcluded(const Request &request, const ServerId &server);
    /** A rank of a group that should have formed again; empty if there is none to try now. */
    static std::optional<ServerId> chooseTrial(const Round &round, const std::vector<Backend *> &servers);
    /** Requests that the server takes well: its slots, or fewer as learned for requests that are no streams. */
    static double takesWell(const Round &round, const Backend &backend);
    static bool isFull(const Round &round, const Backend &backend);
    static const PaceUnitView &viewOf(Round &round, const Backend &backend);
    /** What a unit costs a stream. */
    static double paceScore(const Round &round, const PaceUnitId &id, const PaceUnitView &unit);
    /** What its longer answers cost, by their part of the latency target. */
    static double latencyScore(const Round &round, const Backend &backend);
    static double score(const Round &round, const Backend &backend);

    NoChoice lastFailure_ = NoChoice::NoServer;
};

} // namespace hornbeamlane
