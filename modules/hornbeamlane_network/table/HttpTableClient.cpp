#include "hornbeamlane_network/table/HttpTableClient.h"

#include "hornbeamlane_network/http/HttpCall.h"

#include <nlohmann/json.hpp>

namespace hornbeamlane {

namespace {

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusPreconditionFailed = 412;

std::string rowTarget(const std::string &key)
{
    return "/v1/rows/" + percentEncode(key);
}

/** Status of a call that ended without a usable answer. */
TableStatus statusOfFailure(HttpCallEnd end, int httpStatus)
{
    if (end == HttpCallEnd::ConnectFailed) {
        return TableStatus::Unavailable;
    }
    if (end != HttpCallEnd::Complete) {
        return TableStatus::NoReply;
    }
    switch (httpStatus) {
    case statusNotFound:
        return TableStatus::NotFound;
    case statusPreconditionFailed:
        return TableStatus::Conflict;
    case 503:
        return TableStatus::Unavailable;
    default:
        // Any other answer, for instance of a gateway, says nothing about whether the write took effect.
        return TableStatus::NoReply;
    }
}

std::optional<TableRow> rowOf(const nlohmann::json &json)
{
    if (!json.is_object() || !json.contains("version") || !json["version"].is_number_unsigned()) {
        return std::nullopt;
    }
    TableRow row;
    row.version = RowVersion(json["version"].get<std::uint64_t>());
    if (json.contains("key") && json["key"].is_string()) {
        row.key = json["key"].get<std::string>();
    }
    if (json.contains("value") && json["value"].is_string()) {
        row.value = json["value"].get<std::string>();
    }
    return row;
}

TableReply replyOf(HttpCallEnd end, const HttpResponse &response, const std::string &key)
{
    if (end != HttpCallEnd::Complete || response.status != statusOk) {
        return TableReply{.status = statusOfFailure(end, response.status)};
    }
    auto row = rowOf(nlohmann::json::parse(response.body, nullptr, false));
    if (!row) {
        return TableReply{.status = TableStatus::NoReply};
    }
    row->key = key;
    return TableReply{.status = TableStatus::Ok, .row = std::move(row)};
}

} // namespace

HttpTableClient::HttpTableClient(EventLoop &loop, Options options)
    : loop_(loop)
    , options_(std::move(options))
{
}

void HttpTableClient::read(const std::string &key, ReplyHandler handler)
{
    sendHttpRequest(loop_, {.address = options_.address, .target = rowTarget(key), .timeout = options_.timeout},
                    [key, handler = std::move(handler)](HttpCallEnd end, const HttpResponse &response) {
                        handler(replyOf(end, response, key));
                    });
}

void HttpTableClient::write(const TableWrite &write, ReplyHandler handler)
{
    sendHttpRequest(loop_,
                    {.address = options_.address,
                     .method = "PUT",
                     .target = rowTarget(write.key),
                     .headers = {{"If-Match", std::to_string(write.expectedVersion.value())}},
                     .body = write.value,
                     .timeout = options_.timeout},
                    [key = write.key, handler = std::move(handler)](HttpCallEnd end, const HttpResponse &response) {
                        handler(replyOf(end, response, key));
                    });
}

void HttpTableClient::remove(const std::string &key, RowVersion expectedVersion, ReplyHandler handler)
{
    sendHttpRequest(loop_,
                    {.address = options_.address,
                     .method = "DELETE",
                     .target = rowTarget(key),
                     .headers = {{"If-Match", std::to_string(expectedVersion.value())}},
                     .timeout = options_.timeout},
                    [key, handler = std::move(handler)](HttpCallEnd end, const HttpResponse &response) {
                        handler(replyOf(end, response, key));
                    });
}

void HttpTableClient::list(const std::string &prefix, ListHandler handler)
{
    sendHttpRequest(loop_,
                    {.address = options_.address,
                     .target = "/v1/rows?prefix=" + percentEncode(prefix),
                     .timeout = options_.timeout},
                    [handler = std::move(handler)](HttpCallEnd end, const HttpResponse &response) {
                        if (end != HttpCallEnd::Complete || response.status != statusOk) {
                            handler(statusOfFailure(end, response.status), {});
                            return;
                        }
                        const auto json = nlohmann::json::parse(response.body, nullptr, false);
                        if (!json.is_object() || !json.contains("rows") || !json["rows"].is_array()) {
                            handler(TableStatus::NoReply, {});
                            return;
                        }
                        std::vector<TableRow> rows;
                        for (const auto &element : json["rows"]) {
                            if (auto row = rowOf(element)) {
                                rows.push_back(std::move(*row));
                            }
                        }
                        handler(TableStatus::Ok, rows);
                    });
}

} // namespace hornbeamlane
