#include "hornbeamlane_catalogue/comparison/CatalogueDiff.h"

#include <nlohmann/json.hpp>

#include <map>
#include <set>

namespace hornbeamlane {

namespace {

using Entries = std::map<CatalogueEntryKey, nlohmann::json>;

std::optional<Entries> entriesOf(std::string_view document)
{
    const auto json = nlohmann::json::parse(document, nullptr, false);
    if (!json.is_object() || !json.contains("entries") || !json["entries"].is_array()) {
        return std::nullopt;
    }
    Entries entries;
    for (const auto &entry : json["entries"]) {
        if (!entry.is_object() || !entry.contains("kind") || !entry.contains("name") || !entry["kind"].is_string()
            || !entry["name"].is_string()) {
            return std::nullopt;
        }
        entries[{.kind = entry["kind"].get<std::string>(), .name = entry["name"].get<std::string>()}] = entry;
    }
    return entries;
}

} // namespace

std::string CatalogueEntryKey::toString() const
{
    return kind + " " + name;
}

bool CatalogueDiff::isEmpty() const
{
    return added.empty() && removed.empty() && changed.empty();
}

std::optional<CatalogueDiff> diffCatalogues(std::string_view before, std::string_view after)
{
    const auto old = entriesOf(before);
    const auto now = entriesOf(after);
    if (!old || !now) {
        return std::nullopt;
    }
    CatalogueDiff diff;
    for (const auto &[key, entry] : *now) {
        const auto match = old->find(key);
        if (match == old->end()) {
            diff.added.push_back(key);
        } else if (match->second != entry) {
            std::set<std::string> paths;
            for (const auto &operation : nlohmann::json::diff(match->second, entry)) {
                paths.insert(operation["path"].get<std::string>());
            }
            diff.changed.push_back({.key = key, .paths = {paths.begin(), paths.end()}});
        }
    }
    for (const auto &[key, entry] : *old) {
        if (!now->contains(key)) {
            diff.removed.push_back(key);
        }
    }
    return diff;
}

} // namespace hornbeamlane
