#pragma once

#include "hornbeamlane_groups/hornbeamlane_groups.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hornbeamlane::testing {

/** A group of engines that take map orders themselves, and controllers of it, on a clock of milliseconds. */
class HeldSwitchWorld final
{
public:
    /** What happens to one order on its way. */
    struct Delivery
    {
        bool isAnswerLost = false;
        bool isOrderLost = false;
        /** Time by which the order is carried out later. */
        std::chrono::milliseconds delay{0};
        /** A second copy is carried out after this time; 0: none. */
        std::chrono::milliseconds copyDelay{0};
    };

    /** Called for each order before it is sent, with its number from 0. */
    using Strike = std::function<void(HeldSwitchWorld &, int number, const EngineOrder &, Delivery &)>;

    struct Options
    {
        RankIndex ranks = 4;
        Strike strike;
        std::function<bool(std::size_t armed, std::size_t ranks)> mayRelease;
        std::function<bool(bool isHoldConfirmed)> mayArm;
    };

    explicit HeldSwitchWorld(Options options);

    /** Runs with the clock for this time. */
    void run(std::chrono::milliseconds time);

    /** A group without work makes no passes. */
    void setWork(bool hasWork);

    /** Starts a switch to a map that differs from the present one. */
    void startSwitch();

    /** The controller vanishes; another one takes over after this time. */
    void replaceController(std::chrono::milliseconds takeover);
    /** The controller stands still, another one takes over, and the first goes on under its old token. */
    void freezeController(std::chrono::milliseconds takeover, std::chrono::milliseconds frozen);
    /** Another controller acts beside the present one, and both want to switch. */
    void addRival();
    /** A rank is lost and comes back after this time; the group then opens in a new epoch. */
    void restartRank(RankIndex rank, std::chrono::milliseconds down);

    /** The first pass that began while two ranks had different maps; empty if there was none. */
    const std::string &violation() const
    {
        return violation_;
    }

    std::uint64_t passes() const
    {
        return step_.value();
    }
    ExpertMapVersion activeMap() const
    {
        return ranks_.front().active;
    }
    bool isHeld() const;
    /** The newest controller. */
    const HeldMapSwitch &mapSwitch() const
    {
        return *controllers_.back().mapSwitch;
    }
    int ordersSent() const
    {
        return ordersSent_;
    }

private:
    struct Rank
    {
        ExpertMapVersion active;
        ExpertMapVersion highest;
        std::optional<ExpertMapVersion> prepared;
        std::optional<ExpertMapVersion> armed;
        StepNumber armedStep;
        std::optional<StepNumber> held;
    };

    struct Controller
    {
        std::unique_ptr<HeldMapSwitch> mapSwitch;
        std::uint64_t token = 0;
        TimePoint frozenUntil;
        bool isDead = false;
        TimePoint progressReadAt;
        std::vector<std::function<void()>> backlog;
    };

    void tick();
    void beginPass();
    void poll(Controller &controller);
    void readMaps(Controller &controller);
    void readProgress(Controller &controller);
    void send(Controller &controller, const EngineOrder &order);
    EngineOrderResult carryOut(const EngineOrder &order);
    EngineRankReport report(RankIndex rank) const;
    void at(TimePoint time, std::function<void()> event);
    void deliver(Controller &controller, std::function<void()> event);
    void addController();

    Options options_;
    TimePoint now_{std::chrono::seconds(1)};
    std::vector<Rank> ranks_;
    GroupEpoch epoch_{1};
    bool isOpen_ = true;
    bool hasWork_ = true;
    StepNumber step_;
    TimePoint nextPass_;
    std::deque<Controller> controllers_;
    std::multimap<TimePoint, std::function<void()>> events_;
    std::string violation_;
    std::uint64_t mapsMade_ = 0;
    int ordersSent_ = 0;
    bool wantsSwitch_ = false;
    bool hasRival_ = false;
};

} // namespace hornbeamlane::testing
