#include "standins/PlatformStandIn.h"

#include "standins/StandInSupport.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace hornbeamlane::testing {

namespace {

using nlohmann::json;

constexpr std::string_view rowPrefix = "/v1/rows/";
constexpr std::string_view objectPrefix = "/v1/objects/";
constexpr std::uint64_t weightBytesPerSecond = 200'000'000;

} // namespace

PlatformStandIn::PlatformStandIn(EventLoop &loop, RandomSource &random)
    : loop_(loop)
    , server_(loop, {}, [this](const Exchange &exchange) { handle(exchange); })
    // Versions start at a random number, so that nothing comes to rely on small ones.
    , lastVersion_(1000 + random.below(1000))
{
}

bool PlatformStandIn::listen(const std::string &address, std::uint16_t port)
{
    return server_.listen(address, port);
}

std::uint16_t PlatformStandIn::port() const
{
    return server_.port();
}

void PlatformStandIn::handle(const Exchange &exchange)
{
    if (exchange->request().path == "/faults") {
        handleFaults(exchange);
        return;
    }
    if (isDown_) {
        replyText(exchange, 503, "down");
        return;
    }
    if (slowBy_ > Duration::zero()) {
        runLater(loop_, timers_, slowBy_, [this, exchange] { serve(exchange); });
        return;
    }
    serve(exchange);
}

void PlatformStandIn::serve(const Exchange &exchange)
{
    const auto &request = exchange->request();
    if (request.path == "/v1/rows") {
        listRows(exchange, queryField(request.query, "prefix").value_or(""));
    } else if (request.path.starts_with(rowPrefix)) {
        handleRow(exchange, request.path.substr(rowPrefix.size()));
    } else if (request.path.starts_with(objectPrefix)) {
        handleObject(exchange, request.path.substr(objectPrefix.size()));
    } else if (request.path == "/v1/weights") {
        handleWeights(exchange);
    } else if (request.path == "/v1/hosts") {
        handleHosts(exchange);
    } else {
        replyText(exchange, 404, "unknown path");
    }
}

void PlatformStandIn::handleFaults(const Exchange &exchange)
{
    const auto faults = json::parse(exchange->request().body, nullptr, false);
    if (!faults.is_object()) {
        replyText(exchange, 400, "not a JSON object");
        return;
    }
    isDown_ = faults.value("down", false);
    slowBy_ = std::chrono::milliseconds(faults.value("slowMilliseconds", 0));
    hostListLag_ = std::chrono::milliseconds(faults.value("hostListLagMilliseconds", 0));
    repliesToLose_ = faults.value("loseReplies", 0U);
    const bool isStale = faults.value("stale", false);
    if (isStale && !isStale_) {
        staleRows_ = rows_;
    }
    isStale_ = isStale;
    replyText(exchange, 200, "ok");
}

const std::map<std::string, PlatformStandIn::Row> &PlatformStandIn::readableRows() const
{
    return isStale_ ? staleRows_ : rows_;
}

void PlatformStandIn::handleRow(const Exchange &exchange, const std::string &key)
{
    if (exchange->request().method != "GET") {
        handleWrite(exchange, key);
        return;
    }
    const auto &rows = readableRows();
    const auto found = rows.find(key);
    if (found == rows.end() || !found->second.isPresent) {
        replyText(exchange, 404, "no such row");
        return;
    }
    replyJson(exchange, 200, {{"key", key}, {"version", found->second.version}, {"value", found->second.value}});
}

void PlatformStandIn::handleWrite(const Exchange &exchange, const std::string &key)
{
    const auto expected = exchange->request().header("If-Match");
    auto &row = rows_[key];
    const auto current = row.isPresent ? row.version : 0;
    const bool isRemoval = exchange->request().method == "DELETE";
    if (!expected || *expected != std::to_string(current)) {
        replyText(exchange, 412, "version is " + std::to_string(current));
        return;
    }
    if (isRemoval && !row.isPresent) {
        replyText(exchange, 404, "no such row");
        return;
    }
    row = Row{.version = ++lastVersion_, .value = exchange->request().body, .isPresent = !isRemoval};
    if (repliesToLose_ > 0) {
        --repliesToLose_;
        exchange->abortStream();
        return;
    }
    replyJson(exchange, 200, {{"version", row.version}});
}

void PlatformStandIn::listRows(const Exchange &exchange, const std::string &prefix)
{
    auto rows = json::array();
    const auto &readable = readableRows();
    for (auto row = readable.lower_bound(prefix); row != readable.end() && row->first.starts_with(prefix); ++row) {
        if (row->second.isPresent) {
            rows.push_back({{"key", row->first}, {"version", row->second.version}, {"value", row->second.value}});
        }
    }
    replyJson(exchange, 200, {{"rows", rows}});
}

void PlatformStandIn::handleObject(const Exchange &exchange, const std::string &name)
{
    if (exchange->request().method == "PUT") {
        objects_[name] = exchange->request().body;
        replyText(exchange, 200, "stored");
        return;
    }
    const auto found = objects_.find(name);
    if (found == objects_.end()) {
        replyText(exchange, 404, "no such object");
        return;
    }
    replyText(exchange, 200, found->second);
}

void PlatformStandIn::handleWeights(const Exchange &exchange)
{
    std::uint64_t bytes = 0;
    const auto text = queryField(exchange->request().query, "bytes").value_or("0");
    std::from_chars(text.data(), text.data() + text.size(), bytes);
    const auto duration = std::chrono::microseconds(bytes * 1'000'000 / weightBytesPerSecond);
    // One transfer after the other: the store's rate is shared by all who load.
    weightsFreeAt_ = std::max(weightsFreeAt_, loop_.now()) + duration;
    runLater(loop_, timers_, weightsFreeAt_ - loop_.now(), [exchange] { replyText(exchange, 200, "loaded"); });
}

void PlatformStandIn::handleHosts(const Exchange &exchange)
{
    if (exchange->request().method != "PUT") {
        HttpResponse response{.status = 200, .contentType = "application/json", .body = laggingHosts_};
        exchange->reply(response);
        return;
    }
    hosts_ = exchange->request().body;
    runLater(loop_, timers_, hostListLag_, [this, hosts = hosts_] { laggingHosts_ = hosts; });
    replyText(exchange, 200, "stored");
}

} // namespace hornbeamlane::testing
