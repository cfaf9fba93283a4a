#include "ctl/PlatformClient.h"

#include <nlohmann/json.hpp>

namespace hornbeamlane::ctl {

namespace {

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusPreconditionFailed = 412;
constexpr int statusUnavailable = 503;

std::string rowTarget(const std::string &key)
{
    return "/v1/rows/" + percentEncode(key);
}

std::string text(const nlohmann::json &object, const char *field)
{
    return object.is_object() && object.contains(field) && object[field].is_string() ? object[field].get<std::string>()
                                                                                     : std::string();
}

std::optional<TableRow> rowOf(const nlohmann::json &json)
{
    if (!json.is_object() || !json.contains("version") || !json["version"].is_number_unsigned()) {
        return std::nullopt;
    }
    return TableRow{.key = text(json, "key"),
                    .version = RowVersion(json["version"].get<std::uint64_t>()),
                    .value = text(json, "value")};
}

/** Array field of a successful response; empty if the response has another form. */
std::optional<nlohmann::json> arrayOf(const std::optional<HttpResponse> &response, const char *field)
{
    if (!response || response->status != statusOk) {
        return std::nullopt;
    }
    auto json = nlohmann::json::parse(response->body, nullptr, false);
    if (!json.is_object() || !json.contains(field) || !json[field].is_array()) {
        return std::nullopt;
    }
    return json[field];
}

} // namespace

PlatformClient::PlatformClient(std::string address, std::chrono::milliseconds timeout)
    : client_(std::move(address), timeout)
{
}

TableReply PlatformClient::failure() const
{
    const bool isUnsent = client_.lastFailure() != HttpFailure::NoReply;
    return {.status = isUnsent ? TableStatus::Unavailable : TableStatus::NoReply};
}

TableReply PlatformClient::perform(const TableStep &step)
{
    if (const auto *readStep = std::get_if<ReadRow>(&step)) {
        return read(readStep->key);
    }
    return write(std::get<WriteRow>(step).write);
}

TableReply PlatformClient::read(const std::string &key)
{
    const auto response = client_.perform({.target = rowTarget(key)});
    if (!response) {
        return failure();
    }
    if (response->status == statusNotFound) {
        return {.status = TableStatus::NotFound};
    }
    auto row = rowOf(nlohmann::json::parse(response->body, nullptr, false));
    if (response->status != statusOk || !row) {
        return {.status = TableStatus::Unavailable};
    }
    row->key = key;
    return {.status = TableStatus::Ok, .row = std::move(row)};
}

TableReply PlatformClient::write(const TableWrite &write)
{
    const auto response = client_.perform({.method = HttpMethod::Put,
                                           .target = rowTarget(write.key),
                                           .headers = {{"If-Match", std::to_string(write.expectedVersion.value())}},
                                           .body = write.value});
    if (!response) {
        return failure();
    }
    if (response->status == statusPreconditionFailed) {
        return {.status = TableStatus::Conflict};
    }
    if (response->status == statusUnavailable) {
        return {.status = TableStatus::Unavailable};
    }
    auto row = rowOf(nlohmann::json::parse(response->body, nullptr, false));
    // Any other answer leaves open whether the row was written.
    if (response->status != statusOk || !row) {
        return {.status = TableStatus::NoReply};
    }
    row->key = write.key;
    return {.status = TableStatus::Ok, .row = std::move(row)};
}

std::optional<std::vector<TableRow>> PlatformClient::list(const std::string &prefix)
{
    const auto array = arrayOf(client_.perform({.target = "/v1/rows?prefix=" + percentEncode(prefix)}), "rows");
    if (!array) {
        return std::nullopt;
    }
    std::vector<TableRow> rows;
    for (const auto &item : *array) {
        if (auto row = rowOf(item)) {
            rows.push_back(std::move(*row));
        }
    }
    return rows;
}

std::optional<std::vector<HostRecord>> PlatformClient::hosts()
{
    const auto array = arrayOf(client_.perform({.target = "/v1/hosts"}), "hosts");
    if (!array) {
        return std::nullopt;
    }
    std::vector<HostRecord> hosts;
    for (const auto &item : *array) {
        hosts.push_back({.name = HostId(text(item, "name")),
                         .dataCentre = DataCentreId(text(item, "dataCentre")),
                         .address = text(item, "address"),
                         .role = text(item, "role") == "entry" ? HostRole::Entry : HostRole::Backend,
                         .state = text(item, "state") == "leaving" ? HostState::Leaving : HostState::Live});
    }
    return hosts;
}

} // namespace hornbeamlane::ctl
