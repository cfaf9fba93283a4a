#include "fault_matrix/MembershipFaultCells.h"

#include "fault_matrix/MembershipWorld.h"

#include <algorithm>
#include <array>

namespace hornbeamlane::testing {

namespace {

using namespace std::chrono_literals;
using Kind = MembershipFaultKind;
using Time = MembershipWorld::Time;
using Faults = std::vector<MembershipFault>;
using Scenario = std::function<void(MembershipWorld &)>;

constexpr const char *everyCondition = "C9 versions reach everyone and never revert, C3 C7 drains hold";
/** Long enough for a fault within the window and the 6 s after it; scenarios disturb for longer. */
constexpr Time strikeLength = 17s;
constexpr Time scenarioLength = 22s;

struct NamedKind
{
    Kind kind;
    const char *name;
};

constexpr std::array messageKinds = {
    NamedKind{Kind::MessageLost, "message lost"},
    NamedKind{Kind::MessageDoubled, "message doubled"},
    NamedKind{Kind::MessageDelayed, "message delayed 6 s"},
    NamedKind{Kind::MessageReordered, "message reordered"},
    NamedKind{Kind::ReceiverKilled, "receiver killed and started empty"},
    NamedKind{Kind::ReceiverPaused, "receiver paused 4 s"},
};

constexpr std::array tableKinds = {
    NamedKind{Kind::TableRefuses, "table refuses"},          NamedKind{Kind::TableSlow, "table slow"},
    NamedKind{Kind::TableStale, "table reply stale"},        NamedKind{Kind::TableReplyLost, "table reply lost"},
    NamedKind{Kind::TableRequestLost, "table request lost"}, NamedKind{Kind::TableWriteLate, "table write late"},
};

constexpr std::array messageSteps = {"Heartbeat", "Dispatch", "CatalogueUpdate", "CatalogueConfirm", "DrainUpdate"};

constexpr std::array tableSteps = {
    "read catalogue/head",
    "read catalogue/<version>",
    "write catalogue/<version>",
    "write catalogue/head",
    "read drains",
    "write drains",
    "read confirmations/",
    "write confirmations/",
};

/** An operator applies, drains and undrains while a drain is also given to one entry. */
void changeEverything(MembershipWorld &world)
{
    const DrainRecord old{.id = DrainId("old"), .scope = DrainScope::BackendServer, .name = "sc"};
    const DrainRecord stored{.id = DrainId("stored"), .scope = DrainScope::BackendServer, .name = "sb"};
    const DrainRecord local{.id = DrainId("local"), .scope = DrainScope::Host, .name = "host-sa"};
    world.setWindow(5s, 7s);
    world.at(2s, [&world, old] { world.drain(old); });
    world.at(5s, [&world] { world.apply(CatalogueVersion(1)); });
    world.at(5s, [&world, stored] { world.drain(stored); });
    world.at(5100ms, [&world, local] { world.drainAtEntry("a3", local); });
    world.at(5200ms, [&world, old] { world.undrain(old); });
}

std::string describe(const Faults &faults)
{
    std::string text;
    for (const auto &fault : faults) {
        text += fault.step + " #" + std::to_string(fault.occurrence) + ": ";
    }
    return text;
}

/** Runs the scenario once; returns what was violated, or nothing. */
std::string runOnce(const DisabledMechanisms &disabled, const Faults &faults, const Scenario &scenario, Time length)
{
    MembershipWorld world(disabled, faults);
    scenario(world);
    world.run(length);
    world.finish();
    return world.violation().empty() ? "" : describe(faults) + world.violation();
}

CellResult resultOf(const std::string &violation)
{
    return {.hasPassed = violation.empty(), .detail = violation};
}

/** How often each step occurs without any fault and with every mechanism. */
const std::map<std::string, std::size_t> &occurrences()
{
    static const auto counted = [] {
        MembershipWorld world({}, {});
        changeEverything(world);
        world.run(strikeLength);
        return world.occurrences();
    }();
    return counted;
}

std::size_t occurrencesOf(const std::string &step)
{
    const auto match = occurrences().find(step);
    return match == occurrences().end() ? 0 : match->second;
}

/** Strikes each occurrence of the step in turn. */
CellResult strikeEach(const DisabledMechanisms &disabled, const std::string &step, Kind kind)
{
    if (occurrencesOf(step) == 0) {
        return resultOf("the step '" + step + "' never occurs");
    }
    for (std::size_t i = 0; i < occurrencesOf(step); ++i) {
        const auto violation =
            runOnce(disabled, {{.kind = kind, .step = step, .occurrence = i}}, changeEverything, strikeLength);
        if (!violation.empty()) {
            return resultOf(violation);
        }
    }
    return resultOf("");
}

/** Two faults at points that differ from pair to pair. */
CellResult strikePairs(const DisabledMechanisms &disabled, const NamedKind &first, const NamedKind &second)
{
    const auto point = [](const NamedKind &kind, RandomSource &random) {
        const bool isMessage = kind.kind < Kind::TableRefuses;
        const std::string step =
            isMessage ? messageSteps[random.below(messageSteps.size())] : tableSteps[random.below(tableSteps.size())];
        return MembershipFault{.kind = kind.kind, .step = step, .occurrence = random.below(occurrencesOf(step))};
    };
    RandomSource random(hash64(first.name, hash64(second.name)));
    constexpr int pairs = 12;
    for (int i = 0; i < pairs; ++i) {
        const Faults faults = {point(first, random), point(second, random)};
        const auto violation = runOnce(disabled, faults, changeEverything, strikeLength);
        if (!violation.empty()) {
            return resultOf(violation);
        }
    }
    return resultOf("");
}

/** The first occurrences of a step in the window are lost. */
Faults losing(Kind kind, const char *step, std::size_t count)
{
    Faults faults;
    for (std::size_t i = 0; i < count; ++i) {
        faults.push_back({.kind = kind, .step = step, .occurrence = i});
    }
    return faults;
}

struct NamedScenario
{
    const char *invariant;
    std::string step;
    std::string fault;
    Scenario scenario;
    Faults faults;
};

/** Something is wrong from 4 s to 14 s while everything changes. */
Scenario during(
    const std::function<void(MembershipWorld &, bool isBegin)> &disturb,
    const Scenario &check = [](MembershipWorld &) {})
{
    return [disturb, check](MembershipWorld &world) {
        changeEverything(world);
        world.at(4s, [&world, disturb] { disturb(world, true); });
        world.at(13900ms, [&world, check] { check(world); });
        world.at(14s, [&world, disturb] { disturb(world, false); });
    };
}

/** The table is out of order while one process starts empty. */
Scenario restartDuring(const std::string &name, bool isDown, Time staleness)
{
    return [=](MembershipWorld &world) {
        changeEverything(world);
        world.at(12s, [=, &world] { world.setTable(isDown, 0ms, staleness); });
        world.at(12500ms, [=, &world] { world.kill(name); });
        world.at(13s, [=, &world] {
            world.setWindow(13s, 13500ms);
            world.restart(name);
        });
        world.at(16s, [&world] { world.setTable(false, 0ms, 0ms); });
    };
}

/** The table is down, and the one entry that a starting entry can reach has been on its own since before the apply. */
void restartBesideALaggingEntry(MembershipWorld &world)
{
    const std::vector<std::string> others = {"a1", "a2", "sa", "sb", "sc"};
    world.at(5s, [&world] { world.apply(CatalogueVersion(1)); });
    const auto isolate = [&world, others](bool isCut) {
        for (const auto &other : others) {
            world.cutLink("a3", other, isCut);
        }
        world.cutPlatform("a3", isCut);
    };
    world.at(4s, [isolate] { isolate(true); });
    world.at(12s, [&world] { world.setTable(true, 0ms, 0ms); });
    world.at(12s, [&world] { world.cutDataCentres(true); });
    world.at(12500ms, [&world] { world.kill("a2"); });
    world.at(12600ms, [&world] { world.cutLink("a1", "a2", true); });
    world.at(12700ms, [&world] { world.cutLink("a2", "a3", false); });
    world.at(13s, [&world] { world.restart("a2"); });
    world.at(15s, [&world] { world.setTable(false, 0ms, 0ms); });
    world.at(15s, [&world] { world.cutDataCentres(false); });
    world.at(15s, [&world] { world.cutLink("a1", "a2", false); });
    world.at(15s, [isolate] { isolate(false); });
}

/** Every process of a data centre starts empty while the table is down. */
void restartAll(MembershipWorld &world)
{
    changeEverything(world);
    world.at(12s, [&world] { world.setTable(true, 0ms, 0ms); });
    for (const std::string name : {"a1", "a2", "a3", "sa", "sc"}) {
        world.at(12500ms, [&world, name] { world.kill(name); });
        world.at(13s, [&world, name] { world.restart(name); });
    }
    world.at(16s, [&world] { world.setTable(false, 0ms, 0ms); });
}

/** Both readers fail for good, the host list does not notice, and no other data centre can help. */
Scenario loseReaders(bool isPause)
{
    return [isPause](MembershipWorld &world) {
        changeEverything(world);
        world.at(4s, [&world] { world.cutDataCentres(true); });
        world.at(4500ms, [&world, isPause] {
            for (const auto &name : world.readers("a")) {
                isPause ? world.pause(name) : world.kill(name);
            }
        });
    };
}

/** Only a drain that is given to an entry, while the table is down. */
void drainWithoutTable(MembershipWorld &world)
{
    const DrainRecord local{.id = DrainId("local"), .scope = DrainScope::DataCentre, .name = "b"};
    world.at(4s, [&world] { world.setTable(true, 0ms, 0ms); });
    world.setWindow(14s, 21s);
    world.at(5s, [&world, local] { world.drainAtEntry("a3", local); });
    world.at(10s, [&world] { world.expectUpToDate("b"); });
    world.at(14s, [&world] { world.setTable(false, 0ms, 0ms); });
}

/** A process starts in a system without any drain, and everything that it is told at first is lost. */
void startWithoutDrains(MembershipWorld &world)
{
    world.setWindow(5s, 5900ms);
    world.at(4500ms, [&world] { world.kill("sc"); });
    world.at(5s, [&world] { world.restart("sc"); });
    world.at(5s, [&world] { world.apply(CatalogueVersion(1)); });
}

/** The data centre whose policy is stop is cut off from everything. */
void cutOffWithStop(MembershipWorld &world)
{
    const auto cut = [&world](bool isCut) {
        world.cutPlatform("a", isCut);
        world.cutDataCentres(isCut);
    };
    world.expectStop("a", 9100ms, 14s);
    world.at(4s, [cut] { cut(true); });
    world.at(14s, [cut] { cut(false); });
    world.at(14s, [&world] { world.apply(CatalogueVersion(1)); });
}

void expectEveryoneUpToDate(MembershipWorld &world)
{
    world.expectUpToDate("a");
    world.expectUpToDate("b");
}

const std::vector<NamedScenario> &scenarios()
{
    static const auto all = [] {
        std::vector<NamedScenario> list;
        const auto add = [&list](const char *invariant, const std::string &step, const std::string &fault,
                                 Scenario scenario, Faults faults = {}) {
            list.push_back({invariant, step, fault, std::move(scenario), std::move(faults)});
        };
        const char *noOldStart = "C9 no start with an old version";
        const char *inTime = "C9 in force within 6 s";
        const char *newsArrives = "C3 C7 C9 news arrives";
        for (const std::string name : {"a1", "a2", "a3", "b1", "b2", "b3", "sa", "sb", "sc"}) {
            add(noOldStart, "start of " + name, "table down", restartDuring(name, true, 0ms));
            add(noOldStart, "start of " + name, "table replies stale", restartDuring(name, false, 10s));
        }
        auto unanswered = losing(Kind::MessageLost, "CatalogueUpdate", 12);
        const auto unasked = losing(Kind::MessageLost, "CatalogueRequest", 12);
        unanswered.insert(unanswered.end(), unasked.begin(), unasked.end());
        add(noOldStart, "start of a2", "table replies stale, first messages lost", restartDuring("a2", false, 10s),
            unanswered);
        add(noOldStart, "start of a2", "table down, only a lagging entry in reach", restartBesideALaggingEntry);
        add(noOldStart, "start of a data centre", "table down", restartAll);
        add(inTime, "apply", "both readers dead, host list lags", loseReaders(false));
        add(inTime, "apply", "both readers frozen, host list lags", loseReaders(true));
        add("C3 C7 within 5 s", "drain at an entry", "table down", drainWithoutTable);
        add("C3 C7 drains are stored", "drain at an entry", "first writes lost", drainWithoutTable,
            losing(Kind::TableRequestLost, "write drains", 8));
        add("C3 C7 known drains", "start of sc without any drain", "first messages lost", startWithoutDrains,
            losing(Kind::MessageLost, "DrainUpdate", 12));
        add(newsArrives, "apply and drain", "table down for 10 s", [](MembershipWorld &world) {
            drainWithoutTable(world);
            world.at(15s, [&world] { world.apply(CatalogueVersion(1)); });
        });
        add(newsArrives, "apply and drain", "table slow for 10 s",
            during([](auto &world, bool isBegin) { world.setTable(false, isBegin ? 3s : 0s, 0ms); }));
        add(newsArrives, "apply and drain", "table replies 3 s old for 10 s",
            during([](auto &world, bool isBegin) { world.setTable(false, 0ms, isBegin ? 3s : 0s); }));
        for (const std::string name : {"a", "b"}) {
            add(newsArrives, "apply and drain", "data centre " + name + " cut off from the platform",
                during([name](auto &world, bool isBegin) { world.cutPlatform(name, isBegin); },
                       expectEveryoneUpToDate));
            add(newsArrives, "apply and drain", "data centre " + name + " cut off from both, then merged",
                during([name](auto &world, bool isBegin) {
                    world.cutPlatform(name, isBegin);
                    world.cutDataCentres(isBegin);
                    if (name == "b") {
                        // The drain of the server in b is in the table, out of reach.
                        world.excuseUntil(14s);
                    }
                }));
        }
        add(newsArrives, "apply and drain", "data centres cut off from each other",
            during([](auto &world, bool isBegin) { world.cutDataCentres(isBegin); }, expectEveryoneUpToDate));
        add("C3 policy stop", "work", "data centre a cut off from both", cutOffWithStop);
        return list;
    }();
    return all;
}

/** Two operators apply to the same base, with every offset and a table fault at every request. */
CellResult raceOperators(const DisabledMechanisms &disabled, Kind kind)
{
    for (const char *step : tableSteps) {
        const bool isOperators = std::string_view(step).find("catalogue") != std::string_view::npos;
        for (std::size_t occurrence = 0; isOperators && occurrence < 4; ++occurrence) {
            for (Time offset = 0ms; offset < 9ms; offset += 1ms) {
                const auto violation = runOnce(
                    disabled, {{.kind = kind, .step = step, .occurrence = occurrence}},
                    [offset](MembershipWorld &world) {
                        // Short, so that most requests in the window are the operators'.
                        world.setWindow(5s, 5s + 20ms);
                        world.at(5s, [&world] { world.apply(CatalogueVersion(1), "first"); });
                        world.at(5s + offset, [&world] { world.apply(CatalogueVersion(1), "second"); });
                    },
                    strikeLength);
                if (!violation.empty()) {
                    return resultOf("offset " + std::to_string(offset.count()) + " ms: " + violation);
                }
            }
        }
    }
    return resultOf("");
}

/** Drains by two operators and at two entries at nearly the same time. */
CellResult raceDrains(const DisabledMechanisms &disabled)
{
    for (Time offset = 0ms; offset < 1200ms; offset += 50ms) {
        const auto violation = runOnce(
            disabled, {},
            [offset](MembershipWorld &world) {
                const auto host = [](const char *name) {
                    return DrainRecord{.id = DrainId(name), .scope = DrainScope::Host, .name = name};
                };
                world.at(5s, [=, &world] { world.drain(host("host-sa")); });
                world.at(5001ms, [=, &world] { world.drain(host("host-x")); });
                world.at(5s + offset, [=, &world] { world.drainAtEntry("a3", host("host-sb")); });
                world.at(5s + 2 * offset, [=, &world] { world.drainAtEntry("b3", host("host-y")); });
            },
            strikeLength);
        if (!violation.empty()) {
            return resultOf("offset " + std::to_string(offset.count()) + " ms: " + violation);
        }
    }
    return resultOf("");
}

/** Cells that fail without a mechanism: those of the step with one of the faults. */
struct Protection
{
    const char *mechanism;
    const char *step;
    std::vector<const char *> faults;
};

/** As measured with --without for every mechanism. Pairs of faults strike few points each, so not all need it. */
const std::vector<Protection> &protections()
{
    static const std::vector<Protection> all = {
        {"agent-drain-check", "Dispatch", {"message delayed 6 s"}},
        {"agent-drain-check",
         "any two steps",
         {"message delayed 6 s and table refuses", "message delayed 6 s and table reply lost",
          "message delayed 6 s and table request lost"}},
        {"apply-read-back", "write catalogue/head", {"table reply lost", "table write late"}},
        {"apply-read-back", "two operators apply", {"table reply lost"}},
        {"apply-read-back",
         "any two steps",
         {"message lost and table reply lost", "message lost and table write late",
          "message doubled and table reply lost", "message doubled and table write late",
          "message delayed 6 s and table reply lost", "message delayed 6 s and table write late",
          "message reordered and table reply lost", "message reordered and table write late",
          "receiver killed and started empty and table reply lost",
          "receiver killed and started empty and table write late", "receiver paused 4 s and table reply lost",
          "receiver paused 4 s and table write late"}},
        {"conditional-head-write",
         "two operators apply",
         {"table refuses", "table slow", "table reply stale", "table reply lost", "table request lost",
          "table write late"}},
        {"confirmation-retry", "Heartbeat", {"receiver paused 4 s"}},
        {"confirmation-retry", "write confirmations/", {"table refuses", "table request lost"}},
        {"confirmation-retry",
         "any two steps",
         {"message lost and table refuses", "message lost and table request lost", "message doubled and table refuses",
          "message doubled and table request lost", "receiver paused 4 s and table refuses",
          "receiver paused 4 s and table reply stale"}},
        {"confirmation-retry",
         "apply and drain",
         {"data centre a cut off from the platform", "data centre b cut off from the platform"}},
        {"cut-off-stop", "work", {"data centre a cut off from both"}},
        {"drain-write-retry", "drain at an entry", {"first writes lost"}},
        {"monotonic-version", "read catalogue/head", {"table slow", "table reply stale"}},
        {"monotonic-version", "any two steps", {"message delayed 6 s and table reply stale"}},
        {"monotonic-version", "start of", {"table replies stale", "table replies stale, first messages lost"}},
        {"monotonic-version", "two operators apply", {"table slow"}},
        {"reader-succession", "apply", {"both readers dead, host list lags", "both readers frozen, host list lags"}},
        {"startup-claim-check", "start of a2", {"table replies stale, first messages lost"}},
        {"startup-quorum", "start of a2", {"table down, only a lagging entry in reach"}},
        {"version-repair", "CatalogueUpdate", {"message lost", "message delayed 6 s"}},
        {"version-repair",
         "any two steps",
         {"message lost and table slow", "message lost and table reply lost", "message lost and table request lost",
          "message lost and table write late", "message delayed 6 s and table slow",
          "message delayed 6 s and table reply stale", "message delayed 6 s and table request lost"}},
    };
    return all;
}

/** Cells in which at most one process holds a drain, so that replacing the set loses nothing. */
bool hasNoDrainsToMerge(const std::string &step, const std::string &fault)
{
    return step == "work" || step == "two operators apply" || step == "apply" || step == "start of sc without any drain"
        || fault == "table down, only a lagging entry in reach";
}

std::vector<std::string> protectionOf(const std::string &step, const std::string &fault)
{
    // Most processes learn everything over links only.
    std::vector<std::string> names = {"peer-gossip"};
    if (!hasNoDrainsToMerge(step, fault)) {
        names.emplace_back("drain-union");
    }
    for (const auto &protection : protections()) {
        const bool isStep = step == protection.step
            || (std::string_view(protection.step) == "start of" && step.starts_with(protection.step));
        if (isStep && std::find(protection.faults.begin(), protection.faults.end(), fault) != protection.faults.end()) {
            names.emplace_back(protection.mechanism);
        }
    }
    return names;
}

} // namespace

void addMembershipFaultCells(FaultCells &cells)
{
    const auto add = [&cells](const char *invariant, const std::string &step, const std::string &fault, auto run) {
        cells.push_back({.invariant = invariant,
                         .step = step,
                         .fault = fault,
                         .protectedBy = protectionOf(step, fault),
                         .run = std::move(run)});
    };
    const auto addSteps = [&add](const auto &steps, const auto &kinds) {
        for (const char *step : steps) {
            for (const auto &kind : kinds) {
                add(everyCondition, step, kind.name,
                    [step, kind](const DisabledMechanisms &disabled) { return strikeEach(disabled, step, kind.kind); });
            }
        }
    };
    addSteps(messageSteps, messageKinds);
    addSteps(tableSteps, tableKinds);
    for (const auto &first : messageKinds) {
        for (const auto &second : tableKinds) {
            add(everyCondition, "any two steps", std::string(first.name) + " and " + second.name,
                [first, second](const DisabledMechanisms &disabled) { return strikePairs(disabled, first, second); });
        }
    }
    for (const auto &scenario : scenarios()) {
        add(scenario.invariant, scenario.step, scenario.fault, [&scenario](const DisabledMechanisms &disabled) {
            return resultOf(runOnce(disabled, scenario.faults, scenario.scenario, scenarioLength));
        });
    }
    for (const auto &kind : tableKinds) {
        add("C9 the operator is told the truth", "two operators apply", kind.name,
            [kind](const DisabledMechanisms &disabled) { return raceOperators(disabled, kind.kind); });
    }
    add("C3 C7 no drain is lost", "operators and entries drain", "at the same time", raceDrains);
}

} // namespace hornbeamlane::testing
