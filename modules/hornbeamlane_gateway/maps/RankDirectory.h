#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"
#include "hornbeamlane_gateway/maps/RankEndpoint.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hornbeamlane {

/**
    Tells at which server each rank of a group is.

    Rows may name a rank that their server is not, and several rows may name one rank. A server counts as a rank once it
    has reported to be that rank. While servers at different addresses report to be one rank, none of them counts.
*/
class RankDirectory final
{
public:
    /** Rows by the rank that they name; the pointers are used during the call only. */
    using Rows = std::map<RankIndex, std::vector<const BackendSpec *>>;

    struct Options
    {
        /** Pause between two rounds of questions about a rank. */
        std::chrono::milliseconds askInterval{100};
        /** The same after a round in which several servers have reported to be the rank. */
        std::chrono::milliseconds contestedInterval{1000};
        /** Time for which a row is left out after another server has answered at its address. */
        std::chrono::milliseconds misdirectedTime{10000};
    };

    /** What a round of questions about a rank has shown. */
    enum class Outcome {
        Pending, ///< Answers are missing.
        Found,
        NotFound, ///< No server has reported to be the rank.
        Contested, ///< Servers at different addresses have.
    };

    RankDirectory();
    explicit RankDirectory(Options options);

    /** The rows as they are now; a rank whose row is still there unchanged stays known. */
    void setRows(const Rows &rows);

    /** The group has formed anew: ranks that several rows name have to report again. */
    void restart();

    /** Null while it is not known. */
    const RankEndpoint *find(RankIndex rank) const;

    /** Ranks that any row names. */
    std::vector<RankIndex> namedRanks() const;

    /** Begins a round: servers to ask whether they are the rank; none during a round, in its pause, and for a rank that
        is known. */
    std::vector<RankEndpoint> beginRound(RankIndex rank, TimePoint now);

    /** The server has reported to be the rank that its row names, or has not in time. */
    Outcome onAnswer(const RankEndpoint &endpoint, bool isRank, TimePoint now);

    /** Another server has answered at the address. */
    void onMisdirected(const RankEndpoint &endpoint, TimePoint now);

private:
    struct Candidate
    {
        RankEndpoint endpoint;
        /** Another server has answered at its address. */
        TimePoint leftOutUntil;
        bool isAsked = false;
        bool hasReported = false;
    };

    struct Rank
    {
        std::vector<Candidate> candidates;
        std::optional<RankEndpoint> known;
        TimePoint nextRoundAt;
    };

    static bool states(const BackendSpec &row, const RankEndpoint &endpoint);
    static bool isSame(const RankEndpoint &a, const RankEndpoint &b);
    static void takeRows(Rank &rank, const std::vector<const BackendSpec *> &rows);
    Outcome endRound(Rank &rank, TimePoint now) const;

    Options options_;
    std::map<RankIndex, Rank> ranks_;
};

} // namespace hornbeamlane
