#include "hornbeamlane_routing/choice/ServerChooser.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace hornbeamlane {

namespace {

/** Size of the buffers on the stack; bounds the options that name numbers of candidates. */
constexpr std::size_t mostCandidates = 16;

/** Candidates of one request and the best of them so far. */
class Comparison final
{
public:
    Comparison(const ServerChooser &chooser, const ServerChooser::Input &input, std::size_t maxExamined)
        : chooser_(chooser)
        , input_(input)
        , maxExamined_(std::min(maxExamined, mostCandidates))
    {
    }

    /** Returns true if the server was not seen before and may take the request. */
    bool add(ServerIndex server)
    {
        const auto end = seen_.begin() + static_cast<std::ptrdiff_t>(count_);
        if (isFull() || std::find(seen_.begin(), end, server) != end) {
            return false;
        }
        seen_[count_++] = server;
        if (!chooser_.isEligible(input_, server)) {
            return false;
        }
        const double score = chooser_.score(input_, server);
        if (!best_ || score < bestScore_) {
            best_ = server;
            bestScore_ = score;
        }
        return true;
    }

    /** Adds random servers of a list until so many of them may take the request. */
    void addRandom(const std::vector<ServerIndex> &servers, std::size_t wanted)
    {
        if (servers.size() <= maxExamined_) {
            // Draws with repetition would miss servers of a short list.
            addSome(servers, wanted);
            return;
        }
        for (std::size_t draws = 0; wanted > 0 && !isFull() && draws < 2 * maxExamined_; ++draws) {
            wanted -= add(servers[input_.random.below(servers.size())]) ? 1 : 0;
        }
    }

    bool isFull() const
    {
        return count_ >= maxExamined_;
    }

    std::size_t count() const
    {
        return count_;
    }

    std::optional<ServerIndex> best() const
    {
        return best_;
    }

private:
    void addSome(const std::vector<ServerIndex> &servers, std::size_t wanted)
    {
        std::array<ServerIndex, mostCandidates> order;
        std::copy(servers.begin(), servers.end(), order.begin());
        for (std::size_t left = servers.size(); left > 0 && wanted > 0 && !isFull(); --left) {
            std::swap(order[input_.random.below(left)], order[left - 1]);
            wanted -= add(order[left - 1]) ? 1 : 0;
        }
    }

    const ServerChooser &chooser_;
    const ServerChooser::Input &input_;
    std::size_t maxExamined_;
    std::array<ServerIndex, mostCandidates> seen_;
    std::size_t count_ = 0;
    std::optional<ServerIndex> best_;
    double bestScore_ = 0;
};

} // namespace

ServerChooser::ServerChooser(const ServerView &view, const PrefixCacheView &cache)
    : ServerChooser(view, cache, Options{})
{
}

ServerChooser::ServerChooser(const ServerView &view, const PrefixCacheView &cache, Options options)
    : view_(view)
    , cache_(cache)
    , options_(std::move(options))
{
    HORNBEAMLANE_ASSERT(options_.maxExamined <= mostCandidates && options_.cacheCandidates <= mostCandidates);
    HORNBEAMLANE_ASSERT(options_.entryCount > 0 && options_.reportHalfLife > Duration::zero());
    if (!options_.policy) {
        options_.policy = [](const ServerChooser &chooser, const Input &input) { return chooser.chooseByScore(input); };
    }
}

std::optional<ServerIndex> ServerChooser::choose(const RoutingRequest &request, TimePoint now, RandomSource &random)
{
    lastExamined_ = 0;
    const auto target = view_.findTarget(request.kind, request.target);
    if (!target) {
        lastFailure_ = request.kind == WorkKind::Model ? RefusalReason::UnknownModel : RefusalReason::UnknownService;
        return std::nullopt;
    }
    const Input input{.request = request, .target = *target, .now = now, .random = random};
    const auto chosen = options_.policy(*this, input);
    if (chosen && isEligible(input, *chosen)) {
        return chosen;
    }
    lastFailure_ = reasonForNone(request, *target);
    return std::nullopt;
}

RefusalReason ServerChooser::lastFailure() const
{
    return lastFailure_;
}

std::size_t ServerChooser::lastExamined() const
{
    return lastExamined_;
}

std::optional<ServerIndex> ServerChooser::chooseByScore(const Input &input) const
{
    const auto &request = input.request;
    Comparison comparison(*this, input, options_.maxExamined);
    std::array<ServerIndex, mostCandidates> holders;
    const auto found = cache_.findHolders(request.prefixes, std::span(holders).first(options_.cacheCandidates));
    for (std::size_t i = 0; i < found; ++i) {
        const auto &holder = view_.server(holders[i]);
        if (holder.dataCentre == request.dataCentre
            && std::find(holder.targets.begin(), holder.targets.end(), input.target) != holder.targets.end()) {
            comparison.add(holders[i]);
        }
    }
    if (const auto *team = view_.findTeam(request.team)) {
        std::size_t wanted = std::min(options_.homeCandidates, team->homes.size());
        const std::size_t start = team->homes.empty() ? 0 : input.random.below(team->homes.size());
        // The homes of a team include those of other data centres and targets, so a few more are looked at.
        for (std::size_t i = 0; wanted > 0 && i < std::min(team->homes.size(), options_.maxExamined); ++i) {
            const auto home = team->homes[(start + i) % team->homes.size()];
            const auto &server = view_.server(home);
            if (server.dataCentre == request.dataCentre
                && std::find(server.targets.begin(), server.targets.end(), input.target) != server.targets.end()) {
                wanted -= comparison.add(home) ? 1 : 0;
            }
        }
    }
    comparison.addRandom(view_.pool(input.target, request.dataCentre).servers, options_.randomCandidates);
    if (!comparison.best() && request.maySpill && view_.dataCentreCount() > 0) {
        const auto count = view_.dataCentreCount();
        const std::size_t start = input.random.below(count);
        for (std::size_t i = 0; i < count && !comparison.best() && !comparison.isFull(); ++i) {
            const auto other = static_cast<DataCentreIndex>((start + i) % count);
            comparison.addRandom(view_.pool(input.target, other).servers, options_.randomCandidates);
        }
    }
    lastExamined_ = comparison.count();
    return comparison.best();
}

double ServerChooser::loadShare(const ServerState &server, TimePoint now) const
{
    const double limit = std::max<double>(server.limit, 1);
    const double own = server.ownInFlight;
    if (!server.reportedAt) {
        return own / limit + options_.unreportedLoad;
    }
    const std::chrono::duration<double> age = now - *server.reportedAt;
    const std::chrono::duration<double> halfLife = options_.reportHalfLife;
    const double weight = std::exp2(-std::max(age.count(), 0.0) / halfLife.count());
    const double reported = static_cast<double>(server.foreignInFlight()) + server.queued;
    return (own + weight * reported) / limit + (1 - weight) * options_.unreportedLoad;
}

double ServerChooser::score(const Input &input, ServerIndex index) const
{
    const auto &server = view_.server(index);
    double score = loadShare(server, input.now);
    score -= options_.localityBonus * cache_.cachedShare(index, input.request.prefixes);
    score += options_.coldCost * (1 - server.warmFraction);
    if (server.dataCentre != input.request.dataCentre) {
        score += options_.distanceCost;
    }
    if (const auto *team = view_.findTeam(input.request.team)) {
        const auto free = team->freeOn(index);
        if (free && *free == 0) {
            // Only a cost: the budget may have become free since, and the agent decides.
            score += options_.noBudgetCost;
        } else if (std::find(team->homes.begin(), team->homes.end(), index) != team->homes.end()) {
            score -= options_.homeBonus;
        }
    }
    return score;
}

bool ServerChooser::isEligible(const Input &input, ServerIndex index) const
{
    if (!view_.isUsable(index)) {
        return false;
    }
    const auto &server = view_.server(index);
    if (loadShare(server, input.now) - (server.reportedAt ? 0 : options_.unreportedLoad) >= options_.fullAt) {
        return false;
    }
    if (server.warmFraction < 1) {
        // The other entries see the same idle cold server at the same time, so each takes only its part of the limit.
        const auto part = (server.limit + options_.entryCount - 1) / options_.entryCount;
        if (server.ownInFlight >= std::max(part, 1U)) {
            return false;
        }
    }
    return !input.request.mayUse || input.request.mayUse(server);
}

const ServerView &ServerChooser::view() const
{
    return view_;
}

RefusalReason ServerChooser::reasonForNone(const RoutingRequest &request, TargetIndex target) const
{
    for (DataCentreIndex i = 0; i < view_.dataCentreCount(); ++i) {
        if ((request.maySpill || i == request.dataCentre) && !view_.pool(target, i).servers.empty()) {
            return RefusalReason::Overloaded;
        }
    }
    return RefusalReason::NoServerAvailable;
}

} // namespace hornbeamlane
