#include "fault_matrix/HeldSwitchFaultCells.h"

#include "fault_matrix/HeldSwitchWorld.h"

#include <utility>

namespace hornbeamlane::testing {

namespace {

using std::chrono::milliseconds;
using Delivery = HeldSwitchWorld::Delivery;

constexpr const char *invariant = "C1 one map in every pass";
constexpr RankIndex ranks = 4;

/** Orders of one switch without faults: each rank prepares and is armed; one rank holds and releases. */
constexpr int ordersOfSwitch = 2 * ranks + 2;
constexpr int holdOrder = ranks;
constexpr int firstArm = ranks + 1;

constexpr milliseconds beforeSwitch{1000};
/** Longer than the latest execution of an order, so that copies carried out late are seen. */
constexpr milliseconds afterSwitch{16000};
/** Passes that a group makes at least in the last part of a run if nothing holds it. */
constexpr milliseconds lastPart{2000};
constexpr std::uint64_t passesInLastPart = 40;

/** How long orders to one rank are lost by the fault that cuts it off: longer than the lead of the held pass. */
constexpr milliseconds rankCutTime{700};

struct NamedFault
{
    std::string name;
    std::function<void(HeldSwitchWorld &, const EngineOrder &, Delivery &)> strike;
    /** Orders from the struck one on that go to the same rank are lost as well, for this time. */
    milliseconds cutsRankFor{0};
    /** Mechanisms without which the fault at the hold, or at an arm, breaks the condition. */
    std::vector<std::string> protectsHold = {};
    std::vector<std::string> protectsArms = {};
};

std::vector<NamedFault> allFaults()
{
    std::vector<NamedFault> faults = {
        {.name = "order lost",
         .strike = [](auto &, auto &, auto &delivery) { delivery.isOrderLost = true; },
         .protectsArms = {"release-needs-all-armed"}},
        {.name = "answer lost", .strike = [](auto &, auto &, auto &delivery) { delivery.isAnswerLost = true; }},
        {.name = "rank cut off for 700 ms",
         .strike = [](auto &, auto &, auto &delivery) { delivery.isOrderLost = true; },
         .cutsRankFor = rankCutTime,
         .protectsHold = {"arm-needs-hold"},
         .protectsArms = {"release-needs-all-armed"}},
        {.name = "rank lost",
         .strike = [](auto &world, auto &order, auto &) { world.restartRank(order.rank, milliseconds(600)); }},
        {.name = "controller killed",
         .strike = [](auto &world, auto &, auto &) { world.replaceController(milliseconds(3000)); }},
        {.name = "controller frozen for 5 s, old token",
         .strike = [](auto &world, auto &, auto &) { world.freezeController(milliseconds(3000), milliseconds(5000)); }},
    };
    faults.push_back(
        {.name = "another controller acts as well", .strike = [](auto &world, auto &, auto &) { world.addRival(); }});
    faults.push_back({.name = "another controller acts as well, order late",
                      .strike =
                          [](auto &world, auto &, auto &delivery) {
                              world.addRival();
                              delivery.delay = milliseconds(400);
                          },
                      .protectsArms = {"release-needs-all-armed"}});
    for (const int delay : {150, 2000, 6000}) {
        faults.push_back({.name = "carried out " + std::to_string(delay) + " ms late, no answer",
                          .strike = [delay](auto &, auto &, auto &delivery) { delivery.delay = milliseconds(delay); },
                          .protectsArms = {"release-needs-all-armed"}});
        faults.push_back(
            {.name = "copy carried out " + std::to_string(delay) + " ms late",
             .strike = [delay](auto &, auto &, auto &delivery) { delivery.copyDelay = milliseconds(delay); }});
    }
    return faults;
}

CellResult runSwitch(const NamedFault &fault, int struckOrder, const DisabledMechanisms &disabled)
{
    std::optional<RankIndex> cutRank;
    int cutOrders = 0;
    HeldSwitchWorld::Options options{.ranks = ranks};
    options.strike = [&](HeldSwitchWorld &world, int number, const EngineOrder &order, Delivery &delivery) {
        if (number == struckOrder) {
            fault.strike(world, order, delivery);
            if (fault.cutsRankFor > milliseconds(0)) {
                cutRank = order.rank;
                // The order is sent again each 80 ms.
                cutOrders = static_cast<int>(fault.cutsRankFor / milliseconds(80));
            }
        } else if (cutRank == order.rank && cutOrders > 0) {
            --cutOrders;
            delivery.isOrderLost = true;
        }
    };
    if (disabled.contains("release-needs-all-armed")) {
        options.mayRelease = [](std::size_t armed, std::size_t) { return armed > 0; };
    }
    if (disabled.contains("arm-needs-hold")) {
        options.mayArm = [](bool) { return true; };
    }
    HeldSwitchWorld world(std::move(options));
    world.run(beforeSwitch);
    world.startSwitch();
    world.run(afterSwitch);
    const auto passes = world.passes();
    world.run(lastPart);
    if (!world.violation().empty()) {
        return {.hasPassed = false, .detail = world.violation()};
    }
    if (world.passes() < passes + passesInLastPart) {
        return {.hasPassed = false, .detail = "the group stands still at pass " + std::to_string(world.passes())};
    }
    return {.hasPassed = true, .detail = ""};
}

} // namespace

void addHeldSwitchFaultCells(FaultCells &cells)
{
    const std::vector<std::string> noProtections;
    for (const auto &fault : allFaults()) {
        for (int order = 0; order < ordersOfSwitch; ++order) {
            const bool isArm = order >= firstArm && order < firstArm + static_cast<int>(ranks);
            const auto &protections = order == holdOrder ? fault.protectsHold
                : isArm                                  ? fault.protectsArms
                                                         : noProtections;
            cells.push_back({.invariant = invariant,
                             .step = "map switch behind a held pass, order " + std::to_string(order),
                             .fault = fault.name,
                             .protectedBy = protections,
                             .run = [fault, order](const DisabledMechanisms &disabled) {
                                 return runSwitch(fault, order, disabled);
                             }});
        }
    }
}

} // namespace hornbeamlane::testing
