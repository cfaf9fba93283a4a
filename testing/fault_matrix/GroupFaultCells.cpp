#include "fault_matrix/GroupFaultCells.h"

#include "group_fakes/GroupWorld.h"

#include <algorithm>
#include <utility>

namespace hornbeamlane::testing {

namespace {

using Delivery = GroupWorld::Delivery;

/** Strikes at one message of the switch, seen as the rank that sends or receives it; ticks vary with the scenario. */
using FaultAction = std::function<void(GroupWorld &world, RankIndex rank, Delivery &delivery, int ticks)>;

struct NamedFault
{
    std::string name;
    FaultAction action;
};

struct Scenario
{
    std::vector<NamedFault> faults;
    /** Distances in messages between the first and the second fault, and between the second and the third. */
    std::vector<int> distances = {0};
    std::vector<int> lastDistances = {0};
    /** Lengths of those faults that have one. */
    std::vector<int> durations = {150};
    bool hasSecondSwitch = false;
    int firstPoint = 0;
    int points = 40;
    /** Mechanisms without which the cell fails, and those that matter only if the engine checks or ignores tokens. */
    std::vector<std::string> protectedBy = {};
    std::vector<std::string> ifChecked = {};
    std::vector<std::string> ifIgnored = {};
};

constexpr int rankDownTicks = 30;
/** A later fault of the scenario ends the delay or pause; otherwise it ends after this many ticks. */
constexpr int untilReleased = 600;

NamedFault fault(std::string name, FaultAction action)
{
    return {std::move(name), std::move(action)};
}

std::vector<Scenario> allScenarios()
{
    const auto lost = fault("message lost", [](auto &, auto, auto &delivery, int) { delivery.isLost = true; });
    const auto doubled = fault("message doubled", [](auto &, auto, auto &delivery, int) { delivery.copyDelay = 2; });
    const auto doubledLate = fault("message doubled, copy late",
                                   [](auto &, auto, auto &delivery, int ticks) { delivery.copyDelay = ticks; });
    const auto delayed =
        fault("message delayed", [](auto &, auto, auto &delivery, int ticks) { delivery.delay = ticks; });
    const auto reordered = fault("message reordered", [](auto &, auto, auto &delivery, int) { delivery.delay = 10; });
    const auto rankKilled =
        fault("rank killed", [](auto &world, auto rank, auto &, int) { world.killRank(rank, rankDownTicks); });
    const auto otherRankKilled = fault("other rank killed", [](auto &world, auto rank, auto &, int) {
        world.killRank(rank == 0 ? 1 : 0, rankDownTicks);
    });
    const auto rankKilledOrdersDoubled =
        fault("rank killed, its orders doubled late", [](auto &world, auto rank, auto &, int ticks) {
            world.killRank(rank, rankDownTicks);
            world.doubleOrders(rank, ticks);
        });
    const auto rankStalled =
        fault("rank stalled", [](auto &world, auto rank, auto &, int ticks) { world.stallRank(rank, ticks); });
    const auto controllerKilled =
        fault("controller killed", [](auto &world, auto, auto &, int) { world.killController(); });
    const auto controllerPaused = fault("controller paused, resumed with an old token",
                                        [](auto &world, auto, auto &, int ticks) { world.pauseController(ticks); });
    const auto agentRestarted =
        fault("agent restarted", [](auto &world, auto rank, auto &, int) { world.restartAgent(rank); });
    const auto tableDown =
        fault("table down", [](auto &world, auto, auto &, int ticks) { world.takeTableDown(ticks); });
    const auto writeReplyLost =
        fault("lease write applied, reply lost", [](auto &world, auto, auto &, int) { world.loseNextWriteReply(); });
    const auto slowAtEngine =
        fault("order slow between agent and engine",
              [](auto &world, auto rank, auto &, int ticks) { world.delayAtEngine(rank, ticks); });
    const auto pausedUnanswered =
        fault("controller paused, last answer lost", [](auto &world, auto, auto &delivery, int) {
            delivery.isLost = true;
            world.pauseController(untilReleased);
        });
    const auto resumed =
        fault("resumed with an old token", [](auto &world, auto, auto &, int) { world.resumeController(); });
    const auto resumedAtRestart =
        fault("resumed with an old token as an agent restarts", [](auto &world, auto rank, auto &, int) {
            world.resumeController();
            world.restartAgent(rank);
        });
    const auto slowAndKilled =
        fault("controller killed, its order slow at the engine", [](auto &world, auto rank, auto &, int) {
            world.delayAtEngine(rank, untilReleased);
            world.killController();
        });
    const auto orderArrives =
        fault("slow order arrives", [](auto &world, auto, auto &, int) { world.releaseSlowOrders(); });

    const std::vector<int> near{0, 1, 3, 8};
    const std::vector<int> far{13, 16, 19, 22, 25, 28, 31, 34};
    std::vector<int> following;
    for (int distance = 1; distance < 30; ++distance) {
        following.push_back(distance);
    }
    /** A takeover needs 300 to 340 ticks. */
    const std::vector<int> aroundTakeover{150, 345, 370, 450};
    const std::vector<int> aroundSecondSwitch{85, 95, 100, 105, 110, 115, 120, 130};
    return {
        {.faults = {lost}, .protectedBy = {"hold-before-step", "go-after-all-armed"}},
        {.faults = {doubled}},
        {.faults = {doubledLate}, .durations = aroundSecondSwitch, .hasSecondSwitch = true},
        {.faults = {delayed},
         .durations = aroundSecondSwitch,
         .hasSecondSwitch = true,
         .protectedBy = {"hold-before-step", "go-after-all-armed"}},
        {.faults = {reordered}, .protectedBy = {"hold-before-step", "go-after-all-armed"}},
        {.faults = {rankKilled}, .protectedBy = {"order-names-arm", "hold-before-join"}},
        {.faults = {rankStalled}, .durations = {20, 150, 450}},
        {.faults = {controllerKilled}, .protectedBy = {"hold-before-step", "recovery-completes-switch"}},
        {.faults = {controllerPaused},
         .durations = aroundTakeover,
         .protectedBy = {"hold-before-step", "go-after-all-armed", "recovery-completes-switch"}},
        {.faults = {agentRestarted}, .ifIgnored = {"hold-before-step", "go-after-all-armed"}},
        {.faults = {tableDown}, .durations = {100, 500}},
        {.faults = {writeReplyLost}},
        {.faults = {slowAtEngine}, .protectedBy = {"hold-before-step", "go-after-all-armed"}},
        {.faults = {lost, controllerKilled},
         .distances = near,
         .protectedBy = {"hold-before-step", "go-after-all-armed", "recovery-completes-switch"}},
        {.faults = {lost, controllerPaused},
         .distances = near,
         .durations = {345, 450},
         .protectedBy = {"hold-before-step", "go-after-all-armed", "recovery-completes-switch"}},
        {.faults = {delayed, controllerKilled},
         .distances = near,
         .durations = {150, 345},
         .protectedBy = {"hold-before-step", "go-after-all-armed", "recovery-completes-switch"}},
        {.faults = {delayed, rankKilled},
         .distances = near,
         .protectedBy = {"order-names-arm", "hold-before-step", "hold-before-join", "go-after-all-armed"}},
        {.faults = {rankKilled, controllerKilled},
         .distances = near,
         .protectedBy = {"order-names-arm", "hold-before-join", "recovery-completes-switch"}},
        {.faults = {rankKilled, controllerPaused},
         .distances = near,
         .durations = {345, 450},
         .protectedBy = {"order-names-arm", "hold-before-join", "recovery-completes-switch"}},
        {.faults = {rankKilled, otherRankKilled},
         .distances = near,
         .protectedBy = {"order-names-arm", "hold-before-join"}},
        {.faults = {rankKilledOrdersDoubled, rankKilled},
         .distances = far,
         .durations = {60, 80, 100},
         .hasSecondSwitch = true,
         .points = 9,
         .protectedBy = {"engine-incarnation", "order-names-arm", "hold-before-join"}},
        {.faults = {rankStalled, controllerKilled},
         .distances = near,
         .durations = {150, 450},
         .protectedBy = {"hold-before-step", "fence-all-before-recovery", "recovery-completes-switch"}},
        {.faults = {controllerPaused, rankStalled},
         .distances = near,
         .durations = {330, 450},
         .protectedBy = {"hold-before-step", "recovery-completes-switch"},
         .ifChecked = {"fencing-token"},
         .ifIgnored = {"agent-fencing-guard"}},
        {.faults = {rankStalled, rankKilled},
         .distances = near,
         .protectedBy = {"order-names-arm", "hold-before-join"}},
        {.faults = {controllerPaused, agentRestarted},
         .distances = far,
         .durations = {345, 370},
         .protectedBy = {"hold-before-step", "recovery-completes-switch"},
         .ifIgnored = {"go-after-all-armed"}},
        {.faults = {slowAtEngine, controllerKilled},
         .distances = {0, 1, 2},
         .durations = {150, 330, 345},
         .protectedBy = {"hold-before-step", "fence-all-before-recovery", "recovery-completes-switch"}},
        {.faults = {tableDown, rankKilled},
         .distances = near,
         .durations = {500},
         .protectedBy = {"order-names-arm", "hold-before-join"}},
        {.faults = {tableDown, controllerKilled},
         .distances = near,
         .durations = {500},
         .protectedBy = {"hold-before-step", "recovery-completes-switch"}},
        {.faults = {tableDown, agentRestarted},
         .distances = near,
         .durations = {500},
         .ifIgnored = {"hold-before-step", "go-after-all-armed", "recovery-completes-switch"}},
        {.faults = {pausedUnanswered, resumed},
         .distances = following,
         .firstPoint = 9,
         .points = 9,
         .protectedBy = {"go-after-all-armed"},
         .ifChecked = {"fencing-token"},
         .ifIgnored = {"agent-fencing-guard"}},
        {.faults = {pausedUnanswered, resumedAtRestart},
         .distances = following,
         .firstPoint = 9,
         .points = 9,
         .protectedBy = {"go-after-all-armed"},
         .ifChecked = {"fencing-token"},
         .ifIgnored = {"hold-before-step", "agent-fencing-guard", "read-row-after-restart",
                       "fence-all-before-recovery"}},
        {.faults = {rankStalled, slowAndKilled, orderArrives},
         .distances = {9, 10, 11, 12},
         .lastDistances = following,
         .durations = {60},
         .firstPoint = 10,
         .points = 1,
         .protectedBy = {"hold-before-step"},
         .ifChecked = {"fencing-token"},
         .ifIgnored = {"one-order-at-a-time", "fence-all-before-recovery"}},
    };
}

std::vector<std::string> mechanismsOf(const Scenario &scenario, bool engineEnforcesFencing)
{
    auto names = scenario.protectedBy;
    const auto &more = engineEnforcesFencing ? scenario.ifChecked : scenario.ifIgnored;
    names.insert(names.end(), more.begin(), more.end());
    return names;
}

/** One run; the faults strike at the given messages. */
std::string runOnce(const Scenario &scenario, bool engineEnforcesFencing, const DisabledMechanisms &disabled,
                    const std::vector<int> &messages, int ticks)
{
    GroupWorld world({.engineEnforcesFencing = engineEnforcesFencing,
                      .disabled = disabled,
                      .hasSecondSwitch = scenario.hasSecondSwitch,
                      .leastMessages = messages[scenario.faults.size() - 1]},
                     [&](GroupWorld &target, int message, RankIndex rank, Delivery &delivery) {
                         for (std::size_t i = 0; i < scenario.faults.size(); ++i) {
                             if (message == messages[i]) {
                                 scenario.faults[i].action(target, rank, delivery, ticks);
                             }
                         }
                     });
    auto violation = world.run();
    if (!violation.empty()) {
        for (const int message : messages) {
            violation += ", message " + std::to_string(message);
        }
        violation += ", " + std::to_string(ticks) + " ticks";
    }
    return violation;
}

std::string runScenario(const Scenario &scenario, bool engineEnforcesFencing, const DisabledMechanisms &disabled)
{
    for (int point = scenario.firstPoint; point < scenario.firstPoint + scenario.points; ++point) {
        for (const int distance : scenario.distances) {
            for (const int lastDistance : scenario.lastDistances) {
                for (const int ticks : scenario.durations) {
                    auto violation = runOnce(scenario, engineEnforcesFencing, disabled,
                                             {point, point + distance, point + distance + lastDistance}, ticks);
                    if (!violation.empty()) {
                        return violation;
                    }
                }
            }
        }
    }
    return {};
}

constexpr TimePoint leaseStart{Duration(std::chrono::hours(1))};

/** Fault of the first holder of a lease, at the given tick after its acquisition. */
enum class LeaseFault { TableUnreachable, RepliesLate, RepliesLost, Paused, Killed };

/** Two keepers compete for one row with ticks of 100 ms; the first one suffers the fault from the given tick on. */
std::string runLease(LeaseFault leaseFault, int strike, int length, const DisabledMechanisms &disabled)
{
    FakeTable table;
    std::vector<LeaseKeeper> keepers;
    for (const std::uint64_t holder : {1, 2}) {
        LeaseKeeper::Options options{.key = "lease", .holder = Incarnation(holder)};
        if (disabled.contains("lease-holder-stops-first")) {
            options.holdTime = [](Duration duration) { return duration * 100; };
        }
        if (disabled.contains("lease-contender-waits")) {
            options.takeoverWait = [](Duration) { return Duration::zero(); };
        }
        if (disabled.contains("lease-counts-from-sending")) {
            options.holdStart = [](TimePoint, TimePoint answeredAt) { return answeredAt; };
        }
        keepers.emplace_back(std::move(options));
    }
    struct LateReply
    {
        TableReply reply;
        int dueAt = 0;
    };
    std::optional<LateReply> late;
    FencingToken newest;
    for (int tick = 0; tick < 1000; ++tick) {
        const auto now = leaseStart + tick * std::chrono::milliseconds(100);
        const bool isStruck = tick >= strike && tick < strike + length;
        for (std::size_t i = 0; i < keepers.size(); ++i) {
            if (i == 0 && isStruck && (leaseFault == LeaseFault::Paused || leaseFault == LeaseFault::Killed)) {
                continue;
            }
            if (i == 0 && late) {
                if (tick < late->dueAt) {
                    continue;
                }
                keepers[0].handleReply(std::exchange(late, std::nullopt)->reply, now);
            }
            if (i == 1 && tick == 0) {
                continue; // The first keeper is the first holder.
            }
            while (const auto request = keepers[i].poll(now)) {
                TableReply reply{.status = TableStatus::Unavailable, .row = std::nullopt};
                if (i != 0 || !isStruck || leaseFault != LeaseFault::TableUnreachable) {
                    reply = table.apply(*request);
                }
                if (i == 0 && isStruck && leaseFault == LeaseFault::RepliesLost) {
                    reply = {.status = TableStatus::NoReply, .row = std::nullopt};
                }
                if (i == 0 && isStruck && leaseFault == LeaseFault::RepliesLate) {
                    late = LateReply{.reply = reply, .dueAt = strike + length};
                    break;
                }
                keepers[i].handleReply(reply, now);
            }
        }
        const auto first = keepers[0].token(now);
        const auto second = keepers[1].token(now);
        const bool isFirstDead = leaseFault == LeaseFault::Killed && isStruck;
        if (first && second && !isFirstDead) {
            return "two holders at tick " + std::to_string(tick) + " after a fault at tick " + std::to_string(strike);
        }
        for (const auto &token : {first, second}) {
            if (token && *token < newest && !isFirstDead) {
                return "an older token is active at tick " + std::to_string(tick);
            }
            newest = std::max(newest, token.value_or(newest));
        }
    }
    return newest == FencingToken() ? "nobody holds the lease" : "";
}

void addLeaseCells(FaultCells &cells)
{
    struct LeaseCell
    {
        LeaseFault leaseFault;
        std::string name;
        std::vector<std::string> protectedBy;
    };
    const std::vector<LeaseCell> leaseCells{
        {LeaseFault::TableUnreachable,
         "table unreachable for the holder",
         {"lease-contender-waits", "lease-holder-stops-first"}},
        {LeaseFault::RepliesLate,
         "replies to the holder late",
         {"lease-contender-waits", "lease-counts-from-sending", "lease-holder-stops-first"}},
        {LeaseFault::RepliesLost,
         "writes applied, replies lost",
         {"lease-contender-waits", "lease-counts-from-sending", "lease-holder-stops-first"}},
        {LeaseFault::Paused, "holder paused, resumed late", {"lease-contender-waits", "lease-holder-stops-first"}},
        {LeaseFault::Killed, "holder killed", {"lease-contender-waits"}},
    };
    for (const auto &cell : leaseCells) {
        cells.push_back({.invariant = "C1 one controller a group",
                         .step = "each tenth of a second of a lease's renewal",
                         .fault = cell.name,
                         .protectedBy = cell.protectedBy,
                         .run = [leaseFault = cell.leaseFault](const DisabledMechanisms &disabled) {
                             for (int strike = 1; strike < 45; ++strike) {
                                 for (const int length : {5, 50, 90, 120, 160, 200, 400}) {
                                     const auto violation = runLease(leaseFault, strike, length, disabled);
                                     if (!violation.empty()) {
                                         return CellResult{.hasPassed = false, .detail = violation};
                                     }
                                 }
                             }
                             return CellResult{.hasPassed = true, .detail = {}};
                         }});
    }
}

} // namespace

void addGroupFaultCells(FaultCells &cells)
{
    addLeaseCells(cells);
    for (const bool enforces : {true, false}) {
        for (const auto &scenario : allScenarios()) {
            std::string name;
            for (const auto &part : scenario.faults) {
                name += (name.empty() ? "" : " + ") + part.name;
            }
            cells.push_back({.invariant = "C1 one expert map a step",
                             .step = enforces ? "each message of a map switch, engine checks tokens"
                                              : "each message of a map switch, engine ignores tokens",
                             .fault = std::move(name),
                             .protectedBy = mechanismsOf(scenario, enforces),
                             .run = [scenario, enforces](const DisabledMechanisms &disabled) {
                                 const auto violation = runScenario(scenario, enforces, disabled);
                                 return CellResult{.hasPassed = violation.empty(), .detail = violation};
                             }});
        }
    }
}

} // namespace hornbeamlane::testing
