#include "hornbeamlane_admission/teams/TeamLeaseRow.h"

#include <nlohmann/json.hpp>

namespace hornbeamlane {

std::uint64_t TeamLeaseRow::total() const
{
    std::uint64_t sum = 0;
    for (const auto &lease : leases) {
        sum += lease.amount;
    }
    return sum;
}

std::string TeamLeaseRow::toString() const
{
    auto list = nlohmann::json::array();
    for (const auto &lease : leases) {
        list.push_back({{"server", lease.server.name()},
                        {"agent", lease.agent.value()},
                        {"amount", lease.amount},
                        {"durationMilliseconds", lease.duration.count()},
                        {"sequence", lease.sequence}});
    }
    return nlohmann::json{{"leases", list}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<TeamLeaseRow> TeamLeaseRow::fromString(std::string_view text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    const auto list = json.is_object() ? json.find("leases") : json.end();
    if (!json.is_object() || list == json.end() || !list->is_array()) {
        return std::nullopt;
    }
    TeamLeaseRow row;
    for (const auto &entry : *list) {
        const auto isNumber = [&entry](const char *name) {
            const auto field = entry.find(name);
            return field != entry.end() && field->is_number_unsigned();
        };
        if (!entry.is_object() || !entry.contains("server") || !entry["server"].is_string() || !isNumber("agent")
            || !isNumber("amount") || !isNumber("durationMilliseconds") || !isNumber("sequence")) {
            return std::nullopt;
        }
        row.leases.push_back({
            .server = ServerId(entry["server"].get<std::string>()),
            .agent = Incarnation(entry["agent"].get<std::uint64_t>()),
            .amount = entry["amount"].get<std::uint32_t>(),
            .duration = std::chrono::milliseconds(entry["durationMilliseconds"].get<std::uint64_t>()),
            .sequence = entry["sequence"].get<std::uint64_t>(),
        });
    }
    return row;
}

std::string TeamLeaseRow::keyOf(const TeamId &team)
{
    return "limits/" + team.name();
}

} // namespace hornbeamlane
