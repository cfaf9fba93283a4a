#include "fault_matrix/HeldSwitchWorld.h"

#include <algorithm>
#include <utility>

namespace hornbeamlane::testing {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds passTime{40};
constexpr milliseconds transit{1};
constexpr milliseconds orderTimeout{70};
constexpr milliseconds reportAge{20};
constexpr milliseconds formTime{100};
/** Pause between two looks at the counts of a rank, which tell the newest pass. */
constexpr milliseconds countsInterval{500};
constexpr std::uint64_t mapsPerToken = 1000;

} // namespace

HeldSwitchWorld::HeldSwitchWorld(Options options)
    : options_(std::move(options))
    , ranks_(options_.ranks)
    , nextPass_(now_)
{
    addController();
}

void HeldSwitchWorld::addController()
{
    auto &controller = controllers_.emplace_back();
    controller.token = controllers_.size();
    controller.mapSwitch = std::make_unique<HeldMapSwitch>(
        HeldMapSwitch::Options{.ranks = options_.ranks,
                               .holdRank = static_cast<RankIndex>(controller.token % options_.ranks),
                               .reportAge = reportAge,
                               .mayRelease = options_.mayRelease,
                               .mayArm = options_.mayArm});
}

void HeldSwitchWorld::run(milliseconds time)
{
    const auto end = now_ + time;
    while (now_ < end) {
        tick();
    }
}

void HeldSwitchWorld::setWork(bool hasWork)
{
    hasWork_ = hasWork;
    nextPass_ = now_;
}

bool HeldSwitchWorld::isHeld() const
{
    return std::any_of(ranks_.begin(), ranks_.end(), [](const Rank &rank) { return rank.held.has_value(); });
}

void HeldSwitchWorld::startSwitch()
{
    wantsSwitch_ = true;
}

void HeldSwitchWorld::replaceController(milliseconds takeover)
{
    controllers_.back().isDead = true;
    at(now_ + takeover, [this] { addController(); });
}

void HeldSwitchWorld::freezeController(milliseconds takeover, milliseconds frozen)
{
    controllers_.back().frozenUntil = now_ + frozen;
    at(now_ + takeover, [this] { addController(); });
}

void HeldSwitchWorld::addRival()
{
    addController();
    hasRival_ = true;
    wantsSwitch_ = true;
}

void HeldSwitchWorld::restartRank(RankIndex rank, milliseconds down)
{
    (void)rank; // Which rank it is makes no difference: all of them start anew.
    isOpen_ = false;
    at(now_ + down + formTime, [this] {
        epoch_ = epoch_.next();
        ranks_.assign(options_.ranks, Rank{});
        isOpen_ = true;
        nextPass_ = now_;
    });
}

void HeldSwitchWorld::at(TimePoint time, std::function<void()> event)
{
    events_.emplace(time, std::move(event));
}

void HeldSwitchWorld::deliver(Controller &controller, std::function<void()> event)
{
    if (controller.isDead) {
        return;
    }
    if (now_ < controller.frozenUntil) {
        controller.backlog.push_back(std::move(event));
        return;
    }
    event();
}

void HeldSwitchWorld::tick()
{
    now_ += milliseconds(1);
    while (!events_.empty() && events_.begin()->first <= now_) {
        const auto event = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        event();
    }
    if (isOpen_ && hasWork_ && now_ >= nextPass_) {
        beginPass();
    }
    // References into a deque stay valid while controllers are added.
    for (std::size_t i = 0; i < controllers_.size(); ++i) {
        auto &controller = controllers_[i];
        if (controller.isDead || now_ < controller.frozenUntil) {
            continue;
        }
        for (const auto &event : std::exchange(controller.backlog, {})) {
            event();
        }
        poll(controller);
    }
}

void HeldSwitchWorld::beginPass()
{
    const auto next = step_.next();
    const bool isHeld =
        std::any_of(ranks_.begin(), ranks_.end(), [next](const Rank &rank) { return rank.held == next; });
    if (isHeld) {
        return;
    }
    step_ = next;
    nextPass_ = now_ + passTime;
    for (auto &rank : ranks_) {
        if (rank.armed && rank.armedStep == step_) {
            rank.active = *std::exchange(rank.armed, std::nullopt);
        }
    }
    const bool differ = std::any_of(ranks_.begin(), ranks_.end(),
                                    [this](const Rank &rank) { return rank.active != ranks_.front().active; });
    if (differ && violation_.empty()) {
        violation_ = "pass " + std::to_string(step_.value()) + " began with two maps";
    }
}

void HeldSwitchWorld::poll(Controller &controller)
{
    auto &mapSwitch = *controller.mapSwitch;
    // Only the newest controller holds the lease; an older one finishes what it has begun before it notices.
    const bool mayStart = hasRival_ || &controller == &controllers_.back();
    if (wantsSwitch_ && mayStart && mapSwitch.phase() == HeldMapSwitch::Phase::Idle) {
        ExpertMap map(ExpertMapVersion(controller.token * mapsPerToken + ++mapsMade_), options_.ranks, 1, 4);
        wantsSwitch_ = !mapSwitch.start(map, milliseconds(0), now_);
    }
    for (const auto &order : mapSwitch.poll(now_)) {
        send(controller, order);
    }
    for (const auto rank : mapSwitch.reportsWanted(now_)) {
        const auto seen = report(rank);
        at(now_ + reportAge, [this, &controller, seen] {
            deliver(controller, [this, &controller, seen] { controller.mapSwitch->onReport(seen, now_); });
        });
    }
    readMaps(controller);
    readProgress(controller);
}

void HeldSwitchWorld::readProgress(Controller &controller)
{
    if (now_ - controller.progressReadAt < countsInterval) {
        return;
    }
    controller.progressReadAt = now_;
    at(now_ + transit, [this, &controller] {
        at(now_ + transit, [this, &controller, epoch = epoch_, step = step_] {
            deliver(controller,
                    [this, &controller, epoch, step] { controller.mapSwitch->onProgress(epoch, step, now_); });
        });
    });
}

void HeldSwitchWorld::readMaps(Controller &controller)
{
    for (const auto index : controller.mapSwitch->mapsWanted(now_)) {
        at(now_ + transit, [this, &controller, index] {
            const auto &rank = ranks_[index];
            const EngineRankMaps seen{
                .rank = index, .epoch = epoch_, .step = step_, .active = rank.active, .prepared = rank.prepared};
            at(now_ + transit, [this, &controller, seen] {
                deliver(controller, [this, &controller, seen] { controller.mapSwitch->onMaps(seen, now_); });
            });
        });
    }
}

void HeldSwitchWorld::send(Controller &controller, const EngineOrder &order)
{
    Delivery delivery;
    if (options_.strike) {
        options_.strike(*this, ordersSent_, order, delivery);
    }
    ++ordersSent_;
    const auto answer = [this, &controller, order](EngineOrderResult result) {
        deliver(controller,
                [this, &controller, order, result] { controller.mapSwitch->onResult(order, result, now_); });
    };
    if (delivery.copyDelay > milliseconds(0)) {
        at(now_ + delivery.copyDelay, [this, order] { carryOut(order); });
    }
    if (delivery.isOrderLost) {
        at(now_ + orderTimeout, [answer] { answer(EngineOrderResult::NoReply); });
        return;
    }
    const bool isAnswerLost = delivery.isAnswerLost || delivery.delay > milliseconds(0);
    at(now_ + transit + delivery.delay, [this, order, answer, isAnswerLost] {
        const auto result = carryOut(order);
        if (!isAnswerLost) {
            at(now_ + transit, [answer, result] { answer(result); });
        }
    });
    if (isAnswerLost) {
        at(now_ + orderTimeout, [answer] { answer(EngineOrderResult::NoReply); });
    }
}

EngineOrderResult HeldSwitchWorld::carryOut(const EngineOrder &order)
{
    auto &rank = ranks_[order.rank];
    if (!isOpen_ || order.epoch != epoch_) {
        return EngineOrderResult::Refused;
    }
    const bool hasBegun = order.step <= step_;
    switch (order.kind) {
    case EngineOrderKind::Prepare:
        if (rank.prepared == order.version) {
            return EngineOrderResult::Accepted;
        }
        if (rank.armed || order.version <= rank.highest) {
            return EngineOrderResult::Refused;
        }
        rank.highest = order.version;
        rank.prepared = order.version;
        return EngineOrderResult::Accepted;
    case EngineOrderKind::Arm:
        if (rank.armed == order.version && rank.armedStep == order.step) {
            return EngineOrderResult::Accepted;
        }
        if (rank.prepared != order.version || hasBegun) {
            return EngineOrderResult::Refused;
        }
        rank.armed = order.version;
        rank.armedStep = order.step;
        return EngineOrderResult::Accepted;
    case EngineOrderKind::Disarm:
        if (rank.active == order.version) {
            return EngineOrderResult::Refused;
        }
        rank.armed.reset();
        return EngineOrderResult::Accepted;
    case EngineOrderKind::Hold:
        if (hasBegun || (rank.held && *rank.held != order.step)) {
            return EngineOrderResult::Refused;
        }
        rank.held = order.step;
        return EngineOrderResult::Accepted;
    case EngineOrderKind::Release:
        if (rank.held != order.step) {
            return EngineOrderResult::Refused;
        }
        rank.held.reset();
        return EngineOrderResult::Accepted;
    }
    return EngineOrderResult::Refused;
}

EngineRankReport HeldSwitchWorld::report(RankIndex index) const
{
    const auto &rank = ranks_[index];
    EngineRankReport result{.rank = index, .epoch = epoch_, .isOpen = isOpen_, .step = step_, .active = rank.active};
    result.prepared = rank.prepared;
    result.isArmed = rank.armed.has_value();
    result.armedMap = rank.armed.value_or(ExpertMapVersion());
    result.armedStep = rank.armedStep;
    result.heldStep = rank.held;
    return result;
}

} // namespace hornbeamlane::testing
