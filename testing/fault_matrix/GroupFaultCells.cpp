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
    /** Mechanisms without which the cell fails, for engines that check tokens and for those that ignore them. */
    std::vector<std::string> protectedIfChecked;
    std::vector<std::string> protectedIfIgnored;
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

    const std::vector<int> near{0, 1, 2, 3, 5, 8, 13};
    const std::vector<int> far{13, 16, 19, 22, 25, 28, 31, 34};
    std::vector<int> following;
    for (int distance = 1; distance < 30; ++distance) {
        following.push_back(distance);
    }
    /** A takeover needs 300 to 340 ticks. */
    const std::vector<int> aroundTakeover{150, 345, 370, 450};
    const std::vector<int> aroundSecondSwitch{85, 95, 100, 105, 110, 115, 120, 130};
    return {
        {.faults = {lost}},
        {.faults = {doubled}},
        {.faults = {doubledLate}, .durations = aroundSecondSwitch, .hasSecondSwitch = true},
        {.faults = {delayed}, .durations = aroundSecondSwitch, .hasSecondSwitch = true},
        {.faults = {reordered}},
        {.faults = {rankKilled}},
        {.faults = {rankStalled}, .durations = {20, 150, 450}},
        {.faults = {controllerKilled}},
        {.faults = {controllerPaused}, .durations = aroundTakeover},
        {.faults = {agentRestarted}},
        {.faults = {tableDown}, .durations = {100, 500}},
        {.faults = {writeReplyLost}},
        {.faults = {slowAtEngine}},
        {.faults = {lost, controllerKilled}, .distances = near},
        {.faults = {lost, controllerPaused}, .distances = near, .durations = {345, 450}},
        {.faults = {delayed, controllerKilled}, .distances = near, .durations = {150, 345}},
        {.faults = {delayed, rankKilled}, .distances = near},
        {.faults = {rankKilled, controllerKilled}, .distances = near},
        {.faults = {rankKilled, controllerPaused}, .distances = near, .durations = {345, 450}},
        {.faults = {rankKilled, otherRankKilled}, .distances = near},
        {.faults = {rankKilledOrdersDoubled, rankKilled},
         .distances = far,
         .durations = {60, 80, 100},
         .hasSecondSwitch = true,
         .points = 9},
        {.faults = {rankStalled, controllerKilled}, .distances = near, .durations = {150, 450}},
        {.faults = {controllerPaused, rankStalled}, .distances = near, .durations = {330, 450}},
        {.faults = {rankStalled, rankKilled}, .distances = near},
        {.faults = {controllerPaused, agentRestarted}, .distances = far, .durations = {345, 370}},
        {.faults = {slowAtEngine, controllerKilled}, .distances = {0, 1, 2}, .durations = {150, 330, 345}},
        {.faults = {tableDown, rankKilled}, .distances = near, .durations = {500}},
        {.faults = {tableDown, controllerKilled}, .distances = near, .durations = {500}},
        {.faults = {tableDown, agentRestarted}, .distances = near, .durations = {500}},
        {.faults = {pausedUnanswered, resumed}, .distances = following, .firstPoint = 9, .points = 9},
        {.faults = {pausedUnanswered, resumedAtRestart}, .distances = following, .firstPoint = 9, .points = 9},
        {.faults = {lost, slowAndKilled, orderArrives},
         .distances = {3, 4, 5, 6, 7, 8, 9, 10, 11, 12},
         .lastDistances = following,
         .firstPoint = 12,
         .points = 1},
    };
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

} // namespace

void addGroupFaultCells(FaultCells &cells)
{
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
                             .protectedBy = enforces ? scenario.protectedIfChecked : scenario.protectedIfIgnored,
                             .run = [scenario, enforces](const DisabledMechanisms &disabled) {
                                 const auto violation = runScenario(scenario, enforces, disabled);
                                 return CellResult{.hasPassed = violation.empty(), .detail = violation};
                             }});
        }
    }
}

} // namespace hornbeamlane::testing
