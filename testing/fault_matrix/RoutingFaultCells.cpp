#include "fault_matrix/RoutingFaultCells.h"

#include "fault_matrix/CrashWorld.h"
#include "hornbeamlane_routing/hornbeamlane_routing.h"

#include <array>

namespace hornbeamlane::testing {

namespace {

constexpr int lastResendTick = 24;
constexpr int firstLossTick = 3;
/** Without confirmation the first entry loses its second server here. */
constexpr int secondLossTick = 6;
/** Update faults strike at these ticks; the first evidence is sent at tick 3 and the last in the plain run at 12. */
constexpr int firstUpdateTick = firstLossTick;
constexpr int lastUpdateTick = 12;

using Check = std::function<std::string(const CrashOutcome &)>;

std::string losesAtMostTwo(const CrashOutcome &outcome)
{
    return outcome.lostToCrasher <= 2 ? "" : std::to_string(outcome.lostToCrasher) + " servers lost";
}

std::string servesOthers(const CrashOutcome &outcome)
{
    if (outcome.refusedOthers > 0 || outcome.unfinishedOthers > 0) {
        return std::to_string(outcome.refusedOthers) + " others refused, " + std::to_string(outcome.unfinishedOthers)
            + " not served";
    }
    return "";
}

std::string servesOthersWithoutOwnLosses(const CrashOutcome &outcome)
{
    return outcome.refusedWithoutCause == 0 ? "" : "refused without two lost servers of its own";
}

std::string tellsTheTruth(const CrashOutcome &outcome)
{
    return outcome.falseNotRun == 0 ? "" : "a quarantine refusal says that nothing ran";
}

struct CheckRow
{
    std::string invariant;
    Check check;
    std::vector<std::string> protectedBy;
};

/** Runs the world with each of the faults and reports the first that breaks the check. */
CellResult runWorlds(const std::vector<CrashFaults> &faults, const Check &check, const DisabledMechanisms &disabled)
{
    for (const auto &fault : faults) {
        const auto seen = check(runCrashWorld(fault, disabled));
        if (!seen.empty()) {
            return {.detail = seen + ", update fault at tick " + std::to_string(fault.updateAt)};
        }
    }
    return {.hasPassed = true};
}

void addWorldCells(FaultCells &cells, const std::string &step, const std::string &fault,
                   const std::vector<CrashFaults> &faults, const std::vector<CheckRow> &rows)
{
    for (const auto &row : rows) {
        cells.push_back({.invariant = row.invariant,
                         .step = step,
                         .fault = fault,
                         .protectedBy = row.protectedBy,
                         .run = [faults, check = row.check](const DisabledMechanisms &disabled) {
                             return runWorlds(faults, check, disabled);
                         }});
    }
}

std::vector<std::string> lossProtections(int tick, std::size_t entry, bool isUpdateLate)
{
    std::vector<std::string> names = {"crash-quarantine"};
    // Until the evidence reaches the other entry, only confirmation keeps both from running the request at once.
    if (entry != 0 && tick <= (isUpdateLate ? secondLossTick : firstLossTick)) {
        names.emplace_back("suspect-confirmation");
    }
    return names;
}

std::vector<std::string> serviceProtections(int tick, std::size_t entry)
{
    std::vector<std::string> names = {"team-in-fingerprint"};
    // A copy that was sent before the first loss takes the second server alone; then the crashing request meets no
    // other suspect in its own entry. The entry to which it was resent learns of the loss a tick later.
    const bool hasCopy = tick < firstLossTick + (entry == 0 ? 0 : 1);
    if (!hasCopy) {
        names.emplace_back("suspect-isolation");
    }
    if (entry != 0 || !hasCopy) {
        names.emplace_back("suspect-confirmation");
    }
    return names;
}

void addResendCells(FaultCells &cells)
{
    const std::array<std::pair<UpdateFault, std::string>, 4> updateFaults = {{
        {UpdateFault::None, ""},
        {UpdateFault::Lost, ", update lost"},
        {UpdateFault::Doubled, ", update doubled"},
        {UpdateFault::Delayed, ", update delayed"},
    }};
    for (int tick = 0; tick <= lastResendTick; ++tick) {
        for (const std::size_t entry : {0U, 1U, 2U}) {
            for (const auto &[updateFault, name] : updateFaults) {
                std::vector<CrashFaults> faults;
                const int last = updateFault == UpdateFault::None ? firstUpdateTick + 1 : lastUpdateTick;
                for (int updateTick = firstUpdateTick; updateTick <= last; ++updateTick) {
                    faults.push_back({.resendAt = tick,
                                      .resendTo = entry,
                                      .resendRunTicks = 14,
                                      .update = updateFault,
                                      .updateAt = updateTick,
                                      .isReversed = (tick + updateTick) % 2 == 1});
                }
                const bool isLate = updateFault == UpdateFault::Lost || updateFault == UpdateFault::Delayed;
                addWorldCells(cells, "crash, tick " + std::to_string(tick),
                              "resend to entry " + std::to_string(entry) + name, faults,
                              {{"5.7 at most two servers lost", losesAtMostTwo, lossProtections(tick, entry, isLate)},
                               {"5.7 others are served", servesOthers, serviceProtections(tick, entry)},
                               {"C5 true refusals", tellsTheTruth, {"quarantine-execution-state"}}});
            }
        }
        const CrashFaults alone{.resendAt = tick, .resendRunTicks = 14, .isAlone = true};
        std::vector<std::string> service = {"team-in-fingerprint"};
        std::vector<std::string> losses = {"crash-quarantine"};
        // Two copies are in flight when the first server is lost only if the resend came before.
        if (tick < firstLossTick) {
            losses.emplace_back("suspect-single-copy");
        } else {
            service.emplace_back("suspect-isolation");
        }
        addWorldCells(cells, "crash, tick " + std::to_string(tick), "resend while the entries are cut off", {alone},
                      {{"5.7 at most two servers lost", losesAtMostTwo, losses},
                       {"5.7 others are served", servesOthers, service}});
        for (const std::size_t server : {0U, 1U, 2U, 4U}) {
            const CrashFaults lost{.loseServerAt = tick, .lostServer = server};
            addWorldCells(cells, "crash, tick " + std::to_string(tick), "server " + std::to_string(server) + " lost",
                          {lost},
                          {{"5.7 at most two servers lost", losesAtMostTwo, {"crash-quarantine"}},
                           {"5.7 others are served", servesOthersWithoutOwnLosses, {"team-in-fingerprint"}},
                           {"C5 true refusals", tellsTheTruth, {"quarantine-execution-state"}}});
        }
    }
}

/** One entry's views with three servers in two data centres; server "s0" is home and cache holder of all requests. */
struct ViewWorld
{
    explicit ViewWorld(const DisabledMechanisms &disabled)
        : view(viewOptions(disabled))
    {
        for (const std::size_t i : {0U, 1U, 2U}) {
            const auto number = std::to_string(i);
            const DataCentreId dataCentre(i == 0 ? "near" : "far");
            catalogue.dataCentres[dataCentre];
            catalogue.servers[ServerId("s" + number)] = {
                .dataCentre = dataCentre, .host = HostId("h" + number), .models = {ModelId("m")}};
        }
        catalogue.teams[TeamId("t")];
        view.applyCatalogue(catalogue);
        for (const std::size_t i : {0U, 1U, 2U}) {
            view.onLinkUp(ServerId("s" + std::to_string(i)), Incarnation(10 + i));
            view.onReport(ServerId("s" + std::to_string(i)), Incarnation(10 + i), idle, now);
        }
        view.setHomeServers(TeamId("t"), {server});
        cache.onDispatched(*view.findServer(server), prefixes);
    }

    static ServerView::Options viewOptions(const DisabledMechanisms &disabled)
    {
        ServerView::Options options;
        if (disabled.contains("drain-filter")) {
            options.isExcludedByDrain = [](const ServerState &) { return false; };
        }
        if (disabled.contains("leaving-filter")) {
            options.isExcludedByLeaving = [](const ServerState &) { return false; };
        }
        if (disabled.contains("view-incarnation")) {
            options.isCurrent = [](Incarnation, Incarnation) { return true; };
        }
        return options;
    }

    /** Whether any of many requests would be sent to the server. */
    bool getsNewWork()
    {
        ServerChooser chooser(view, cache);
        SpillPolicy spill(view);
        const auto target = *view.findTarget(WorkKind::Model, "m");
        const auto near = *view.findDataCentre(DataCentreId("near"));
        for (int i = 0; i < 50; ++i) {
            const auto dataCentre = spill.choose(target, near, 0, now, random);
            const auto chosen = chooser.choose(
                {.team = TeamId("t"), .target = "m", .prefixes = prefixes, .dataCentre = dataCentre.value_or(near)},
                now, random);
            if (chosen && view.server(*chosen).id == server) {
                return true;
            }
        }
        return false;
    }

    const ServerId server{"s0"};
    const LoadReport idle{.limit = 10, .warmFraction = 1};
    const std::vector<std::uint64_t> prefixes = {1, 2};
    TimePoint now{std::chrono::hours(1)};
    Catalogue catalogue;
    ServerView view;
    PrefixCacheView cache;
    RandomSource random{1};
};

struct ViewInput
{
    std::string name;
    std::function<void(ViewWorld &)> apply;
};

/** Inputs that can precede or follow a drain or a leaving mark. */
std::vector<ViewInput> viewInputs(Incarnation incarnation)
{
    return {
        {"report", [=](ViewWorld &w) { w.view.onReport(w.server, incarnation, w.idle, w.now); }},
        {"heartbeat", [=](ViewWorld &w) { w.view.onHeartbeat(w.server, incarnation, false); }},
        {"dispatch", [=](ViewWorld &w) { w.view.onDispatched(w.server, incarnation); }},
        {"finish", [=](ViewWorld &w) { w.view.onFinished(w.server, incarnation); }},
        {"budget",
         [=](ViewWorld &w) {
             w.view.onTeamBudget(w.server, incarnation, {TeamId("t"), 4});
         }},
        {"reconnect",
         [=](ViewWorld &w) {
             w.view.onLinkDown(w.server, incarnation);
             w.view.onLinkUp(w.server, incarnation);
         }},
        {"catalogue update", [](ViewWorld &w) { w.view.applyCatalogue(w.catalogue); }},
        {"homes update", [](ViewWorld &w) { w.view.setHomeServers(TeamId("t"), {w.server}); }},
        {"cache event",
         [](ViewWorld &w) {
             w.cache.onReport(*w.view.findServer(w.server), {.cacheSequence = 2, .cachedPrefixes = w.prefixes});
         }},
    };
}

CellResult expectNoNewWork(ViewWorld &world)
{
    return world.getsNewWork() ? CellResult{.detail = "new work was sent"} : CellResult{.hasPassed = true};
}

/** The mark that ends new work arrives after each input, and each input again after the mark. */
void addMarkCells(FaultCells &cells, const std::string &invariant, const std::string &protection,
                  const std::vector<ViewInput> &marks, const std::vector<ViewInput> &inputs)
{
    for (const auto &mark : marks) {
        for (const auto &before : inputs) {
            for (const auto &after : inputs) {
                cells.push_back({.invariant = invariant,
                                 .step = "view, " + before.name + " before, " + after.name + " after",
                                 .fault = mark.name,
                                 .protectedBy = {protection},
                                 .run = [=](const DisabledMechanisms &disabled) {
                                     ViewWorld world(disabled);
                                     before.apply(world);
                                     mark.apply(world);
                                     after.apply(world);
                                     return expectNoNewWork(world);
                                 }});
            }
        }
    }
}

void addDrainCells(FaultCells &cells)
{
    const auto drain = [](DrainScope scope, const std::string &name) {
        return [=](ViewWorld &world) { world.view.applyDrains({{.id = DrainId("1"), .scope = scope, .name = name}}); };
    };
    auto inputs = viewInputs(Incarnation(10));
    inputs.push_back({"new incarnation", [](ViewWorld &w) { w.view.onLinkUp(w.server, Incarnation(20)); }});
    addMarkCells(cells, "C3 no work to a drained data centre", "drain-filter",
                 {{"data centre drained", drain(DrainScope::DataCentre, "near")}}, inputs);
    addMarkCells(
        cells, "C7 no work to a drained server", "drain-filter",
        {{"host drained", drain(DrainScope::Host, "h0")}, {"server drained", drain(DrainScope::BackendServer, "s0")}},
        inputs);
    const auto leavingReport = [](ViewWorld &w) {
        w.view.onReport(w.server, Incarnation(10), {.limit = 10, .warmFraction = 1, .leaving = true}, w.now);
    };
    addMarkCells(cells, "C7 no work to a leaving server", "leaving-filter",
                 {{"leaving heartbeat", [](ViewWorld &w) { w.view.onHeartbeat(w.server, Incarnation(10), true); }},
                  {"leaving report", leavingReport}},
                 viewInputs(Incarnation(10)));
}

/** State of the server and of the team's budget in a form that can be compared. */
std::string describe(const ViewWorld &world)
{
    const auto index = *world.view.findServer(world.server);
    const auto &server = world.view.server(index);
    const auto *team = world.view.findTeam(TeamId("t"));
    const auto budget = team == nullptr ? std::nullopt : team->freeOn(index);
    std::string text = server.isConnected ? "connected" : "cut off";
    for (const std::uint32_t value : {server.ownInFlight, server.reportedInFlight, server.queued, server.limit,
                                      server.isLeaving ? 1U : 0U, budget ? *budget + 1 : 0U}) {
        text += ' ' + std::to_string(value);
    }
    return text;
}

void addIncarnationCells(FaultCells &cells)
{
    const Incarnation old(10);
    const Incarnation fresh(20);
    const std::vector<ViewInput> stale = {
        {"report", [=](ViewWorld &w) { w.view.onReport(w.server, old, {.inFlight = 7, .limit = 9}, w.now); }},
        {"leaving", [=](ViewWorld &w) { w.view.onHeartbeat(w.server, old, true); }},
        {"dispatch", [=](ViewWorld &w) { w.view.onDispatched(w.server, old); }},
        {"finish", [=](ViewWorld &w) { w.view.onFinished(w.server, old); }},
        {"budget",
         [=](ViewWorld &w) {
             w.view.onTeamBudget(w.server, old, {TeamId("t"), 9});
         }},
        {"link down", [=](ViewWorld &w) { w.view.onLinkDown(w.server, old); }},
    };
    for (const auto &frame : stale) {
        for (const auto &point : viewInputs(fresh)) {
            cells.push_back({.invariant = "C4 frames of an old incarnation",
                             .step = "server returned, " + point.name,
                             .fault = "late " + frame.name,
                             .protectedBy = {"view-incarnation"},
                             .run = [=](const DisabledMechanisms &disabled) {
                                 ViewWorld expected(disabled);
                                 ViewWorld world(disabled);
                                 // What the old incarnation left behind must not show either.
                                 world.view.onDispatched(world.server, old);
                                 for (const auto &late : stale) {
                                     late.apply(world);
                                 }
                                 for (auto *each : {&expected, &world}) {
                                     each->view.onLinkUp(each->server, fresh);
                                     point.apply(*each);
                                     each->view.onDispatched(each->server, fresh);
                                 }
                                 frame.apply(world);
                                 const auto seen = describe(world);
                                 return CellResult{.hasPassed = seen == describe(expected), .detail = seen};
                             }});
        }
    }
}

/** Cache events of five reports with one fault in each place: the view must not trust what it may have missed. */
void addCacheCells(FaultCells &cells)
{
    enum class Fault { Lost, Doubled, Reordered };
    constexpr std::size_t reports = 5;
    const auto reportAt = [](std::size_t number) {
        // Each report adds its own prefix and evicts the one before.
        LoadReport report{.engineIncarnation = Incarnation(1), .cacheSequence = 2 * number};
        report.cachedPrefixes = {100 + number};
        report.evictedPrefixes = {99 + number};
        return report;
    };
    for (const auto &[fault, name, protection] :
         {std::tuple(Fault::Lost, "cache events lost", "cache-gap-trust"),
          std::tuple(Fault::Doubled, "cache events doubled", "cache-sequence"),
          std::tuple(Fault::Reordered, "cache events reordered", "cache-sequence")}) {
        for (std::size_t place = 1; place < reports; ++place) {
            cells.push_back(
                {.invariant = "5.7 cache view claims no more than it knows",
                 .step = "cache report " + std::to_string(place),
                 .fault = name,
                 .protectedBy = {protection},
                 .run = [=, kind = fault](const DisabledMechanisms &disabled) {
                     PrefixCacheView::Options options;
                     if (disabled.contains("cache-gap-trust")) {
                         options.trustAfterGap = 1;
                     }
                     if (disabled.contains("cache-sequence")) {
                         options.isNewer = [](std::uint64_t, std::uint64_t) { return true; };
                     }
                     PrefixCacheView view(options);
                     for (std::size_t i = 0; i <= reports; ++i) {
                         if (i != place || kind == Fault::Doubled) {
                             view.onReport(0, reportAt(i));
                         }
                         if (i == place + 1 && kind != Fault::Lost) {
                             view.onReport(0, reportAt(place));
                         }
                     }
                     const std::vector<std::uint64_t> evicted = {100 + place};
                     const bool isTrusted = kind == Fault::Lost ? view.trust(0) >= 1 : view.cachedShare(0, evicted) > 0;
                     return CellResult{.hasPassed = !isTrusted, .detail = "trusts a view with missing or old events"};
                 }});
        }
    }
}

} // namespace

void addRoutingFaultCells(FaultCells &cells)
{
    addResendCells(cells);
    addDrainCells(cells);
    addIncarnationCells(cells);
    addCacheCells(cells);
}

} // namespace hornbeamlane::testing
