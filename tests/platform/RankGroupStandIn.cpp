#include "platform/RankGroupStandIn.h"

#include <algorithm>
#include <utility>

namespace hornbeamlane::platform {

namespace {

constexpr std::size_t layers = 2;
constexpr std::size_t experts = 16;
constexpr std::size_t placesPerRank = 6;
constexpr std::size_t sparePlaces = 2;
constexpr std::uint64_t epoch = 1;
constexpr std::uint64_t choicesPerPass = 16;

const std::string *headerOf(const Http1Exchange &exchange, std::string_view name)
{
    return exchange.request().header(name);
}

} // namespace

RankGroupStandIn::RankGroupStandIn(EventLoop &loop, SoakStore &store, Options options)
    : loop_(loop)
    , store_(store)
    , options_(std::move(options))
    , ranks_(options_.ranks)
    , passTimer_(loop, [this] { pass(); })
    , demandTimer_(loop, [this] { ++demand_; })
{
}

bool RankGroupStandIn::start()
{
    for (std::size_t index = 0; index < ranks_.size(); ++index) {
        auto &rank = ranks_[index];
        rank.counts.assign(layers, std::vector<std::uint64_t>(experts, 0));
        rank.lists = Json::array();
        for (std::size_t layer = 0; layer < layers; ++layer) {
            auto own = Json::array();
            for (std::size_t expert = index; expert < experts; expert += ranks_.size()) {
                own.push_back(expert);
            }
            rank.lists.push_back(own);
        }
        rank.http = std::make_unique<Http1Server>(
            loop_, Http1Server::Options{.limits = [] { return Http1Server::Limits{}; }},
            [this, index](const std::shared_ptr<Http1Exchange> &exchange) { handle(index, *exchange); });
        if (!rank.http->listen("127.0.0.1:0")) {
            return false;
        }
        rank.address = "127.0.0.1:" + std::to_string(rank.http->port());
        store_.put("servers", idOf(index), rowOf(index, options_.service, rank.address).dump());
    }
    passTimer_.startRepeating(options_.passTime);
    demandTimer_.startRepeating(options_.demandTime);
    return true;
}

std::string RankGroupStandIn::idOf(std::size_t rank) const
{
    return options_.service + "-" + options_.group + "-" + std::to_string(rank);
}

const std::string &RankGroupStandIn::addressOf(std::size_t rank) const
{
    return ranks_[rank].address;
}

Json RankGroupStandIn::rowOf(std::size_t rank, const std::string &service, const std::string &address) const
{
    return {{"Service", service},
            {"Address", address},
            {"Zone", "a"},
            {"Version", "v1"},
            {"Slots", 12},
            {"Phase", "ready"},
            {"WarmupLeftMs", 0},
            {"Sequence", 1},
            {"born", 1700000000000},
            {"group", {{"Name", options_.group}, {"epoch", epoch}, {"rank", rank}, {"Phase", "open"}}},
            {"size", ranks_.size()}};
}

Json RankGroupStandIn::engine()
{
    return {{"Slots", 12},
            {"KvCapacity", 372000},
            {"LinkMbps", 180000.0},
            {"Stride", 5},
            {"step_ms", 5.85},
            {"per_seq_ms", 0.355},
            {"context_per_k", 0.036},
            {"read_per_s", 61200.0},
            {"usual", {{"prompt", 835}, {"answer", 139}}},
            {"Sets", layers},
            {"Experts", experts},
            {"Placements", placesPerRank},
            {"Spare", sparePlaces},
            {"ExpertMb", 100.0}};
}

void RankGroupStandIn::pass()
{
    const bool isHeld =
        std::any_of(ranks_.begin(), ranks_.end(), [this](const Rank &rank) { return rank.held == step_ + 1; });
    if (isHeld) {
        return;
    }
    ++step_;
    bool hasSwitched = false;
    for (auto &rank : ranks_) {
        if (rank.armed && rank.armed->step == step_) {
            rank.version = rank.armed->version;
            rank.lists = rank.preparedLists;
            rank.prepared.reset();
            rank.armed.reset();
            hasSwitched = true;
        }
        for (auto &counts : rank.counts) {
            counts[demand_ * 5 % experts] += choicesPerPass;
            for (auto &count : counts) {
                ++count;
            }
        }
    }
    noteMaps(hasSwitched);
}

void RankGroupStandIn::noteMaps(bool hasSwitched)
{
    const bool isSame = std::all_of(ranks_.begin(), ranks_.end(),
                                    [this](const Rank &rank) { return rank.version == ranks_.front().version; });
    switches_ += hasSwitched ? 1 : 0;
    mixedPasses_ += isSame ? 0 : 1;
}

void RankGroupStandIn::handle(std::size_t index, Http1Exchange &exchange)
{
    const HttpHeaders json = {{"Content-Type", "application/json"}};
    const auto *expected = headerOf(exchange, "Expect-Instance");
    if (options_.checksServer && expected != nullptr && *expected != idOf(index)) {
        exchange.reply(421, {{"Instance-Id", idOf(index)}}, "");
        return;
    }
    const std::string target(exchange.request().target);
    if (target == "/-/report") {
        exchange.reply(200, json, report(index).dump());
    } else if (target.starts_with("/-/picked")) {
        exchange.reply(200, json, picked(ranks_[index], target.find("Lists") != std::string::npos).dump());
    } else if (target == "/-/order") {
        const auto body = parseDocument(exchange.request().body);
        exchange.reply(body.is_object() ? order(index, body) : 400, json, "{}");
    } else {
        exchange.reply(404, {}, "");
    }
}

Json RankGroupStandIn::report(std::size_t index) const
{
    const auto &rank = ranks_[index];
    Json report = {
        {"group", {{"Name", options_.group}, {"epoch", epoch}, {"rank", index}, {"Phase", "open"}}},
        {"size", ranks_.size()},
        {"pace", 1.0},
        {"step", step_},
        {"Mapping", rank.version},
    };
    if (rank.prepared) {
        report["Prepared"] = *rank.prepared;
    }
    if (rank.armed) {
        report["Enabled"] = {{"Version", rank.armed->version}, {"step", rank.armed->step}};
    }
    if (rank.held) {
        report["held"] = *rank.held;
    }
    return report;
}

Json RankGroupStandIn::picked(const Rank &rank, bool withLists) const
{
    Json body = {{"step", step_}, {"epoch", epoch}};
    if (withLists) {
        body["Mapping"] = {{"Version", rank.version}, {"Experts", rank.lists}};
        if (rank.prepared) {
            body["Prepared"] = {{"Version", *rank.prepared}, {"Experts", rank.preparedLists}};
        }
        return body;
    }
    body["Counts"] = Json::array();
    for (const auto &counts : rank.counts) {
        for (const auto count : counts) {
            body["Counts"].push_back(count);
        }
    }
    return body;
}

int RankGroupStandIn::order(std::size_t index, const Json &body)
{
    auto &rank = ranks_[index];
    const auto operation = textField(body, "Operation").value_or("");
    const auto version = countField(body, "Version").value_or(0);
    const auto step = countField(body, "step").value_or(0);
    if (countField(body, "epoch") != epoch) {
        return 409;
    }
    if (operation == "prepare") {
        return prepare(index, version, body.value("Mapping", Json::array()));
    }
    if (operation == "arm") {
        if (rank.prepared != version || step <= step_) {
            return 409;
        }
        rank.armed = Armed{.version = version, .step = step};
        return 202;
    }
    if (operation == "disarm") {
        if (rank.version == version) {
            return 409;
        }
        if (rank.armed && rank.armed->version == version) {
            rank.armed.reset();
        }
        return 200;
    }
    if (operation == "Retention") {
        if (rank.held == step) {
            return 200;
        }
        if (step <= step_ || rank.held) {
            return 409;
        }
        rank.held = step;
        return 202;
    }
    if (operation == "go" && rank.held == step) {
        rank.held.reset();
    }
    return operation == "go" ? 200 : 400;
}

int RankGroupStandIn::prepare(std::size_t index, std::uint64_t version, const Json &mapping)
{
    auto &rank = ranks_[index];
    if (rank.prepared == version) {
        return 200;
    }
    if (version <= rank.highest || rank.armed || mapping.size() != layers) {
        return 409;
    }
    rank.highest = version;
    rank.prepared = version;
    rank.preparedLists = Json::array();
    for (const auto &layer : mapping) {
        rank.preparedLists.push_back(layer.at(index));
    }
    return 202;
}

} // namespace hornbeamlane::platform
