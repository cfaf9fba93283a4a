#include "hornbeamlane_membership/drains/DrainSet.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hornbeamlane {

std::string_view toString(DrainScope scope)
{
    switch (scope) {
    case DrainScope::DataCentre:
        return "data-centre";
    case DrainScope::Host:
        return "host";
    case DrainScope::BackendServer:
        return "backend-server";
    }
    HORNBEAMLANE_ASSERT(false);
    return {};
}

std::optional<DrainScope> drainScopeFromString(std::string_view text)
{
    for (const auto scope : {DrainScope::DataCentre, DrainScope::Host, DrainScope::BackendServer}) {
        if (toString(scope) == text) {
            return scope;
        }
    }
    return std::nullopt;
}

void DrainSet::add(const DrainRecord &record)
{
    if (!removed_.contains(record.id)) {
        added_.emplace(record.id, record);
    }
}

void DrainSet::remove(const DrainId &id)
{
    removed_.insert(id);
    added_.erase(id);
}

bool DrainSet::merge(const DrainSet &other)
{
    if (contains(other)) {
        return false;
    }
    for (const auto &id : other.removed_) {
        remove(id);
    }
    for (const auto &[id, record] : other.added_) {
        add(record);
    }
    return true;
}

bool DrainSet::contains(const DrainSet &other) const
{
    return std::includes(removed_.begin(), removed_.end(), other.removed_.begin(), other.removed_.end())
        && std::all_of(other.added_.begin(), other.added_.end(), [this](const auto &item) {
               return added_.contains(item.first) || removed_.contains(item.first);
           });
}

bool DrainSet::isDrained(const DataCentreId &dataCentre, const HostId &host, const ServerId &server) const
{
    return std::any_of(added_.begin(), added_.end(), [&](const auto &item) {
        const auto &[id, record] = item;
        switch (record.scope) {
        case DrainScope::DataCentre:
            return record.name == dataCentre.name();
        case DrainScope::Host:
            return record.name == host.name();
        case DrainScope::BackendServer:
            return record.name == server.name();
        }
        return false;
    });
}

std::vector<DrainRecord> DrainSet::inForce() const
{
    std::vector<DrainRecord> records;
    for (const auto &[id, record] : added_) {
        records.push_back(record);
    }
    return records;
}

std::vector<DrainId> DrainSet::find(DrainScope scope, const std::string &name) const
{
    std::vector<DrainId> ids;
    for (const auto &[id, record] : added_) {
        if (record.scope == scope && record.name == name) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::uint64_t DrainSet::digest() const
{
    return added_.empty() && removed_.empty() ? 0 : hash64(toRowValue());
}

DrainUpdate DrainSet::toUpdate() const
{
    return {.added = inForce(), .removed = {removed_.begin(), removed_.end()}};
}

DrainSet DrainSet::fromUpdate(const DrainUpdate &update)
{
    DrainSet set;
    for (const auto &id : update.removed) {
        set.remove(id);
    }
    for (const auto &record : update.added) {
        // A record without id or name cannot be removed again or would match servers without a name.
        if (!record.id.isEmpty() && !record.name.empty()) {
            set.add(record);
        }
    }
    return set;
}

std::string DrainSet::toRowValue() const
{
    nlohmann::json value = {{"added", nlohmann::json::array()}, {"removed", nlohmann::json::array()}};
    for (const auto &[id, record] : added_) {
        value["added"].push_back({{"id", id.name()}, {"scope", toString(record.scope)}, {"name", record.name}});
    }
    for (const auto &id : removed_) {
        value["removed"].push_back(id.name());
    }
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<DrainSet> DrainSet::fromRowValue(std::string_view value)
{
    const auto json = nlohmann::json::parse(value, nullptr, false);
    if (!json.is_object() || !json.contains("added") || !json.contains("removed") || !json["added"].is_array()
        || !json["removed"].is_array()) {
        return std::nullopt;
    }
    DrainUpdate update;
    for (const auto &id : json["removed"]) {
        if (!id.is_string()) {
            return std::nullopt;
        }
        update.removed.emplace_back(id.get<std::string>());
    }
    for (const auto &record : json["added"]) {
        for (const char *field : {"id", "scope", "name"}) {
            if (!record.is_object() || !record.contains(field) || !record[field].is_string()) {
                return std::nullopt;
            }
        }
        const auto scope = drainScopeFromString(record["scope"].get<std::string>());
        if (!scope) {
            return std::nullopt;
        }
        update.added.push_back({.id = DrainId(record["id"].get<std::string>()),
                                .scope = *scope,
                                .name = record["name"].get<std::string>()});
    }
    return fromUpdate(update);
}

bool DrainSet::operator==(const DrainSet &other) const
{
    return contains(other) && other.contains(*this);
}

} // namespace hornbeamlane
