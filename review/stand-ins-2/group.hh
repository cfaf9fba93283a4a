// A group of model servers that runs passes in lock-step on an expert map, with the orders of PROTOCOL.md.
#pragma once

#include "record.hh"
#include "store.hh"

namespace review {

class Group
{
public:
    static constexpr std::size_t sets = 2;
    static constexpr std::size_t experts = 16;
    static constexpr std::size_t placements = 6;
    static constexpr std::size_t spare = 2;
    static constexpr double passMs = 60;
    static constexpr double copyMs = 100;
    static constexpr double reportLagMs = 200;

    struct Options
    {
        std::string service;
        std::vector<std::string> ids;
        std::vector<std::string> addresses;
        std::string zone;
        int events = 20;
    };

    Group(Loop &loop, Record &record, Store &store, Options options)
        : loop_(loop)
        , record_(record)
        , store_(store)
        , options_(std::move(options))
        , ranks_(options_.ids.size())
    {
        for (std::size_t rank = 0; rank < ranks_.size(); ++rank) {
            auto &self = ranks_[rank];
            for (std::size_t set = 0; set < sets; ++set) {
                self.counts.emplace_back(experts, 0);
                self.mapping.emplace_back();
                for (std::size_t expert = rank; expert < experts; expert += ranks_.size()) {
                    self.mapping[set].push_back(expert);
                }
            }
            self.http = std::make_unique<HttpServer>(
                loop_, options_.addresses[rank], [this, rank](const auto &exchange) { handle(rank, exchange); });
            store_.put("servers", options_.ids[rank], entryOf(rank, options_.service, options_.addresses[rank]).dump());
        }
        refreshReports();
        pass();
    }

    Json entryOf(std::size_t rank, const std::string &service, const std::string &address) const
    {
        return {{"Service", service},
                {"Address", address},
                {"Zone", options_.zone},
                {"Version", "v1"},
                {"Slots", 12},
                {"Phase", "ready"},
                {"WarmupLeftMs", 0},
                {"Sequence", 1},
                {"born", born_},
                {"group", {{"Name", "g0"}, {"epoch", epoch}, {"rank", rank}, {"Phase", "open"}}},
                {"size", ranks_.size()}};
    }

    static Json engine()
    {
        return {{"Slots", 12},          {"KvCapacity", 372000}, {"KvBytes", 96256},
                {"LinkMbps", 180000.0}, {"Stride", 5},          {"step_ms", 5.85},
                {"per_seq_ms", 0.355},  {"context_per_k", 0.036}, {"read_per_s", 61200.0},
                {"pairs_per_m", 0.325}, {"chunk", 512},         {"report_lag_ms", reportLagMs},
                {"usual", {{"prompt", 835}, {"answer", 139}}},  {"Sets", sets},
                {"Experts", experts},   {"Placements", placements}, {"Spare", spare},
                {"ExpertMb", 880.0},    {"ExpertShare", 0.85},  {"form_ms", 600.0}};
    }

    /** From now on half of all choices fall on these two experts. */
    void setLiked(std::size_t first, std::size_t second)
    {
        liked_ = {first, second};
        record_.line("experts %zu and %zu are in demand now", first, second);
    }

    std::size_t violations() const
    {
        return violations_;
    }

    std::size_t switches() const
    {
        return switches_;
    }

    std::uint64_t step() const
    {
        return step_;
    }

    static constexpr std::uint64_t epoch = 1;

private:
    using Lists = std::vector<std::vector<std::size_t>>;

    struct Run
    {
        std::shared_ptr<HttpServer::Exchange> exchange;
        int next = 1;
    };

    struct Rank
    {
        std::unique_ptr<HttpServer> http;
        std::vector<Run> runs;
        std::vector<std::vector<std::uint64_t>> counts;
        Lists mapping;
        Lists preparedLists;
        std::uint64_t version = 0;
        std::uint64_t highest = 0;
        std::optional<std::uint64_t> copying;
        std::optional<std::uint64_t> prepared;
        std::optional<std::pair<std::uint64_t, std::uint64_t>> armed;
        std::optional<std::uint64_t> held;
        std::uint64_t sequence = 0;
        Json report;
    };

    void refreshReports()
    {
        for (std::size_t rank = 0; rank < ranks_.size(); ++rank) {
            auto &self = ranks_[rank];
            self.report = {{"Stage", "mixed"},
                           {"Models", {{{"Name", "m"}, {"Version", 1}, {"Adapters", Json::array()}}}},
                           {"Busy", false},
                           {"Sequence", self.sequence},
                           {"Queued", 0},
                           {"Active", self.runs.size()},
                           {"KvUsed", 1000},
                           {"KvTotal", 372000},
                           {"Handles", 0},
                           {"pace", 1.0},
                           {"group", {{"Name", "g0"}, {"epoch", epoch}, {"rank", rank}, {"Phase", "open"}}},
                           {"size", ranks_.size()},
                           {"step", step_},
                           {"Mapping", self.version}};
            if (self.prepared) {
                self.report["Prepared"] = *self.prepared;
            }
            if (self.armed) {
                self.report["Enabled"] = {{"Version", self.armed->first}, {"step", self.armed->second}};
            }
            if (self.held) {
                self.report["held"] = *self.held;
            }
        }
        loop_.after(reportLagMs, [this] { refreshReports(); });
    }

    void pass()
    {
        loop_.after(passMs, [this] { pass(); });
        bool isBusy = false;
        for (auto &rank : ranks_) {
            auto &runs = rank.runs;
            runs.erase(std::remove_if(runs.begin(), runs.end(), [](const Run &run) { return !run.exchange->isOpen(); }),
                       runs.end());
            isBusy = isBusy || !runs.empty();
            if (rank.held && *rank.held == step_ + 1) {
                return;
            }
        }
        if (!isBusy) {
            return;
        }
        ++step_;
        bool hasSwitched = false;
        for (auto &rank : ranks_) {
            if (rank.armed && rank.armed->second == step_) {
                rank.version = rank.armed->first;
                rank.mapping = rank.preparedLists;
                rank.prepared.reset();
                rank.armed.reset();
                hasSwitched = true;
            }
        }
        check(hasSwitched);
        for (auto &rank : ranks_) {
            choose(rank);
            emitEvents(rank);
        }
    }

    void check(bool hasSwitched)
    {
        bool isSame = true;
        for (const auto &rank : ranks_) {
            isSame = isSame && rank.version == ranks_.front().version;
        }
        if (hasSwitched) {
            ++switches_;
            std::string maps;
            for (const auto &rank : ranks_) {
                maps += " " + std::to_string(rank.version);
            }
            record_.line("pass %llu begins with the maps%s", static_cast<unsigned long long>(step_), maps.c_str());
        }
        if (!isSame) {
            ++violations_;
            if (hasSwitched) {
                record_.say("MAP broken: pass %llu begins with different maps", static_cast<unsigned long long>(step_));
            }
        }
    }

    void choose(Rank &rank)
    {
        for (auto &set : rank.counts) {
            for (std::size_t i = 0; i < 4 * rank.runs.size(); ++i) {
                ++set[i % 2 == 0 ? (i % 4 == 0 ? liked_.first : liked_.second) : drawn_++ % experts];
            }
        }
    }

    void emitEvents(Rank &rank)
    {
        for (auto &run : rank.runs) {
            run.exchange->sendPiece("id: " + std::to_string(run.next) + "\ndata: x\n\n");
            if (run.next++ == options_.events) {
                run.exchange->finishStream();
            }
        }
        const int events = options_.events;
        rank.runs.erase(
            std::remove_if(rank.runs.begin(), rank.runs.end(), [events](const Run &run) { return run.next > events; }),
            rank.runs.end());
    }

    void handle(std::size_t index, const std::shared_ptr<HttpServer::Exchange> &exchange)
    {
        const auto &request = exchange->request;
        const auto &target = request.second;
        auto &rank = ranks_[index];
        if (target.rfind("/-/report", 0) == 0) {
            exchange->reply(200, {{"Content-Type", "application/json"}}, rank.report.dump());
            return;
        }
        if (target.rfind("/-/picked", 0) == 0) {
            answerPicked(rank, target.find("Lists") != std::string::npos, exchange);
            return;
        }
        if (target.rfind("/-/order", 0) == 0) {
            const auto body = Json::parse(request.body, nullptr, false);
            const int status = body.is_object() ? order(index, body) : 400;
            record_.line("rank %zu: order %s version %llu step %llu: %d", index,
                         body.value("Operation", std::string()).c_str(),
                         static_cast<unsigned long long>(body.value("Version", std::uint64_t(0))),
                         static_cast<unsigned long long>(body.value("step", std::uint64_t(0))), status);
            rank.sequence += status == 202 ? 1 : 0;
            exchange->reply(status, {{"Content-Type", "application/json"}}, "{}");
            return;
        }
        const auto id = request.value("Attempt-Id");
        if (id.empty()) {
            exchange->reply(400, {{"Not-Executed", "1"}}, "");
        } else if (request.value("Expect-Instance") != options_.ids[index]) {
            exchange->reply(421, {{"Attempt-Id", id}}, "");
        } else {
            record_.line("%s runs at rank %zu", id.c_str(), index);
            exchange->startStream(200, {{"Attempt-Id", id},
                                        {"Server-Seal", "seal." + id},
                                        {"Content-Type", "text/event-stream"},
                                        {"Keep-Alive", "timeout=10"},
                                        {"Weight-Versions", "1"}});
            rank.runs.push_back({exchange});
        }
    }

    void answerPicked(const Rank &rank, bool withLists, const std::shared_ptr<HttpServer::Exchange> &exchange)
    {
        Json body = {{"step", step_}, {"epoch", epoch}};
        if (withLists) {
            body["Mapping"] = {{"Version", rank.version}, {"Experts", rank.mapping}};
            if (rank.prepared) {
                body["Prepared"] = {{"Version", *rank.prepared}, {"Experts", rank.preparedLists}};
            }
        } else {
            auto counts = Json::array();
            for (const auto &set : rank.counts) {
                for (const auto count : set) {
                    counts.push_back(count);
                }
            }
            body["Counts"] = counts;
        }
        exchange->reply(200, {{"Content-Type", "application/json"}}, body.dump());
    }

    int order(std::size_t index, const Json &body)
    {
        auto &rank = ranks_[index];
        const auto operation = body.value("Operation", std::string());
        const auto version = body.value("Version", std::uint64_t(0));
        const auto step = body.value("step", std::uint64_t(0));
        if (body.contains("epoch") && body.value("epoch", std::uint64_t(0)) != epoch) {
            return 409;
        }
        if (operation == "prepare") {
            return prepare(index, version, body.value("Mapping", Json::array()));
        }
        if (operation == "arm") {
            if (rank.armed == std::pair(version, step)) {
                return 200;
            }
            if (rank.prepared != version || step <= step_) {
                return 409;
            }
            rank.armed = std::pair(version, step);
            return 202;
        }
        if (operation == "disarm") {
            if (rank.version == version) {
                return 409;
            }
            const bool isArmed = rank.armed && rank.armed->first == version;
            if (isArmed) {
                rank.armed.reset();
            }
            return isArmed ? 202 : 200;
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
        if (operation == "go") {
            const bool isHeld = rank.held == step;
            if (isHeld) {
                rank.held.reset();
            }
            return isHeld ? 202 : 200;
        }
        return 400;
    }

    int prepare(std::size_t index, std::uint64_t version, const Json &mapping)
    {
        auto &rank = ranks_[index];
        if (rank.prepared == version || rank.copying == version) {
            return 200;
        }
        if (version <= rank.highest || rank.armed || mapping.size() != sets) {
            return 409;
        }
        Lists lists;
        for (const auto &set : mapping) {
            lists.push_back(set.at(index).get<std::vector<std::size_t>>());
            if (lists.back().size() > placements) {
                return 409;
            }
        }
        rank.highest = version;
        rank.prepared.reset();
        rank.copying = version;
        rank.preparedLists = lists;
        loop_.after(copyMs, [this, index, version] {
            auto &self = ranks_[index];
            if (self.copying == version) {
                self.copying.reset();
                self.prepared = version;
            }
        });
        return 202;
    }

    Loop &loop_;
    Record &record_;
    Store &store_;
    Options options_;
    std::vector<Rank> ranks_;
    const std::int64_t born_ = unixMs();
    std::uint64_t step_ = 0;
    std::pair<std::size_t, std::size_t> liked_{0, 4};
    std::size_t drawn_ = 0;
    std::size_t violations_ = 0;
    std::size_t switches_ = 0;
};

} // namespace review
