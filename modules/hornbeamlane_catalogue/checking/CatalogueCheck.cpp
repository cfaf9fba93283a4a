#include "hornbeamlane_catalogue/checking/CatalogueCheck.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <tuple>
#include <utility>

namespace hornbeamlane {

namespace {

/** Collects findings of one kind. */
class Findings final
{
public:
    Findings(std::vector<CatalogueFinding> &all, CatalogueFindingKind kind)
        : all_(all)
        , kind_(kind)
    {
    }

    void add(const std::string &entryKind, const std::string &name, std::string path, std::string text)
    {
        all_.push_back({.kind = kind_,
                        .entry = {.kind = entryKind, .name = name},
                        .path = std::move(path),
                        .text = std::move(text)});
    }

private:
    std::vector<CatalogueFinding> &all_;
    CatalogueFindingKind kind_;
};

/** What the entries of a catalogue refer to. */
struct References
{
    std::set<ModelId> servedModels;
    std::set<ServiceId> servedServices;
    std::set<ModelId> calledModels;
    std::set<ServiceId> calledServices;
    std::set<DataCentreId> dataCentres;
};

References referencesOf(const Catalogue &catalogue)
{
    References references;
    for (const auto &[id, server] : catalogue.servers) {
        references.servedModels.insert(server.models.begin(), server.models.end());
        references.servedServices.insert(server.services.begin(), server.services.end());
        references.dataCentres.insert(server.dataCentre);
    }
    for (const auto &[id, team] : catalogue.teams) {
        references.calledModels.insert(team.models.begin(), team.models.end());
        references.calledServices.insert(team.services.begin(), team.services.end());
    }
    return references;
}

void checkUse(const std::string &kind, const std::string &name, bool isServed, bool isCalled, Findings &findings)
{
    if (!isServed) {
        findings.add(kind, name, "", "no backend server offers it");
    }
    if (!isCalled) {
        findings.add(kind, name, "", "no team may call it");
    }
}

/** The first rule that matches applies, so one behind a rule for the same method and a shorter prefix never does. */
void checkCallRules(const ServiceEntry &service, Findings &findings)
{
    const auto &rules = service.calls;
    for (std::size_t later = 1; later < rules.size(); ++later) {
        const auto end = rules.begin() + static_cast<std::ptrdiff_t>(later);
        const auto earlier = std::find_if(rules.begin(), end, [&](const CallRule &rule) {
            return rule.method == rules[later].method && rules[later].pathPrefix.starts_with(rule.pathPrefix);
        });
        if (earlier != end) {
            findings.add("service", service.header.name, "/calls/" + std::to_string(later),
                         "the rule for " + earlier->method + " " + earlier->pathPrefix + " before it matches first");
        }
    }
}

void checkReachability(const Catalogue &catalogue, Findings &findings)
{
    const auto references = referencesOf(catalogue);
    for (const auto &[id, model] : catalogue.models) {
        checkUse("model", id.name(), references.servedModels.contains(id), references.calledModels.contains(id),
                 findings);
    }
    for (const auto &[id, service] : catalogue.services) {
        checkUse("service", id.name(), references.servedServices.contains(id), references.calledServices.contains(id),
                 findings);
        checkCallRules(service, findings);
    }
    for (const auto &[id, team] : catalogue.teams) {
        if (team.models.empty() && team.services.empty()) {
            findings.add("team", id.name(), "", "it may call no model and no service");
        }
    }
    for (const auto &[id, dataCentre] : catalogue.dataCentres) {
        if (!references.dataCentres.contains(id)) {
            findings.add("dataCentre", id.name(), "", "no backend server is in it");
        }
    }
}

/** Requests that the servers of a data centre bear at once. */
std::uint64_t concurrencyIn(const Catalogue &catalogue, const DataCentreId &dataCentre)
{
    return std::accumulate(catalogue.servers.begin(), catalogue.servers.end(), std::uint64_t{0},
                           [&dataCentre](std::uint64_t sum, const auto &item) {
                               const auto &server = item.second;
                               return server.dataCentre == dataCentre
                                   ? sum + server.header.limits.concurrency.value_or(0)
                                   : sum;
                           });
}

void checkFloors(const Catalogue &catalogue, Findings &findings)
{
    for (const auto &[dataCentre, entry] : catalogue.dataCentres) {
        std::uint64_t floors = 0;
        for (const auto &[id, team] : catalogue.teams) {
            const auto floor = team.floors.find(dataCentre);
            floors += floor == team.floors.end() ? 0 : floor->second;
        }
        const auto bearable = concurrencyIn(catalogue, dataCentre);
        if (floors > bearable) {
            findings.add("dataCentre", dataCentre.name(), "",
                         "the floors of the teams sum to " + std::to_string(floors) + ", its servers bear "
                             + std::to_string(bearable));
        }
    }
}

void checkClassTargets(const Catalogue &catalogue, Findings &findings)
{
    for (const auto &[id, entry] : catalogue.classes) {
        if (entry.firstTokenTarget >= entry.deadline) {
            findings.add("class", id.name(), "/firstTokenTargetMilliseconds",
                         "the deadline of " + std::to_string(entry.deadline.count())
                             + " ms ends before the target is missed");
        }
    }
}

void checkTeamLimits(const Catalogue &catalogue, Findings &findings)
{
    for (const auto &[id, team] : catalogue.teams) {
        const auto &limits = team.header.limits;
        const bool isShutOut = limits.requestsPerSecond == 0U || limits.concurrency == 0U;
        if (isShutOut && (!team.models.empty() || !team.services.empty())) {
            findings.add("team", id.name(), "/limits", "a limit of 0 refuses all that the team may call");
        }
        if (limits.tokensPerSecond && team.models.empty()) {
            findings.add("team", id.name(), "/limits/tokensPerSecond", "the team may call no model");
        }
    }
}

} // namespace

std::string_view toString(CatalogueFindingKind kind)
{
    switch (kind) {
    case CatalogueFindingKind::NeverMatches:
        return "never-matches";
    case CatalogueFindingKind::ContradictingLimits:
        return "contradicting-limits";
    }
    return "";
}

std::vector<CatalogueFinding> checkCatalogue(const Catalogue &catalogue)
{
    std::vector<CatalogueFinding> all;
    Findings unmatched(all, CatalogueFindingKind::NeverMatches);
    checkReachability(catalogue, unmatched);
    Findings contradictions(all, CatalogueFindingKind::ContradictingLimits);
    checkFloors(catalogue, contradictions);
    checkClassTargets(catalogue, contradictions);
    checkTeamLimits(catalogue, contradictions);
    std::stable_sort(all.begin(), all.end(), [](const CatalogueFinding &a, const CatalogueFinding &b) {
        return std::tie(a.kind, a.entry) < std::tie(b.kind, b.entry);
    });
    return all;
}

} // namespace hornbeamlane
