#include "hornbeamlane_groups/enginemaps/HeldMapSwitch.h"

#include "hornbeamlane_groups/enginemaps/SwitchRecovery.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace hornbeamlane {

namespace {

/** A hold that a report still shows after this time is not one that has just been released. */
constexpr std::chrono::milliseconds strayHoldAge{1500};

/** Holds that are refused one after the other without a pause; more of them mean another hold at the same rank. */
constexpr int quickHoldRetries = 3;

} // namespace

HeldMapSwitch::HeldMapSwitch(Options options)
    : options_(std::move(options))
    , ranks_(options_.ranks)
{
    HORNBEAMLANE_ASSERT(options_.ranks > 0 && options_.holdRank < options_.ranks);
    if (!options_.mayRelease) {
        options_.mayRelease = [](std::size_t armed, std::size_t ranks) { return armed == ranks; };
    }
    if (!options_.mayArm) {
        options_.mayArm = [](bool isHoldConfirmed) { return isHoldConfirmed; };
    }
}

void HeldMapSwitch::reset(GroupEpoch epoch)
{
    // A new epoch begins with the uniform map and forgets everything that was prepared, armed or held.
    if (phase_ != Phase::Idle && phase_ != Phase::Recovering) {
        ++counters_.abandoned;
    }
    ranks_.assign(options_.ranks, Rank{});
    phase_ = Phase::Recovering;
    holdSeenAt_.reset();
    epoch_ = epoch;
    isOpen_ = false;
    next_ = nullptr;
    progress_.restart();
}

void HeldMapSwitch::enter(Phase phase, TimePoint now)
{
    phase_ = phase;
    phaseSince_ = now;
    for (auto &rank : ranks_) {
        rank.order = RankState::Unknown;
        rank.hasRefused = false;
    }
}

bool HeldMapSwitch::start(const ExpertMap &next, Duration copyTime, TimePoint now)
{
    if (phase_ != Phase::Idle || !isOpen_) {
        return false;
    }
    next_ = std::make_shared<const ExpertMap>(next);
    target_ = next.version();
    copyTime_ = copyTime;
    for (auto &rank : ranks_) {
        rank.isPrepared = false;
    }
    enter(Phase::Preparing, now);
    return true;
}

EngineOrder HeldMapSwitch::order(RankIndex rank, EngineOrderKind kind) const
{
    return {.rank = rank,
            .kind = kind,
            .epoch = epoch_,
            .version = target_,
            .step = step_,
            .map = kind == EngineOrderKind::Prepare ? next_ : nullptr};
}

void HeldMapSwitch::addOrders(std::vector<EngineOrder> &orders, EngineOrderKind kind, TimePoint now)
{
    const auto limit = kind == EngineOrderKind::Prepare ? options_.preparesInFlight : ranks_.size();
    auto inFlight = static_cast<std::size_t>(
        std::count_if(ranks_.begin(), ranks_.end(), [](const Rank &rank) { return rank.order == RankState::Sent; }));
    for (RankIndex index = 0; index < ranks_.size() && inFlight < limit; ++index) {
        auto &rank = ranks_[index];
        if (rank.order == RankState::Unknown) {
            ++inFlight;
            rank.order = RankState::Sent;
            rank.sentAt = now;
            orders.push_back(order(index, kind));
        }
    }
}

void HeldMapSwitch::addHolderOrder(std::vector<EngineOrder> &orders, EngineOrderKind kind, TimePoint now)
{
    auto &rank = ranks_[holder_];
    if (rank.order == RankState::Unknown) {
        rank.order = RankState::Sent;
        rank.sentAt = now;
        orders.push_back(order(holder_, kind));
    }
}

void HeldMapSwitch::resendLost(TimePoint now)
{
    for (auto &rank : ranks_) {
        const auto interval = phase_ == Phase::Preparing ? options_.prepareResendInterval : options_.resendInterval;
        if (rank.order != RankState::Sent || now - rank.sentAt < interval) {
            continue;
        }
        if (phase_ == Phase::Arming && !rank.unresolvedArmAt) {
            rank.unresolvedArmAt = now;
        }
        rank.order = RankState::Unknown;
        ++counters_.resent;
    }
}

std::vector<EngineOrder> HeldMapSwitch::poll(TimePoint now)
{
    std::vector<EngineOrder> orders;
    if (phase_ == Phase::Recovering || phase_ == Phase::Idle || phase_ == Phase::Settling) {
        return orders;
    }
    resendLost(now);
    advance(now);
    switch (phase_) {
    case Phase::Recovering:
    case Phase::Idle:
    case Phase::Settling:
        break;
    case Phase::Preparing:
        addOrders(orders, EngineOrderKind::Prepare, now);
        break;
    case Phase::Holding:
        addHolderOrder(orders, EngineOrderKind::Hold, now);
        break;
    case Phase::Arming:
        addOrders(orders, EngineOrderKind::Arm, now);
        break;
    case Phase::Releasing:
        addHolderOrder(orders, EngineOrderKind::Release, now);
        break;
    case Phase::Unwinding:
        addOrders(orders, EngineOrderKind::Disarm, now);
        break;
    }
    return orders;
}

std::size_t HeldMapSwitch::doneCount() const
{
    return static_cast<std::size_t>(
        std::count_if(ranks_.begin(), ranks_.end(), [](const Rank &rank) { return rank.order == RankState::Done; }));
}

bool HeldMapSwitch::mayUnwindFinish(TimePoint now) const
{
    return std::all_of(ranks_.begin(), ranks_.end(), [&](const Rank &rank) {
        return rank.order == RankState::Done
            && (!rank.unresolvedArmAt || now - *rank.unresolvedArmAt > options_.latestExecution);
    });
}

void HeldMapSwitch::advance(TimePoint now)
{
    switch (phase_) {
    case Phase::Preparing: {
        const bool allPrepared =
            std::all_of(ranks_.begin(), ranks_.end(), [](const Rank &rank) { return rank.isPrepared; });
        if (allPrepared) {
            step_ = progress_.ahead(options_.leadPasses, now);
            holder_ = options_.holdRank;
            isHoldConfirmed_ = false;
            areMoreHeld_ = false;
            holdRefusals_ = 0;
            enter(Phase::Holding, now);
        } else if (now - phaseSince_ > options_.prepareTimeout) {
            // Nothing is armed or held, so a map that was prepared in part has no effect.
            ++counters_.abandoned;
            enter(Phase::Idle, now);
        }
        break;
    }
    case Phase::Holding:
        if (options_.mayArm(isHoldConfirmed_)) {
            enter(Phase::Arming, now);
        }
        break;
    case Phase::Arming: {
        if (options_.mayRelease(doneCount(), ranks_.size())) {
            for (auto &rank : ranks_) {
                rank.unresolvedArmAt.reset();
            }
            enter(Phase::Releasing, now);
            break;
        }
        const bool anyRefused =
            std::any_of(ranks_.begin(), ranks_.end(), [](const Rank &rank) { return rank.hasRefused; });
        if (anyRefused && now - phaseSince_ > options_.armTimeout) {
            enter(Phase::Unwinding, now);
        }
        break;
    }
    case Phase::Unwinding:
        if (mayUnwindFinish(now)) {
            ++counters_.abandoned;
            target_ = active_;
            enter(Phase::Releasing, now);
        }
        break;
    case Phase::Recovering:
    case Phase::Idle:
    case Phase::Settling:
    case Phase::Releasing:
        break;
    }
}

void HeldMapSwitch::restartRecovery()
{
    ranks_.assign(options_.ranks, Rank{});
    phase_ = Phase::Recovering;
    holdSeenAt_.reset();
}

void HeldMapSwitch::onResult(const EngineOrder &order, EngineOrderResult result, TimePoint now)
{
    if (order.epoch != epoch_ || order.rank >= ranks_.size()) {
        return;
    }
    auto &rank = ranks_[order.rank];
    if (result == EngineOrderResult::NoReply || result == EngineOrderResult::Misdirected) {
        return; // resendLost() sends it again.
    }
    const bool isAccepted = result == EngineOrderResult::Accepted;
    switch (order.kind) {
    case EngineOrderKind::Prepare:
        if (phase_ != Phase::Preparing || order.version != target_) {
            return;
        }
        if (!isAccepted) {
            // The rank is armed, or has had a newer map: another controller has got further than this one knows.
            ++counters_.abandoned;
            restartRecovery();
            return;
        }
        rank.order = RankState::Done;
        acceptedAt_ = now;
        return;
    case EngineOrderKind::Hold:
        if (phase_ != Phase::Holding || order.step != step_) {
            return;
        }
        if (isAccepted) {
            rank.order = RankState::Done;
            isHoldConfirmed_ = true;
            return;
        }
        // The pass has begun: the group is faster than assumed. An earlier copy of this order is refused as well. Or
        // the rank holds another pass, for an order that was carried out late; its report tells.
        progress_.noteBegun(step_, now);
        step_ = progress_.ahead(options_.leadPasses, now);
        rank.hasRefused = true;
        rank.sentAt = now;
        rank.order = ++holdRefusals_ > quickHoldRetries ? RankState::Sent : RankState::Unknown;
        return;
    case EngineOrderKind::Arm:
        if (phase_ != Phase::Arming || order.version != target_) {
            return;
        }
        rank.order = isAccepted ? RankState::Done : RankState::Unknown;
        rank.hasRefused = !isAccepted;
        return;
    case EngineOrderKind::Disarm:
        if (phase_ == Phase::Unwinding) {
            rank.order = RankState::Done;
        }
        return;
    case EngineOrderKind::Release:
        if (phase_ != Phase::Releasing || order.step != step_) {
            return;
        }
        // Refused: an earlier copy of this order has released the pass.
        if (target_ != active_) {
            ++counters_.completed;
            active_ = target_;
        }
        if (areMoreHeld_) {
            restartRecovery();
            return;
        }
        enter(Phase::Settling, now);
        return;
    }
}

std::vector<RankIndex> HeldMapSwitch::reportsWanted(TimePoint now)
{
    std::vector<RankIndex> wanted;
    if (now - reportsAskedAt_ < options_.reportInterval) {
        return wanted;
    }
    if (phase_ == Phase::Settling || phase_ == Phase::Idle) {
        // A hold that is there after the release, or that an earlier controller sent, shows in reports only.
        const auto stillFor = now - progress_.newestAt();
        const auto pause =
            stillFor < options_.latestExecution ? options_.holdLookInterval : options_.idleHoldLookInterval;
        const bool isWanted = phase_ == Phase::Settling ? now - phaseSince_ > strayHoldAge : isStandingStill(now);
        if (isOpen_ && isWanted && now - reportsAskedAt_ >= pause) {
            reportsAskedAt_ = now;
            wanted = allRanks();
        }
        return wanted;
    }
    if (phase_ == Phase::Arming || phase_ == Phase::Holding) {
        // A refused arm means that the pass has begun or that the rank is not prepared; its report tells which.
        for (RankIndex index = 0; index < ranks_.size(); ++index) {
            if (ranks_[index].hasRefused) {
                reportsAskedAt_ = now;
                wanted.push_back(index);
            }
        }
        return wanted;
    }
    if (phase_ == Phase::Preparing) {
        wanted = ranksToConfirm(now - options_.reportAge);
        if (wanted.size() <= options_.maxMapsAsked) {
            wanted.clear();
        }
        reportsAskedAt_ = wanted.empty() ? reportsAskedAt_ : now;
        return wanted;
    }
    if (phase_ != Phase::Recovering) {
        return wanted;
    }
    reportsAskedAt_ = now;
    if (!isOpen_) {
        // One rank tells whether the group is open; asking all of them would not make it open sooner.
        askedRank_ = (askedRank_ + 1) % options_.ranks;
        wanted.push_back(askedRank_);
        return wanted;
    }
    for (RankIndex index = 0; index < ranks_.size(); ++index) {
        const auto &rank = ranks_[index];
        if (!rank.report.has_value() || (holdSeenAt_ && rank.reportedAt < *holdSeenAt_ + 2 * options_.reportAge)) {
            wanted.push_back(index);
        }
    }
    return wanted;
}

std::vector<RankIndex> HeldMapSwitch::mapsWanted(TimePoint now)
{
    std::vector<RankIndex> wanted;
    if (now - mapsAskedAt_ < options_.mapsInterval) {
        return wanted;
    }
    if (phase_ == Phase::Settling) {
        wanted.push_back(holder_);
    } else if (phase_ == Phase::Preparing) {
        wanted = ranksToConfirm(now);
        if (wanted.size() > options_.maxMapsAsked) {
            wanted.clear();
        }
    }
    if (!wanted.empty()) {
        mapsAskedAt_ = now;
    }
    return wanted;
}

std::vector<RankIndex> HeldMapSwitch::ranksToConfirm(TimePoint now) const
{
    std::vector<RankIndex> ranks;
    if (doneCount() != ranks_.size() || now - acceptedAt_ < copyTime_) {
        return ranks;
    }
    for (RankIndex index = 0; index < ranks_.size(); ++index) {
        if (!ranks_[index].isPrepared) {
            ranks.push_back(index);
        }
    }
    return ranks;
}

void HeldMapSwitch::noteProgress(StepNumber step, TimePoint seenAt, TimePoint now)
{
    if (!progress_.note(step, seenAt) || progress_.newest() < step_) {
        return;
    }
    if (phase_ == Phase::Settling) {
        enter(Phase::Idle, now);
    } else if (phase_ == Phase::Arming || phase_ == Phase::Unwinding) {
        // Another controller has completed the switch: orders of this one could only disturb the next.
        ++counters_.abandoned;
        restartRecovery();
    }
}

bool HeldMapSwitch::isStandingStill(TimePoint now) const
{
    return now - progress_.newestAt() >= options_.standstill;
}

bool HeldMapSwitch::showsUnknownHold(const EngineRankReport &report, TimePoint now) const
{
    if (!report.heldStep || *report.heldStep <= report.step) {
        return false;
    }
    switch (phase_) {
    case Phase::Idle:
        // A pass that has begun is held no longer: the report is older than that.
        return *report.heldStep > progress_.newest() && isStandingStill(now);
    case Phase::Settling:
        return *report.heldStep > progress_.newest() && now - phaseSince_ > strayHoldAge;
    case Phase::Holding:
        return report.rank == holder_ && ranks_[holder_].hasRefused && *report.heldStep != step_;
    case Phase::Recovering:
    case Phase::Preparing:
    case Phase::Arming:
    case Phase::Releasing:
    case Phase::Unwinding:
        return false;
    }
    return false;
}

std::vector<RankIndex> HeldMapSwitch::allRanks() const
{
    std::vector<RankIndex> ranks(ranks_.size());
    std::iota(ranks.begin(), ranks.end(), RankIndex(0));
    return ranks;
}

void HeldMapSwitch::onReport(const EngineRankReport &report, TimePoint now)
{
    if (report.rank >= ranks_.size() || report.epoch < epoch_) {
        return;
    }
    if (report.epoch > epoch_) {
        reset(report.epoch);
    }
    isOpen_ = report.isOpen;
    if (!report.isOpen) {
        return;
    }
    noteProgress(report.step, now - options_.reportAge, now);
    if (showsUnknownHold(report, now)) {
        // Its sender may be gone, so nobody else releases it; or it lives, and completing its switch does no harm.
        // Refused holds have moved the newest pass beyond what the group has begun.
        progress_.restart();
        progress_.note(report.step, now - options_.reportAge);
        restartRecovery();
    }
    auto &rank = ranks_[report.rank];
    rank.report = report;
    rank.reportedAt = now;
    if (phase_ == Phase::Preparing && report.prepared == target_) {
        rank.isPrepared = true;
    }
    if (phase_ == Phase::Recovering) {
        if (report.heldStep && !holdSeenAt_) {
            holdSeenAt_ = now;
        }
        recover(now);
    }
}

void HeldMapSwitch::onProgress(GroupEpoch epoch, StepNumber step, TimePoint now)
{
    if (epoch > epoch_) {
        reset(epoch);
    }
    if (epoch == epoch_) {
        noteProgress(step, now, now);
    }
}

void HeldMapSwitch::onMaps(const EngineRankMaps &maps, TimePoint now)
{
    if (maps.rank >= ranks_.size()) {
        return;
    }
    onProgress(maps.epoch, maps.step, now);
    if (phase_ == Phase::Preparing && maps.epoch == epoch_ && maps.prepared == target_) {
        ranks_[maps.rank].isPrepared = true;
    }
    // Versions only grow: a switch that another controller began has been completed since the ranks were asked.
    if (phase_ == Phase::Idle && maps.epoch == epoch_ && maps.active > active_) {
        active_ = maps.active;
    }
}

// A report from before the hold may not show yet that the rank has prepared the map. A controller that took it for the
// truth would release a pass for which another one is arming the ranks.
bool HeldMapSwitch::areReportsNewerThanHold() const
{
    return !holdSeenAt_ || std::all_of(ranks_.begin(), ranks_.end(), [this](const Rank &rank) {
        return rank.reportedAt >= *holdSeenAt_ + 2 * options_.reportAge;
    });
}

void HeldMapSwitch::recover(TimePoint now)
{
    std::vector<EngineRankReport> reports;
    for (const auto &rank : ranks_) {
        if (!rank.report) {
            return;
        }
        reports.push_back(*rank.report);
    }
    const auto found = recoverSwitch(reports, progress_.newest(), areReportsNewerThanHold());
    active_ = found.active;
    holder_ = found.holder;
    step_ = found.step;
    target_ = found.target;
    areMoreHeld_ = found.areMoreHeld;
    isHoldConfirmed_ = true;
    // Arms of the controller that sent the hold may be on their way, so they cannot be taken back at once.
    for (auto &rank : ranks_) {
        rank.unresolvedArmAt = now;
    }
    switch (found.next) {
    case SwitchRecovery::Next::AskAgain:
        break;
    case SwitchRecovery::Next::BeIdle:
        enter(Phase::Idle, now);
        break;
    case SwitchRecovery::Next::AwaitArmedPass:
        enter(Phase::Settling, now);
        break;
    case SwitchRecovery::Next::CompleteSwitch:
        enter(Phase::Arming, now);
        break;
    case SwitchRecovery::Next::ReleaseOnly:
        enter(Phase::Releasing, now);
        break;
    }
}

} // namespace hornbeamlane
