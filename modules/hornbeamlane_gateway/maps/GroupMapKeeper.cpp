#include "hornbeamlane_gateway/maps/GroupMapKeeper.h"

#include "hornbeamlane_observability/hornbeamlane_observability.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace hornbeamlane {

namespace {

/** Maps that one holder of the lease can number before its token has to be renewed. */
constexpr std::uint64_t mapsPerToken = 1 << 16;

constexpr std::chrono::milliseconds placementRetry{300};

std::string_view toString(HeldMapSwitch::Phase phase)
{
    switch (phase) {
    case HeldMapSwitch::Phase::Recovering:
        return "recovering";
    case HeldMapSwitch::Phase::Idle:
        return "idle";
    case HeldMapSwitch::Phase::Preparing:
        return "preparing";
    case HeldMapSwitch::Phase::Holding:
        return "holding";
    case HeldMapSwitch::Phase::Arming:
        return "arming";
    case HeldMapSwitch::Phase::Releasing:
        return "releasing";
    case HeldMapSwitch::Phase::Settling:
        return "settling";
    case HeldMapSwitch::Phase::Unwinding:
        return "unwinding";
    }
    return "unknown";
}

std::string_view toString(EngineOrderResult result)
{
    switch (result) {
    case EngineOrderResult::Accepted:
        return "accepted";
    case EngineOrderResult::Refused:
        return "refused";
    case EngineOrderResult::Misdirected:
        return "misdirected";
    case EngineOrderResult::NoReply:
        return "no_reply";
    }
    return "unknown";
}

std::string formatShare(double value)
{
    std::array<char, 16> text{};
    std::snprintf(text.data(), text.size(), "%.2f", value);
    return text.data();
}

} // namespace

GroupMapKeeper::GroupMapKeeper(EventLoop &loop, EngineApi api, Options options)
    : loop_(loop)
    , api_(std::move(api))
    , options_(std::move(options))
    , switch_({.ranks = options_.ranks, .holdRank = static_cast<RankIndex>(options_.token.value() % options_.ranks)})
    , popularity_({.layers = options_.engine.expertLayers,
                   .expertsPerLayer = static_cast<ExpertIndex>(options_.engine.expertsPerLayer),
                   .halfLife = options_.policy.popularityHalfLife})
    , placement_({.slotsPerRank = options_.engine.placesPerRank,
                  .movesPerRound = options_.ranks * options_.engine.expertLayers * std::size_t(2),
                  .newPerRank = options_.engine.sparePlaces,
                  .smallestGain = options_.policy.smallestMoveGain})
    , paces_({.ranks = options_.ranks})
{
}

void GroupMapKeeper::tick()
{
    const auto now = loop_.now();
    if (switch_.epoch() && *switch_.epoch() != epoch_) {
        // A new epoch starts with the uniform map and counts from zero.
        epoch_ = *switch_.epoch();
        active_.reset();
        lastCounts_.clear();
        paces_.restart();
        ranks_.restart();
    }
    sendOrders(switch_.poll(now));
    readReports();
    readPaces();
    readMaps();
    if (switch_.phase() != loggedPhase_) {
        loggedPhase_ = switch_.phase();
        logEvent(LogLevel::Info, "map_switch",
                 {{"group", options_.group.name()},
                  {"phase", std::string(toString(loggedPhase_))},
                  {"active", std::to_string(switch_.activeMap().value())},
                  {"completed", std::to_string(switch_.counters().completed)},
                  {"abandoned", std::to_string(switch_.counters().abandoned)},
                  {"resent", std::to_string(switch_.counters().resent)}});
    }
    if (now - sampledAt_ >= options_.policy.sampleInterval) {
        sampledAt_ = now;
        readCounts();
    }
    if (switch_.phase() == HeldMapSwitch::Phase::Idle && switch_.epoch()) {
        if (next_ && next_->version() == switch_.activeMap()) {
            active_ = std::exchange(next_, std::nullopt);
        }
        if (!active_ || active_->version() != switch_.activeMap()) {
            readPlacements();
        } else if (std::exchange(hasFreshCounts_, false)) {
            considerMap();
        }
    }
}

void GroupMapKeeper::sendOrders(const std::vector<EngineOrder> &orders)
{
    for (const auto &order : orders) {
        const auto *endpoint = ranks_.find(order.rank);
        if (endpoint == nullptr) {
            // The switch sends the order again; by then the rank may be known.
            readReport(order.rank);
            continue;
        }
        api_.sendOrder(*endpoint, order, options_.token,
                       [this, guard = Guard(alive_), endpoint = *endpoint, order](EngineOrderResult result) {
                           if (!guard.expired()) {
                               takeResult(endpoint, order, result);
                           }
                       });
    }
}

void GroupMapKeeper::takeResult(const RankEndpoint &endpoint, const EngineOrder &order, EngineOrderResult result)
{
    const auto now = loop_.now();
    if (result != EngineOrderResult::Accepted) {
        logEvent(LogLevel::Info, "map_order_failed",
                 {{"group", options_.group.name()},
                  {"rank", std::to_string(order.rank)},
                  {"kind", std::to_string(static_cast<int>(order.kind))},
                  {"step", std::to_string(order.step.value())},
                  {"result", std::string(toString(result))}});
    }
    if (result == EngineOrderResult::Misdirected) {
        ranks_.onMisdirected(endpoint, now);
    }
    switch_.onResult(order, result, now);
    sendOrders(switch_.poll(now));
}

void GroupMapKeeper::readReports()
{
    for (const auto rank : switch_.reportsWanted(loop_.now())) {
        readReport(rank);
    }
}

void GroupMapKeeper::readReport(RankIndex rank)
{
    if (const auto *endpoint = ranks_.find(rank)) {
        readReportAt(*endpoint);
        return;
    }
    for (const auto &endpoint : ranks_.beginRound(rank, loop_.now())) {
        readReportAt(endpoint);
    }
}

void GroupMapKeeper::readReportAt(const RankEndpoint &endpoint)
{
    api_.readReport(endpoint, [this, guard = Guard(alive_), endpoint](const std::optional<EngineRankReport> &report) {
        if (guard.expired()) {
            return;
        }
        const auto now = loop_.now();
        const auto outcome = ranks_.onAnswer(endpoint, report.has_value(), now);
        logUnclearRank(endpoint, outcome);
        const auto *known = ranks_.find(endpoint.rank);
        if (!report || known == nullptr || known->address != endpoint.address) {
            return;
        }
        paces_.onPace(report->rank, report->pace, now);
        switch_.onReport(*report, now);
        sendOrders(switch_.poll(now));
    });
}

void GroupMapKeeper::logUnclearRank(const RankEndpoint &endpoint, RankDirectory::Outcome outcome)
{
    if (outcome != RankDirectory::Outcome::NotFound && outcome != RankDirectory::Outcome::Contested) {
        return;
    }
    if (const auto leftOut = unclearRankLog_.tryWrite(loop_.now())) {
        logEvent(LogLevel::Info, "map_rank_unclear",
                 {{"group", options_.group.name()},
                  {"rank", std::to_string(endpoint.rank)},
                  {"server", endpoint.server.name()},
                  {"reason", outcome == RankDirectory::Outcome::Contested ? "several_servers" : "no_report"},
                  {"not_logged_before", std::to_string(*leftOut)}});
    }
}

void GroupMapKeeper::readPaces()
{
    if (!switch_.epoch()) {
        return;
    }
    for (const auto rank : paces_.ranksToAsk(loop_.now())) {
        readReport(rank);
    }
}

void GroupMapKeeper::readMaps()
{
    for (const auto rank : switch_.mapsWanted(loop_.now())) {
        if (const auto *endpoint = ranks_.find(rank)) {
            readPlacement(*endpoint);
        }
    }
}

/** The same ranks each time, so that the difference between two looks is recent. */
std::vector<RankIndex> GroupMapKeeper::ranksToSample() const
{
    std::vector<RankIndex> ranks;
    const auto named = ranks_.namedRanks();
    const auto stride = std::max<std::size_t>(1, named.size() / options_.policy.sampledRanks);
    for (std::size_t index = 0; index < named.size() && ranks.size() < options_.policy.sampledRanks; index += stride) {
        ranks.push_back(named[index]);
    }
    return ranks;
}

void GroupMapKeeper::readCounts()
{
    for (const auto rank : ranksToSample()) {
        const auto *endpoint = ranks_.find(rank);
        if (endpoint == nullptr) {
            continue;
        }
        api_.readCounts(*endpoint, [this, guard = Guard(alive_), rank](const std::optional<ExpertCounts> &counts) {
            if (!guard.expired() && counts) {
                takeCounts(rank, *counts);
            }
        });
    }
}

void GroupMapKeeper::takeCounts(RankIndex rank, const ExpertCounts &counts)
{
    const auto now = loop_.now();
    switch_.onProgress(counts.epoch, counts.step, now);
    if (counts.epoch == epoch_) {
        paces_.notePass(counts.step, now);
    }
    const std::size_t experts = options_.engine.expertsPerLayer;
    if (counts.counts.size() != experts * options_.engine.expertLayers) {
        logEvent(LogLevel::Warning, "expert_counts_unusable", {{"count", std::to_string(counts.counts.size())}});
        return;
    }
    auto &last = lastCounts_[rank];
    const bool isComparable = last.epoch == counts.epoch && last.counts.size() == counts.counts.size()
        && std::equal(counts.counts.begin(), counts.counts.end(), last.counts.begin(),
                      [](double newer, double older) { return newer >= older; });
    // Without an earlier look, all that was chosen since the rank's start is better than the uniform map's assumption.
    const bool isFirst = last.counts.empty() && switch_.activeMap() == ExpertMapVersion();
    if (isFirst) {
        last.counts.assign(counts.counts.size(), 0.0);
    }
    if (isComparable || isFirst) {
        for (std::uint32_t layer = 0; layer < options_.engine.expertLayers; ++layer) {
            std::vector<double> chosen(experts);
            for (std::size_t expert = 0; expert < experts; ++expert) {
                const auto at = layer * experts + expert;
                chosen[expert] = counts.counts[at] - last.counts[at];
            }
            popularity_.add(layer, chosen, now);
        }
        hasFreshCounts_ = true;
    }
    last = counts;
}

ExpertShares GroupMapKeeper::shares() const
{
    ExpertShares shares;
    for (std::uint32_t layer = 0; layer < options_.engine.expertLayers; ++layer) {
        shares.push_back(popularity_.shares(layer));
    }
    return shares;
}

void GroupMapKeeper::logSlowness(const RankSlowness &slowness)
{
    if (slowness == loggedSlowness_) {
        return;
    }
    loggedSlowness_ = slowness;
    std::string ranks;
    for (std::size_t rank = 0; rank < slowness.size(); ++rank) {
        if (slowness[rank] > 1.0) {
            ranks.append(ranks.empty() ? "" : ",").append(std::to_string(rank)).append(":");
            ranks.append(formatShare(slowness[rank]));
        }
    }
    logEvent(LogLevel::Info, "ranks_slow", {{"group", options_.group.name()}, {"ranks", ranks.empty() ? "-" : ranks}});
}

void GroupMapKeeper::considerMap()
{
    const auto current = shares();
    const auto slowness = paces_.slowness(loop_.now());
    logSlowness(slowness);
    auto next = placement_.improve(*active_, current, slowness);
    const auto before = ExpertPlacement::imbalance(*active_, current, slowness);
    const auto after = ExpertPlacement::imbalance(next, current, slowness);
    if (before - after < options_.policy.worthwhileGain) {
        return;
    }
    next.setVersion(ExpertMapVersion(options_.token.value() * mapsPerToken + ++mapsMade_));
    const auto copyTime =
        std::chrono::duration_cast<Duration>(options_.engine.expertCopyTime * next.mostCopiesOfOneRank(*active_));
    const bool hasStarted = switch_.start(next, copyTime, loop_.now());
    logEvent(LogLevel::Info, "map_planned",
             {{"group", options_.group.name()},
              {"version", std::to_string(next.version().value())},
              {"imbalance", formatShare(before)},
              {"predicted", formatShare(after)},
              {"copies", std::to_string(next.copiesMissingIn(*active_))},
              {"started", hasStarted ? "yes" : "no"}});
    if (hasStarted) {
        next_ = std::move(next);
        sendOrders(switch_.poll(loop_.now()));
    }
}

void GroupMapKeeper::readPlacements()
{
    const auto version = switch_.activeMap();
    const auto &engine = options_.engine;
    if (version == ExpertMapVersion()) {
        active_ = ExpertMap::uniform(version, options_.ranks, engine.expertLayers,
                                     static_cast<ExpertIndex>(engine.expertsPerLayer));
        return;
    }
    const auto now = loop_.now();
    if (now - placementsAskedAt_ < placementRetry) {
        return;
    }
    placementsAskedAt_ = now;
    for (const auto rank : ranks_.namedRanks()) {
        const auto *endpoint = ranks_.find(rank);
        const auto known = placements_.find(rank);
        if (endpoint != nullptr && (known == placements_.end() || known->second.maps.active != version)) {
            readPlacement(*endpoint);
        }
    }
}

void GroupMapKeeper::readPlacement(const RankEndpoint &endpoint)
{
    api_.readPlacement(endpoint, [this, guard = Guard(alive_)](const std::optional<RankPlacement> &reply) {
        if (!guard.expired() && reply) {
            takePlacement(*reply);
        }
    });
}

void GroupMapKeeper::takePlacement(const RankPlacement &placement)
{
    switch_.onMaps(placement.maps, loop_.now());
    sendOrders(switch_.poll(loop_.now()));
    placements_[placement.maps.rank] = placement;
    const auto version = switch_.activeMap();
    const auto &engine = options_.engine;
    if (active_ && active_->version() == version) {
        return;
    }
    ExpertMap map(version, options_.ranks, engine.expertLayers, static_cast<ExpertIndex>(engine.expertsPerLayer));
    for (RankIndex index = 0; index < options_.ranks; ++index) {
        const auto found = placements_.find(index);
        if (found == placements_.end() || found->second.maps.active != version
            || found->second.experts.size() != engine.expertLayers) {
            return;
        }
        for (std::uint32_t layer = 0; layer < engine.expertLayers; ++layer) {
            for (const auto expert : found->second.experts[layer]) {
                if (expert < engine.expertsPerLayer) {
                    map.add(layer, expert, index);
                }
            }
        }
    }
    if (map.isComplete()) {
        active_ = std::move(map);
    }
}

} // namespace hornbeamlane
