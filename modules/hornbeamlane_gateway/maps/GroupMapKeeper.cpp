#include "hornbeamlane_gateway/maps/GroupMapKeeper.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <utility>

namespace hornbeamlane {

namespace {

/** Maps that one holder of the lease can number before its token has to be renewed. */
constexpr std::uint64_t mapsPerToken = 1 << 16;

constexpr std::chrono::milliseconds placementRetry{300};

/** The first look at a rank counts like this many passes at most, about three seconds. */
constexpr double firstLookSteps = 64.0;

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
    , planner_(plannerOptions(options_), options_.service)
    , paces_({.ranks = options_.ranks})
{
}

ExpertMapPlanner::Options GroupMapKeeper::plannerOptions(const Options &options)
{
    const auto &policy = options.policy;
    return {.group = options.group,
            .placement = {.slotsPerRank = options.engine.placesPerRank,
                          .movesPerRound = options.ranks * options.engine.expertLayers * std::size_t(2),
                          .newPerRank = options.engine.sparePlaces,
                          .smallestGain = policy.smallestMoveGain},
            .rebalance = {.horizon = policy.gainHorizon,
                          .bytesPerCopy = 0,
                          .rankCopyTime = std::chrono::duration_cast<Duration>(options.engine.expertCopyTime),
                          .loadSlowdown = policy.copySlowdown,
                          .expertTimeShare = policy.expertTimeShare,
                          // The estimate of the demand already counts on its noise.
                          .safetyFactor = 1.0,
                          .smallestRelativeGain = policy.worthwhileGain,
                          .shortestInterval = policy.shortestInterval}};
}

void GroupMapKeeper::setRanks(std::map<RankIndex, std::string> addresses)
{
    addresses_ = std::move(addresses);
}

void GroupMapKeeper::tick()
{
    const auto now = loop_.now();
    if (switch_.epoch() && *switch_.epoch() != epoch_) {
        // A new epoch starts with the uniform map and counts from zero.
        epoch_ = *switch_.epoch();
        active_.reset();
        lastLooks_.clear();
        paces_.restart();
        planner_.restart();
        isChanging_ = false;
        isDueToConsider_ = true;
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
        if (std::exchange(isChanging_, false)) {
            planner_.noteEnded(switch_.activeMap(), now);
        }
        if (next_ && next_->version() == switch_.activeMap()) {
            active_ = std::exchange(next_, std::nullopt);
        }
        if (!active_ || active_->version() != switch_.activeMap()) {
            readPlacements();
        } else if (std::exchange(isDueToConsider_, false)) {
            considerMap();
        }
    }
    if (const auto outcome = planner_.takeOutcome(now)) {
        reportOutcome(*outcome);
    }
}

void GroupMapKeeper::sendOrders(const std::vector<EngineOrder> &orders)
{
    for (const auto &order : orders) {
        const auto address = addresses_.find(order.rank);
        if (address == addresses_.end()) {
            continue;
        }
        api_.sendOrder(address->second, order, options_.token,
                       [this, guard = Guard(alive_), order](EngineOrderResult result) {
                           if (guard.expired()) {
                               return;
                           }
                           if (result != EngineOrderResult::Accepted) {
                               logEvent(LogLevel::Info, "map_order_failed",
                                        {{"group", options_.group.name()},
                                         {"rank", std::to_string(order.rank)},
                                         {"kind", std::to_string(static_cast<int>(order.kind))},
                                         {"step", std::to_string(order.step.value())},
                                         {"result", result == EngineOrderResult::Refused ? "refused" : "no_reply"}});
                           }
                           switch_.onResult(order, result, loop_.now());
                           sendOrders(switch_.poll(loop_.now()));
                       });
    }
}

void GroupMapKeeper::readReports()
{
    for (const auto rank : switch_.reportsWanted(loop_.now())) {
        const auto address = addresses_.find(rank);
        if (address == addresses_.end()) {
            continue;
        }
        readReport(rank, address->second);
    }
}

void GroupMapKeeper::readReport(RankIndex rank, const std::string &address)
{
    api_.readReport(address, rank, [this, guard = Guard(alive_)](const std::optional<EngineRankReport> &report) {
        if (guard.expired() || !report) {
            return;
        }
        paces_.onPace(report->rank, report->pace, loop_.now());
        switch_.onReport(*report, loop_.now());
        sendOrders(switch_.poll(loop_.now()));
    });
}

void GroupMapKeeper::readPaces()
{
    if (!switch_.epoch()) {
        return;
    }
    for (const auto rank : paces_.ranksToAsk(loop_.now())) {
        if (const auto address = addresses_.find(rank); address != addresses_.end()) {
            readReport(rank, address->second);
        }
    }
}

void GroupMapKeeper::readMaps()
{
    for (const auto rank : switch_.mapsWanted(loop_.now())) {
        if (const auto address = addresses_.find(rank); address != addresses_.end()) {
            readPlacement(rank, address->second);
        }
    }
}

std::vector<GroupMapKeeper::SampledRank> GroupMapKeeper::ranksToSample()
{
    std::vector<RankIndex> rotated;
    const auto count = std::max(options_.policy.sampledRanks, options_.policy.rotatedRanks);
    const auto stride = std::max<std::size_t>(1, addresses_.size() / count);
    std::size_t index = 0;
    for (const auto &[rank, address] : addresses_) {
        if (index++ % stride == 0 && rotated.size() < count) {
            rotated.push_back(rank);
        }
    }
    std::vector<SampledRank> sampled;
    for (std::size_t i = 0; i < std::min<std::size_t>(options_.policy.sampledRanks, rotated.size()); ++i) {
        const auto source = nextSource_++ % rotated.size();
        sampled.push_back({.rank = rotated[source], .source = source});
    }
    return sampled;
}

void GroupMapKeeper::readCounts()
{
    for (const auto &sampled : ranksToSample()) {
        api_.readCounts(addresses_.at(sampled.rank),
                        [this, guard = Guard(alive_), sampled](const std::optional<ExpertCounts> &counts) {
                            if (!guard.expired() && counts) {
                                takeCounts(sampled, *counts);
                            }
                        });
    }
}

void GroupMapKeeper::takeCounts(const SampledRank &sampled, const ExpertCounts &counts)
{
    const auto now = loop_.now();
    switch_.onProgress(counts.epoch, counts.step, now);
    if (counts.epoch == epoch_) {
        paces_.notePass(counts.step, now);
    }
    if (auto sample = sampleOf(sampled, counts)) {
        if (!options_.service->demand.add(std::move(*sample), now)) {
            logEvent(LogLevel::Warning, "expert_counts_unusable", {{"count", std::to_string(counts.counts.size())}});
            return;
        }
        isDueToConsider_ = true;
    }
    lastLooks_[sampled.rank] = {.counts = counts, .takenAt = now};
}

std::optional<ExpertSample> GroupMapKeeper::sampleOf(const SampledRank &sampled, const ExpertCounts &counts) const
{
    const auto last = lastLooks_.find(sampled.rank);
    if (last == lastLooks_.end()) {
        if (switch_.activeMap() != ExpertMapVersion()) {
            return std::nullopt;
        }
        // Without an earlier look, all that was chosen since the rank's start is better than the uniform map's
        // assumption. A rank that has run for long does not outweigh what is chosen now.
        const double part = std::min(1.0, firstLookSteps / static_cast<double>(counts.step.value() + 1));
        ExpertSample sample{.source = sampled.source, .since = TimePoint(), .chosen = counts.counts};
        for (auto &chosen : sample.chosen) {
            chosen *= part;
        }
        return sample;
    }
    const auto &older = last->second.counts;
    if (older.epoch != counts.epoch || older.counts.size() != counts.counts.size()) {
        return std::nullopt;
    }
    ExpertSample sample{.source = sampled.source, .since = last->second.takenAt, .chosen = counts.counts};
    for (std::size_t i = 0; i < older.counts.size(); ++i) {
        sample.chosen[i] -= older.counts[i];
        if (sample.chosen[i] < 0.0) {
            return std::nullopt;
        }
    }
    return sample;
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
    const auto now = loop_.now();
    const auto slowness = paces_.slowness(now);
    logSlowness(slowness);
    auto plan = planner_.plan(*active_, now, slowness);
    if (!plan) {
        return;
    }
    plan->map.setVersion(ExpertMapVersion(options_.token.value() * mapsPerToken + ++mapsMade_));
    const auto copyTime =
        std::chrono::duration_cast<Duration>(options_.engine.expertCopyTime * plan->map.mostCopiesOfOneRank(*active_));
    isChanging_ = switch_.start(plan->map, copyTime, now);
    reportPlan(*plan, isChanging_);
    if (!isChanging_) {
        planner_.noteNotStarted();
        return;
    }
    planner_.noteStarted(*plan, now, slowness);
    next_ = std::move(plan->map);
    sendOrders(switch_.poll(now));
}

void GroupMapKeeper::reportPlan(const ExpertMapPlan &plan, bool hasStarted)
{
    logEvent(LogLevel::Info, "map_planned",
             {{"group", options_.group.name()},
              {"version", std::to_string(plan.map.version().value())},
              {"imbalance", formatShare(plan.before)},
              {"predicted", formatShare(plan.predicted)},
              {"gain_ms", std::to_string(std::lround(plan.estimate.gain * 1e3))},
              {"cost_ms", std::to_string(std::lround(plan.estimate.cost * 1e3))},
              {"short_weight", formatShare(options_.service->demand.shortWeight())},
              {"copies", std::to_string(plan.copies)},
              {"started", hasStarted ? "yes" : "no"}});
    if (options_.metrics != nullptr && hasStarted) {
        const MetricsRegistry::Labels labels{{"group", options_.group.name()}};
        options_.metrics->addToCounter("expert_maps_started_total", labels);
        options_.metrics->addToCounter("expert_copies_total", labels, plan.copies);
    }
}

void GroupMapKeeper::reportOutcome(const ExpertMapOutcome &outcome)
{
    logEvent(LogLevel::Info, "map_measured",
             {{"group", options_.group.name()},
              {"version", std::to_string(outcome.version.value())},
              {"before", formatShare(outcome.before)},
              {"predicted", formatShare(outcome.predicted)},
              {"found", formatShare(outcome.found)},
              {"choices", std::to_string(std::lround(outcome.choices))}});
    if (options_.metrics != nullptr) {
        const MetricsRegistry::Labels labels{{"group", options_.group.name()}};
        options_.metrics->setGauge("expert_imbalance_predicted", labels, outcome.predicted);
        options_.metrics->setGauge("expert_imbalance_found", labels, outcome.found);
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
    for (const auto &[rank, address] : addresses_) {
        const auto known = placements_.find(rank);
        if (known == placements_.end() || known->second.maps.active != version) {
            readPlacement(rank, address);
        }
    }
}

void GroupMapKeeper::readPlacement(RankIndex rank, const std::string &address)
{
    api_.readPlacement(address, rank, [this, guard = Guard(alive_)](const std::optional<RankPlacement> &reply) {
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
