#include "hornbeamlane_daemon/settings/SettingsFile.h"

#include "hornbeamlane_catalogue/reading/ObjectReader.h"

#include <fstream>
#include <sstream>

namespace hornbeamlane {

namespace {

std::optional<nlohmann::json> readJsonFile(const std::string &path, DocumentFaults &faults)
{
    if (path.empty()) {
        return nlohmann::json::object();
    }
    const auto text = readWholeFile(path);
    if (!text) {
        faults.push_back({DocumentFaultKind::NotJson, "", "cannot read the file " + path});
        return std::nullopt;
    }
    auto json = nlohmann::json::parse(*text, nullptr, false);
    if (json.is_discarded()) {
        faults.push_back({DocumentFaultKind::NotJson, "", path + " is not valid JSON"});
        return std::nullopt;
    }
    return json;
}

} // namespace

std::optional<std::string> readWholeFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::optional<std::string> readSettingsFile(const std::string &path, const SettingsOverrides &overrides,
                                            const std::function<void(detail::ObjectReader &)> &visitor,
                                            DocumentFaults &faults)
{
    auto json = readJsonFile(path, faults);
    if (!json) {
        return std::nullopt;
    }
    for (const auto &[name, value] : overrides) {
        if (!value.empty() && json->is_object()) {
            (*json)[name] = value;
        }
    }
    detail::ObjectReader reader(*json, "", faults);
    visitor(reader);
    reader.finish();
    if (!faults.empty()) {
        return std::nullopt;
    }
    return json->dump(2);
}

} // namespace hornbeamlane
