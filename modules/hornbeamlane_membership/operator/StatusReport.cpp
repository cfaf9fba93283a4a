#include "hornbeamlane_membership/operator/StatusReport.h"

#include <algorithm>

namespace hornbeamlane {

bool StatusReport::isConfirmedEverywhere() const
{
    return std::all_of(dataCentres.begin(), dataCentres.end(),
                       [](const auto &item) { return item.second.missing.empty(); });
}

StatusReport makeStatusReport(const StatusSources &sources)
{
    std::map<DataCentreId, std::set<std::string>> expected;
    for (const auto &[id, dataCentre] : sources.catalogue.dataCentres) {
        expected[id];
    }
    for (const auto &host : sources.hosts) {
        if (host.role == HostRole::Entry && host.state == HostState::Live) {
            expected[host.dataCentre].insert(host.name.name());
        }
    }
    for (const auto &[id, server] : sources.catalogue.servers) {
        expected[server.dataCentre].insert(id.name());
    }
    StatusReport report{.newest = sources.newest, .drains = sources.drains.inForce()};
    for (const auto &[dataCentre, processes] : expected) {
        auto &item = report.dataCentres[dataCentre];
        const auto confirmations = sources.confirmations.find(dataCentre);
        for (const auto &process : processes) {
            CatalogueVersion version;
            if (confirmations != sources.confirmations.end() && confirmations->second.contains(process)) {
                version = confirmations->second.at(process);
            }
            ++item.versions[version];
            (version >= sources.newest ? item.confirmed : item.missing).push_back(process);
        }
    }
    return report;
}

} // namespace hornbeamlane
