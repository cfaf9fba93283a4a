#include "hornbeamlane_gateway/state/GroupProbe.h"

#include "hornbeamlane_observability/hornbeamlane_observability.h"

#include <algorithm>
#include <utility>

namespace hornbeamlane {

GroupProbe::GroupProbe(EventLoop &loop, RandomSource &random, BackendBook &servers, Options options, Hooks hooks)
    : loop_(loop)
    , random_(random)
    , servers_(servers)
    , options_(options)
    , hooks_(std::move(hooks))
{
}

void GroupProbe::sweep(TimePoint now)
{
    std::map<GroupId, TimePoint> askedAt;
    for (const auto &group : servers_.groupsBrokenSince(now - options_.after)) {
        const auto last = askedAt_.find(group);
        if (last != askedAt_.end() && now - last->second < options_.interval) {
            askedAt.insert(*last);
            continue;
        }
        askedAt[group] = now;
        const auto ranks = servers_.ranksOf(group, now);
        if (!ranks.empty()) {
            ask(*ranks[random_.below(ranks.size())]);
        }
    }
    askedAt_ = std::move(askedAt);
}

void GroupProbe::ask(const Backend &rank)
{
    hooks_.readReport(rankEndpointOf(rank.spec),
                      [this, id = rank.spec.id](const std::optional<EngineRankReport> &report) {
                          logEvent(LogLevel::Info, "group_asked",
                                   {{"server", id.name()},
                                    {"epoch", report ? std::to_string(report->epoch.value()) : "-"},
                                    {"open", report && report->isOpen ? "yes" : "no"}});
                          if (report && report->isOpen) {
                              take(id, *report);
                          }
                      });
}

void GroupProbe::take(const ServerId &rank, const EngineRankReport &report)
{
    if (servers_.onGroupOpen(rank, report.epoch.value(), loop_.now())) {
        hooks_.hasFormed(rank);
    }
}

} // namespace hornbeamlane
