#include "ctl/ResultJson.h"

#include <string>

namespace hornbeamlane::ctl {

Json drainsToJson(const std::vector<DrainRecord> &drains)
{
    Json array = Json::array();
    for (const auto &drain : drains) {
        array.push_back({{"id", drain.id.name()}, {"scope", toString(drain.scope)}, {"name", drain.name}});
    }
    return array;
}

Json keysToJson(const std::vector<CatalogueEntryKey> &keys)
{
    Json array = Json::array();
    for (const auto &key : keys) {
        array.push_back({{"kind", key.kind}, {"name", key.name}});
    }
    return array;
}

Json findingsToJson(const std::vector<CatalogueFinding> &findings)
{
    Json array = Json::array();
    for (const auto &finding : findings) {
        array.push_back({{"code", toString(finding.kind)},
                         {"kind", finding.entry.kind},
                         {"name", finding.entry.name},
                         {"path", finding.path.empty() ? "/" : finding.path},
                         {"finding", finding.text}});
    }
    return array;
}

Json reportToJson(const StatusReport &report)
{
    Json dataCentres = Json::array();
    for (const auto &[id, dataCentre] : report.dataCentres) {
        Json versions = Json::array();
        for (const auto &[version, count] : dataCentre.versions) {
            versions.push_back(std::to_string(version.value()) + " in " + std::to_string(count));
        }
        dataCentres.push_back({{"dataCentre", id.name()},
                               {"versions", versions},
                               {"confirmed", dataCentre.confirmed},
                               {"missing", dataCentre.missing}});
    }
    return {{"newest", report.newest.value()},
            {"confirmedEverywhere", report.isConfirmedEverywhere()},
            {"dataCentres", dataCentres},
            {"drains", drainsToJson(report.drains)}};
}

} // namespace hornbeamlane::ctl
