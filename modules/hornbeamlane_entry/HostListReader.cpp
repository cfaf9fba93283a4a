#include "hornbeamlane_entry/HostListReader.h"

#include <nlohmann/json.hpp>

namespace hornbeamlane {

std::optional<std::vector<HostRecord>> readHostList(std::string_view text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("hosts") || !json["hosts"].is_array()) {
        return std::nullopt;
    }
    std::vector<HostRecord> hosts;
    for (const auto &element : json["hosts"]) {
        const auto hasText = [&element](const char *name) {
            return element.contains(name) && element[name].is_string();
        };
        if (!element.is_object() || !hasText("name") || !hasText("dataCentre") || !hasText("address")) {
            continue;
        }
        const bool isBackend = element.value("role", "entry") == "backend";
        const bool isLeaving = element.value("state", "live") == "leaving";
        hosts.push_back({.name = HostId(element["name"].get<std::string>()),
                         .dataCentre = DataCentreId(element["dataCentre"].get<std::string>()),
                         .address = element["address"].get<std::string>(),
                         .role = isBackend ? HostRole::Backend : HostRole::Entry,
                         .state = isLeaving ? HostState::Leaving : HostState::Live});
    }
    return hosts;
}

} // namespace hornbeamlane
