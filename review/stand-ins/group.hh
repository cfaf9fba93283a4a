// Stand-in for a group of model servers (ranks) as the platform's pages describe them: passes, maps, orders, reports.
#pragma once

#include "platform.hh"

#include <deque>
#include <memory>

class Group
{
public:
    struct Options
    {
        std::string service = "chat";
        std::string ip;
        int ranks = 4;
        int sets = 2;
        int experts = 16;
        int placements = 6;
        int spare = 2;
        double passTime = 0.03;
        double copyTimePerExpert = 0.4;
        double reportLag = 0.2;
        int eventsOfStream = 8;
    };

    struct Order
    {
        int rank;
        std::string operation;
        int number;
    };

    /** Says for an order after how many seconds it is carried out, without an answer; 0 for at once, with one. */
    using LateOrders = std::function<double(const Order &)>;

    Group(Store &store, Options options)
        : store_(store)
        , options_(std::move(options))
        , ranks_(static_cast<std::size_t>(options_.ranks))
    {
        for (int index = 0; index < options_.ranks; ++index) {
            auto &rank = ranks_[static_cast<std::size_t>(index)];
            rank.port = freePort(options_.ip);
            rank.active = uniform(index);
            rank.counts.assign(static_cast<std::size_t>(options_.sets * options_.experts), 0);
            listenOn(options_.ip, rank.port, [this, index](Connection &connection, const Message &request) {
                return handle(index, connection, request);
            });
            writeRow(index);
        }
        std::thread([this] { runPasses(); }).detach();
        std::thread([this] { keepReports(); }).detach();
    }

    void setLateOrders(LateOrders late)
    {
        const std::lock_guard lock(mutex_);
        late_ = std::move(late);
    }

    Json serviceConfig() const
    {
        return {{"Name", options_.service},
                {"HealthPath", "/healthz"},
                {"MaxConnections", 328},
                {"WarmupS", 0},
                {"WarmupPerS", 0},
                {"Engine",
                 {{"Slots", 12},        {"KvCapacity", 372000},     {"Stride", 5},
                  {"step_ms", 5.85},    {"per_seq_ms", 0.355},      {"context_per_k", 0.036},
                  {"read_per_s", 61200.0}, {"pairs_per_m", 0.325},  {"chunk", 512},
                  {"report_lag_ms", options_.reportLag * 1000},     {"usual", {{"prompt", 300}, {"answer", 40}}},
                  {"Sets", options_.sets}, {"Experts", options_.experts}, {"Placements", options_.placements},
                  {"Spare", options_.spare}, {"ExpertMb", options_.copyTimePerExpert * 1000 / 8},
                  {"LinkMbps", 1000.0}, {"ExpertShare", 0.85},      {"form_ms", 600.0}}}};
    }

    int ordersOf(const std::string &operation)
    {
        const std::lock_guard lock(mutex_);
        return orderCounts_[operation];
    }

    /** Orders got so far, and those of them that were left unanswered. */
    std::pair<int, int> orderTotals()
    {
        const std::lock_guard lock(mutex_);
        return {orders_, unanswered_};
    }

    /** When a held pass was last released; 0 if none was. */
    double releasedAt()
    {
        const std::lock_guard lock(mutex_);
        return releasedAt_;
    }

    bool isHeld()
    {
        const std::lock_guard lock(mutex_);
        return std::any_of(ranks_.begin(), ranks_.end(), [](const Rank &rank) { return rank.held.has_value(); });
    }

    int mapsBroken()
    {
        const std::lock_guard lock(mutex_);
        return mapsBroken_;
    }

    /** Whether a rank has got the request. */
    bool hasGot(const std::string &id)
    {
        const std::lock_guard lock(mutex_);
        return got_.contains(id);
    }

    std::uint64_t step()
    {
        const std::lock_guard lock(mutex_);
        return step_;
    }

private:
    struct Map
    {
        std::uint64_t version = 0;
        /** Experts of this rank, by set. */
        std::vector<std::vector<int>> experts;
    };

    struct Armed
    {
        std::uint64_t version = 0;
        std::uint64_t step = 0;
    };

    struct Rank
    {
        int port = 0;
        Map active;
        std::optional<Map> prepared;
        double preparedAt = 0;
        std::uint64_t highestVersion = 0;
        std::optional<Armed> armed;
        std::optional<std::uint64_t> held;
        std::uint64_t sequence = 0;
        std::vector<std::uint64_t> counts;
        /** Reports with the times at which they were true. */
        std::deque<std::pair<double, std::string>> reports;
    };

    struct Stream
    {
        int pending = 0;
    };

    Map uniform(int index) const
    {
        Map map;
        map.experts.resize(static_cast<std::size_t>(options_.sets));
        for (auto &set : map.experts) {
            for (int expert = index; expert < options_.experts; expert += options_.ranks) {
                set.push_back(expert);
            }
        }
        return map;
    }

    static std::string idOf(int index)
    {
        return "i-rank" + std::to_string(index);
    }

    void writeRow(int index)
    {
        const Json row = {
            {"Service", options_.service},
            {"Address", options_.ip + ":" + std::to_string(ranks_[static_cast<std::size_t>(index)].port)},
            {"Zone", "a"},
            {"Version", "v1"},
            {"Slots", 12},
            {"Phase", "ready"},
            {"WarmupLeftMs", 0},
            {"Stage", "mixed"},
            {"Models", {{{"Name", "m"}, {"Version", 1}, {"Adapters", Json::array()}}}},
            {"Sequence", 1},
            {"born", 1700000000000LL},
            {"group", {{"Name", "g0-0"}, {"epoch", 1}, {"rank", index}, {"Phase", "open"}}},
            {"size", options_.ranks}};
        store_.put("servers", idOf(index), row.dump());
    }

    /** Under the lock. */
    std::string reportOf(int index)
    {
        const auto &rank = ranks_[static_cast<std::size_t>(index)];
        Json report = {{"Stage", "mixed"},
                       {"Models", {{{"Name", "m"}, {"Version", 1}, {"Adapters", Json::array()}}}},
                       {"Busy", false},
                       {"Sequence", rank.sequence},
                       {"Queued", 0},
                       {"Active", 0},
                       {"KvUsed", 0},
                       {"KvTotal", 372000},
                       {"Handles", 0},
                       {"pace", 1.0},
                       {"group", {{"Name", "g0-0"}, {"epoch", 1}, {"rank", index}, {"Phase", "open"}}},
                       {"size", options_.ranks},
                       {"step", step_},
                       {"Mapping", rank.active.version}};
        if (rank.prepared && seconds() >= rank.preparedAt) {
            report["Prepared"] = rank.prepared->version;
        }
        if (rank.armed) {
            report["Enabled"] = {{"Version", rank.armed->version}, {"step", rank.armed->step}};
        }
        if (rank.held) {
            report["held"] = *rank.held;
        }
        return report.dump();
    }

    void keepReports()
    {
        while (true) {
            {
                const std::lock_guard lock(mutex_);
                for (int index = 0; index < options_.ranks; ++index) {
                    auto &reports = ranks_[static_cast<std::size_t>(index)].reports;
                    reports.emplace_back(seconds(), reportOf(index));
                    while (reports.size() > 1 && reports[1].first <= seconds() - options_.reportLag) {
                        reports.pop_front();
                    }
                }
            }
            sleepFor(0.02);
        }
    }

    /** All ranks execute each pass together; an idle group makes none. */
    void runPasses()
    {
        std::unique_lock lock(mutex_);
        while (true) {
            changed_.wait(lock, [this] { return running_ > 0 && !isNextHeld(); });
            ++step_;
            std::set<std::uint64_t> versions;
            for (auto &rank : ranks_) {
                if (rank.armed && step_ >= rank.armed->step) {
                    rank.active = *rank.prepared;
                    rank.armed.reset();
                }
                versions.insert(rank.active.version);
            }
            if (versions.size() > 1) {
                ++mapsBroken_;
                record("group: pass %llu begins with %zu maps", static_cast<unsigned long long>(step_),
                       versions.size());
            }
            for (std::size_t index = 0; index < ranks_.size(); ++index) {
                // The experts of rank 0 in the first map are in much demand.
                for (int set = 0; set < options_.sets; ++set) {
                    for (int expert = 0; expert < options_.experts; ++expert) {
                        ranks_[index].counts[static_cast<std::size_t>(set * options_.experts + expert)] +=
                            expert % options_.ranks == 0 ? 40 : 4;
                    }
                }
            }
            ++passesDone_;
            lock.unlock();
            sleepFor(options_.passTime);
            lock.lock();
            passDone_.notify_all();
        }
    }

    bool isNextHeld() const
    {
        return std::any_of(ranks_.begin(), ranks_.end(),
                           [this](const Rank &rank) { return rank.held && *rank.held <= step_ + 1; });
    }

    bool handle(int index, Connection &connection, const Message &request)
    {
        const auto path = request.path();
        if (path == "/-/report") {
            const std::lock_guard lock(mutex_);
            const auto &reports = ranks_[static_cast<std::size_t>(index)].reports;
            return connection.send(jsonAnswer(200, reports.empty() ? "{}" : reports.front().second));
        }
        if (path == "/-/picked") {
            return connection.send(jsonAnswer(200, picked(index, !queryField(request.target(), "Lists").empty())));
        }
        if (path == "/-/order") {
            return takeOrder(index, connection, request.body);
        }
        if (path == "/healthz") {
            return connection.send(answer(200, "Instance-Id: " + idOf(index) + "\r\n", ""));
        }
        if (request.header("expect-instance") != idOf(index)) {
            return connection.send(answer(421, "Instance-Id: " + idOf(index) + "\r\n", ""));
        }
        return stream(index, connection, request);
    }

    std::string picked(int index, bool wantsLists)
    {
        const std::lock_guard lock(mutex_);
        const auto &rank = ranks_[static_cast<std::size_t>(index)];
        Json body = {{"step", step_}, {"epoch", 1}};
        if (!wantsLists) {
            body["Counts"] = rank.counts;
            return body.dump();
        }
        body["Mapping"] = {{"Version", rank.active.version}, {"Experts", rank.active.experts}};
        if (rank.prepared && seconds() >= rank.preparedAt) {
            body["Prepared"] = {{"Version", rank.prepared->version}, {"Experts", rank.prepared->experts}};
        }
        return body.dump();
    }

    bool takeOrder(int index, Connection &connection, const std::string &body)
    {
        const auto document = Json::parse(body);
        const auto operation = document.at("Operation").get<std::string>();
        double late = 0;
        {
            const std::lock_guard lock(mutex_);
            ++orders_;
            const int number = ++orderCounts_[operation];
            late = late_ ? late_({.rank = index, .operation = operation, .number = number}) : 0;
            unanswered_ += late > 0 ? 1 : 0;
        }
        if (late > 0) {
            record("rank %d: leaves %s unanswered", index, describe(document).c_str());
            std::thread([this, index, document, late] {
                sleepFor(late);
                const int status = carryOut(index, document);
                record("rank %d: carries %s out late, with %d", index, describe(document).c_str(), status);
            }).detach();
            // The caller gives up; nothing is ever answered on this channel.
            while (connection.fill(60)) {
            }
            return false;
        }
        const int status = carryOut(index, document);
        record("rank %d: order %s, answer %d", index, describe(document).c_str(), status);
        return connection.send(jsonAnswer(status, "{}"));
    }

    static std::string describe(const Json &document)
    {
        auto text = document.at("Operation").get<std::string>();
        for (const char *name : {"Version", "step"}) {
            if (document.contains(name)) {
                text += " " + std::string(name) + "=" + document[name].dump();
            }
        }
        return text;
    }

    int carryOut(int index, const Json &order)
    {
        const std::lock_guard lock(mutex_);
        auto &rank = ranks_[static_cast<std::size_t>(index)];
        const auto operation = order.at("Operation").get<std::string>();
        if (order.contains("epoch") && order["epoch"] != 1) {
            return 409;
        }
        const auto version = order.value("Version", std::uint64_t(0));
        const auto step = order.value("step", std::uint64_t(0));
        const int status = apply(rank, operation, version, step, order, index);
        rank.sequence += status == 202 ? 1 : 0;
        changed_.notify_all();
        return status;
    }

    int apply(Rank &rank, const std::string &operation, std::uint64_t version, std::uint64_t step, const Json &order,
              int index)
    {
        if (operation == "prepare") {
            if (rank.prepared && rank.prepared->version == version) {
                return 200;
            }
            if (version <= rank.highestVersion || rank.armed) {
                return 409;
            }
            Map map{.version = version, .experts = {}};
            std::size_t mostNew = 0;
            std::size_t allNew = 0;
            for (std::size_t set = 0; set < order.at("Mapping").size(); ++set) {
                map.experts.push_back(order["Mapping"][set].at(static_cast<std::size_t>(index)).get<std::vector<int>>());
                const auto &known = rank.active.experts[set];
                const auto count = static_cast<std::size_t>(
                    std::count_if(map.experts.back().begin(), map.experts.back().end(), [&known](int expert) {
                        return std::find(known.begin(), known.end(), expert) == known.end();
                    }));
                mostNew = std::max(mostNew, count);
                allNew += count;
            }
            if (mostNew > static_cast<std::size_t>(options_.spare)) {
                return 409;
            }
            rank.highestVersion = version;
            rank.prepared = map;
            rank.preparedAt = seconds() + options_.copyTimePerExpert * static_cast<double>(allNew);
            return 202;
        }
        if (operation == "arm") {
            if (rank.armed && rank.armed->version == version && rank.armed->step == step) {
                return 200;
            }
            const bool isPrepared = rank.prepared && rank.prepared->version == version && seconds() >= rank.preparedAt;
            if (!isPrepared || step <= step_) {
                return 409;
            }
            rank.armed = Armed{.version = version, .step = step};
            return 202;
        }
        if (operation == "disarm") {
            if (rank.active.version == version) {
                return 409;
            }
            if (rank.armed && rank.armed->version == version) {
                rank.armed.reset();
                return 202;
            }
            return 200;
        }
        if (operation == "Retention") {
            if (rank.held == step) {
                return 200;
            }
            if (rank.held || step <= step_) {
                return 409;
            }
            rank.held = step;
            return 202;
        }
        if (operation == "go") {
            if (rank.held != step) {
                return 409;
            }
            rank.held.reset();
            releasedAt_ = seconds();
            return 202;
        }
        return 400;
    }

    /** One request in work: an event with each pass. */
    bool stream(int index, Connection &connection, const Message &request)
    {
        const auto id = request.header("attempt-id");
        const double until = seconds() + std::atof(request.header("deadline-ms").c_str()) / 1000;
        record("rank %d: got %s", index, id.c_str());
        std::unique_lock lock(mutex_);
        got_.insert(id);
        ++running_;
        changed_.notify_all();
        int events = 0;
        bool isOpen = true;
        auto seen = passesDone_;
        while (isOpen && events < options_.eventsOfStream) {
            passDone_.wait_for(lock, std::chrono::milliseconds(50));
            if (passesDone_ == seen) {
                // Consumers that have left and time budgets end the work.
                isOpen = seconds() < until && !connection.isClosedByPeer();
                continue;
            }
            seen = passesDone_;
            lock.unlock();
            std::string bytes;
            if (events == 0) {
                record("rank %d: runs %s", index, id.c_str());
                bytes = "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Seal: s." + id + "." + idOf(index)
                    + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
            }
            ++events;
            bytes += chunk("id: " + std::to_string(events) + "\ndata: token\n\n");
            if (events == options_.eventsOfStream) {
                bytes += "0\r\n\r\n";
            }
            isOpen = connection.send(bytes);
            lock.lock();
        }
        --running_;
        lock.unlock();
        record("rank %d: ends %s after %d events", index, id.c_str(), events);
        if (events == 0 && isOpen == false && !connection.isClosedByPeer()) {
            return connection.send(answer(504, "Attempt-Id: " + id + "\r\nServer-Seal: s." + id + "\r\n", ""));
        }
        return isOpen;
    }

    static std::string chunk(const std::string &bytes)
    {
        char size[32];
        std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
        return size + bytes + "\r\n";
    }

    Store &store_;
    Options options_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::condition_variable passDone_;
    std::vector<Rank> ranks_;
    LateOrders late_;
    std::map<std::string, int> orderCounts_;
    std::set<std::string> got_;
    int orders_ = 0;
    int unanswered_ = 0;
    int running_ = 0;
    int mapsBroken_ = 0;
    std::uint64_t step_ = 0;
    std::uint64_t passesDone_ = 0;
    double releasedAt_ = 0;
};

inline Json configOf(const std::string &service, const Json &serviceConfig, bool isStreaming)
{
    return {{"Version", 7},
            {"Routes",
             {{{"Name", "r-1"},
               {"Hostname", "glue.example"},
               {"Prefix", "/chat/"},
               {"Type", isStreaming ? "streaming" : "non_idempotent"},
               {"TimeoutMs", 8000},
               {"TargetLatencyMs", 400},
               {"Priority", 1},
               {"Service", service},
               {"MaxAttempts", 2},
               {"Public", false},
               {"SessionAffinity", true},
               {"Resumable", true},
               {"GapTargetMs", 120}}}},
            {"Services", {serviceConfig}},
            {"Tenants", {{{"Name", "glue"}, {"ApiKeys", {"key-1"}}}}},
            {"Limits",
             {{"MaxHeaderBytes", 16384},
              {"MaxBodyBytes", 4194304},
              {"HeaderTimeoutMs", 3000},
              {"IdleTimeoutMs", 15000}}}};
}
