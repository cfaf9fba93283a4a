#include "measure/MeasureRouting.h"

#include "measure/AllocationCounter.h"
#include "measure/RoutingLoad.h"

#include <array>

namespace hornbeamlane::measure {

namespace {

struct PolicyRow
{
    std::string name;
    std::function<ServerChooser::Policy()> make;
};

const std::vector<PolicyRow> &policyRows()
{
    static const std::vector<PolicyRow> rows = {
        {"two_choices_locality", {}},
        {"random", choice_policies::random},
        {"round_robin", choice_policies::roundRobin},
        {"least_reported_load", choice_policies::leastReportedLoad},
        {"two_choices", choice_policies::twoChoices},
    };
    return rows;
}

double percentile(const std::vector<double> &sorted, double share)
{
    return sorted.empty() ? 0 : sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

Measurement measureChoices(const PolicyRow &row, double utilisation, std::uint64_t seed)
{
    RoutingLoad load({.seed = seed, .utilisation = utilisation, .policy = row.make});
    const auto result = load.run();
    const auto requests = static_cast<double>(result.requests);
    return {.measure = "server_choice_at_" + std::to_string(static_cast<int>(utilisation * 100)) + "_percent",
            .policy = row.name,
            .seed = seed,
            .figures = {{"on_time_share", static_cast<double>(result.onTime) / requests},
                        {"first_token_p50_ms", 1000 * percentile(result.firstTokens, 0.5)},
                        {"first_token_p99_ms", 1000 * percentile(result.firstTokens, 0.99)},
                        {"cache_hit_share", result.cachedBlocks / result.blocks},
                        {"imbalance_max_over_mean", result.imbalance},
                        {"refused_share", static_cast<double>(result.refused) / requests}}};
}

/** Views of an entry with so many servers and teams, filled as in service. */
struct FilledViews
{
    FilledViews(int servers, int teams)
    {
        Catalogue catalogue;
        for (int i = 0; i < servers; ++i) {
            catalogue.servers[ServerId("server" + std::to_string(i))] = {
                .dataCentre = DataCentreId("dc" + std::to_string(i % 13)),
                .host = HostId("host" + std::to_string(i)),
                .models = {ModelId("model")}};
        }
        view.applyCatalogue(catalogue);
        for (const auto &[id, entry] : catalogue.servers) {
            view.onLinkUp(id, Incarnation(1));
            view.onReport(id, Incarnation(1), {.inFlight = 3, .limit = 16, .warmFraction = 1}, now);
        }
        for (int i = 0; i < teams; ++i) {
            const TeamId team("team" + std::to_string(i));
            std::vector<ServerId> homes;
            for (int k = 0; k < 3; ++k) {
                homes.emplace_back("server" + std::to_string((i * 7 + k * 11) % servers));
                view.onTeamBudget(homes.back(), Incarnation(1), {team, 4});
            }
            view.setHomeServers(team, homes);
        }
    }

    TimePoint now{std::chrono::hours(1)};
    ServerView view;
};

Measurement measureCost(int servers, std::uint64_t seed, double *nanoseconds)
{
    constexpr int choices = 20000;
    constexpr int teams = 1000;
    FilledViews views(servers, teams);
    PrefixCacheView cache;
    ServerChooser chooser(views.view, cache);
    SpillPolicy spill(views.view);
    RandomSource random(seed);
    std::vector<TeamId> teamIds;
    teamIds.reserve(teams);
    for (int i = 0; i < teams; ++i) {
        teamIds.emplace_back("team" + std::to_string(i));
    }
    std::vector<std::uint64_t> prefixes(14);
    for (auto &prefix : prefixes) {
        prefix = random.next();
    }
    cache.onDispatched(0, prefixes);
    const auto target = *views.view.findTarget(WorkKind::Model, "model");
    std::uint64_t examined = 0;
    std::uint64_t allocations = 0;
    Duration spent{};
    // The first choices fill buffers that are kept.
    for (int i = -100; i < choices; ++i) {
        RoutingRequest request{
            .team = teamIds[random.below(teams)], .target = "model", .prefixes = prefixes, .dataCentre = 0};
        const auto before = allocationCounts().allocations;
        const auto start = Clock::now();
        const auto dataCentre = spill.choose(target, 0, 0, views.now, random);
        request.dataCentre = dataCentre.value_or(0);
        chooser.choose(request, views.now, random);
        if (i >= 0) {
            spent += Clock::now() - start;
            allocations += allocationCounts().allocations - before;
            examined += chooser.lastExamined();
        }
    }
    *nanoseconds = static_cast<double>(std::chrono::duration_cast<std::chrono::nanoseconds>(spent).count()) / choices;
    return {.measure = "server_choice_cost",
            .policy = std::to_string(servers) + "_servers",
            .seed = seed,
            .figures = {{"ns_per_choice", *nanoseconds},
                        {"allocations_per_choice", static_cast<double>(allocations) / choices},
                        {"examined_per_choice", static_cast<double>(examined) / choices}},
            .isCost = true};
}

/** Bytes of the view for each further server and each further team. */
Measurement measureMemory(std::uint64_t seed)
{
    const auto bytesOf = [](int servers, int teams) {
        const auto before = allocationCounts().liveBytes;
        const FilledViews views(servers, teams);
        return static_cast<double>(allocationCounts().liveBytes - before);
    };
    const double base = bytesOf(200, 1000);
    return {.measure = "server_view_memory",
            .policy = "server_view",
            .seed = seed,
            .figures = {{"bytes_per_server", (bytesOf(1900, 1000) - base) / 1700},
                        {"bytes_per_team", (bytesOf(200, 9700) - base) / 8700},
                        {"bytes_at_target_size", bytesOf(1900, 9700)}},
            .isCost = true};
}

} // namespace

Measurements measureRouting(const Options &options)
{
    Measurements measurements;
    for (const auto seed : options.seeds) {
        for (const double utilisation : {0.6, 0.85}) {
            for (const auto &row : policyRows()) {
                measurements.push_back(measureChoices(row, utilisation, seed));
            }
        }
        std::array<double, 3> nanoseconds = {};
        measurements.push_back(measureCost(16, seed, &nanoseconds[0]));
        measurements.push_back(measureCost(200, seed, &nanoseconds[1]));
        measurements.push_back(measureCost(1900, seed, &nanoseconds[2]));
        measurements.push_back({.measure = "server_choice_cost",
                                .policy = "slope_200_to_1900",
                                .seed = seed,
                                .figures = {{"ns_per_further_server", (nanoseconds[2] - nanoseconds[1]) / 1700}},
                                .isCost = true});
        measurements.push_back(measureMemory(seed));
    }
    return measurements;
}

} // namespace hornbeamlane::measure
