#pragma once

#include "hornbeamlane_routing/choice/RoutingRequest.h"
#include "hornbeamlane_routing/prefix/PrefixCacheView.h"
#include "hornbeamlane_routing/view/ServerView.h"

#include <functional>
#include <optional>

namespace hornbeamlane {

/** Chooses the backend server of a request among a few candidates, by load, cache, distance and team budget. */
class ServerChooser final
{
public:
    struct Input
    {
        const RoutingRequest &request;
        TargetIndex target;
        TimePoint now;
        RandomSource &random;
    };

    /** Names a server; the chooser refuses it if the server may not take the request. */
    using Policy = std::function<std::optional<ServerIndex>(const ServerChooser &, const Input &)>;

    struct Options
    {
        /** Servers examined for one request at most, so that the cost does not grow with their number. */
        std::size_t maxExamined = 12;
        /** Random candidates that are compared. */
        std::size_t randomCandidates = 2;
        /** Known holders of the prompt's prefix that are compared as well. */
        std::size_t cacheCandidates = 2;
        /** Home servers of the team that are compared as well. */
        std::size_t homeCandidates = 2;
        /** Time in which a report loses half of its weight against unreportedLoad. */
        Duration reportHalfLife = std::chrono::seconds(1);
        /** Load over limit that is assumed without a report; high, so that a silent server does not attract work. */
        double unreportedLoad = 0.7;
        /** Load over limit that a fully cached prompt is worth. */
        double localityBonus = 0.5;
        /** Load over limit that another data centre costs. */
        double distanceCost = 0.5;
        /** Load over limit that a home server with free budget of the team is worth. */
        double homeBonus = 0.3;
        /** Load over limit that a server without free budget of the team costs. */
        double noBudgetCost = 1.0;
        /** Load over limit that a fully cold server costs. */
        double coldCost = 0.5;
        /** Load over limit at which a server counts as full; above 1, because agents queue a little. */
        double fullAt = 1.25;
        /** Entries that share the servers; a cold server takes only its limit over this from each. */
        std::uint32_t entryCount = 1;
        /** The decision itself; the default is chooseByScore(). */
        Policy policy;
    };

    ServerChooser(const ServerView &view, const PrefixCacheView &cache);
    ServerChooser(const ServerView &view, const PrefixCacheView &cache, Options options);

    /** Empty if no server may take the request; lastFailure() then says why. */
    std::optional<ServerIndex> choose(const RoutingRequest &request, TimePoint now, RandomSource &random);

    /** Why the last choice failed. No attempt was made for it, so it adds nothing to what has run. */
    RefusalReason lastFailure() const;

    /** Servers that chooseByScore() examined for the last choice. */
    std::size_t lastExamined() const;

    /** Our policy: the best by score of random, cache and home candidates. */
    std::optional<ServerIndex> chooseByScore(const Input &input) const;

    /** Estimated load over limit; other entries' part is weighted by the age of the report. */
    double loadShare(const ServerState &server, TimePoint now) const;

    /** Score of a server for a request; lower is better. */
    double score(const Input &input, ServerIndex server) const;

    /** Whether the server may take the request: usable, not full and accepted by the request's own condition. */
    bool isEligible(const Input &input, ServerIndex server) const;

    const ServerView &view() const;

private:
    RefusalReason reasonForNone(const RoutingRequest &request, TargetIndex target) const;

    const ServerView &view_;
    const PrefixCacheView &cache_;
    Options options_;
    RefusalReason lastFailure_ = RefusalReason::NoServerAvailable;
    mutable std::size_t lastExamined_ = 0;
};

} // namespace hornbeamlane
