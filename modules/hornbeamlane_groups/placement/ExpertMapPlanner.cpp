#include "hornbeamlane_groups/placement/ExpertMapPlanner.h"

#include <utility>

namespace hornbeamlane {

ExpertMapPlanner::ExpertMapPlanner(Options options, std::shared_ptr<ServiceExperts> service)
    : options_(std::move(options))
    , service_(std::move(service))
    , placement_(options_.placement)
    , policy_(options_.rebalance)
{
    HORNBEAMLANE_ASSERT(service_ != nullptr);
}

ExpertMapPlanner::~ExpertMapPlanner()
{
    service_->turn.giveBack(options_.group);
}

std::optional<ExpertMapPlan> ExpertMapPlanner::plan(const ExpertMap &active, TimePoint now,
                                                    const RankSlowness &slowness)
{
    // A group that has just formed runs the uniform map, whose imbalance costs more than copies of several groups.
    const bool isFirst = active.version() == ExpertMapVersion();
    if (service_->demand.isEmpty() || (!isFirst && !policy_.isDue(now))) {
        return std::nullopt;
    }
    if (!service_->turn.take(options_.group, now) && !isFirst) {
        return std::nullopt;
    }
    const auto shares = service_->demand.shares();
    ExpertMapPlan plan{.map = placement_.improve(active, shares, slowness)};
    if (!policy_.shouldChange(active, plan.map, shares, now, slowness)) {
        service_->turn.giveBack(options_.group);
        return std::nullopt;
    }
    plan.before = ExpertPlacement::imbalance(active, shares, slowness);
    plan.predicted = ExpertPlacement::imbalance(plan.map, shares, slowness);
    plan.estimate = policy_.estimate(active, plan.map, shares, slowness);
    plan.copies = plan.map.copiesMissingIn(active);
    return plan;
}

void ExpertMapPlanner::noteStarted(const ExpertMapPlan &plan, TimePoint now, const RankSlowness &slowness)
{
    policy_.noteChange(now);
    change_ = Change{.map = plan.map,
                     .before = plan.before,
                     .predicted = plan.predicted,
                     .slowness = slowness,
                     .plannedAt = now,
                     .usedSince = std::nullopt};
}

void ExpertMapPlanner::noteNotStarted()
{
    service_->turn.giveBack(options_.group);
}

void ExpertMapPlanner::noteEnded(ExpertMapVersion active, TimePoint now)
{
    service_->turn.giveBack(options_.group);
    if (!change_ || change_->usedSince) {
        return;
    }
    if (change_->map.version() == active) {
        change_->usedSince = now;
    } else {
        change_.reset();
    }
}

void ExpertMapPlanner::restart()
{
    service_->turn.giveBack(options_.group);
    policy_ = RebalancePolicy(options_.rebalance);
    change_.reset();
}

std::optional<ExpertMapOutcome> ExpertMapPlanner::takeOutcome(TimePoint now)
{
    if (!change_ || !change_->usedSince || now - *change_->usedSince < options_.foundDelay) {
        return std::nullopt;
    }
    // Samples that began after the plan were not part of its estimate.
    const auto chosen = service_->demand.chosenSince(change_->plannedAt);
    if (chosen.samples < options_.samplesForFound) {
        if (now - *change_->usedSince >= options_.foundTimeout) {
            change_.reset();
        }
        return std::nullopt;
    }
    const ExpertMapOutcome outcome{.version = change_->map.version(),
                                   .before = change_->before,
                                   .predicted = change_->predicted,
                                   .found = ExpertPlacement::imbalance(change_->map, chosen.shares, change_->slowness),
                                   .choices = chosen.count};
    change_.reset();
    return outcome;
}

} // namespace hornbeamlane
