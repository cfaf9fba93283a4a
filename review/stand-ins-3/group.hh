// Stand-in of one group of ranks: engines that run all passes together, take orders for expert maps and stream answers.
#pragma once

#include "store.hh"

#include <algorithm>
#include <cmath>
#include <deque>
#include <optional>
#include <random>

namespace net {

/** How many of a rank's answers and orders go wrong, and when. */
struct Trouble
{
    /** Share of the ranks that send a second copy of an answer, late. */
    double faultyShare = 0;
    /** Share of the answers of such a rank that come a second time, where the next answer on the channel is due. */
    double extraShare = 0;
    /** Share of the orders to all ranks that get no answer and are carried out later. */
    double lateShare = 0;
    double lateFrom = 2;
    double lateTo = 12;
    /** Trouble holds for the first part of each period. */
    double period = 6.5;
    double length = 5.5;
};

class Group
{
public:
    struct Options
    {
        std::string ip;
        int ranks = 16;
        int sets = 4;
        int experts = 64;
        int places = 5;
        int spare = 2;
        double expertMb = 880;
        double linkMbps = 180000;
        double passTime = 0.045;
        double reportLag = 0.2;
        int events = 28;
        Trouble trouble = {};
        unsigned seed = 1;
        /** Time between two changes of which experts are liked. */
        double shiftTime = 2;
    };

    struct Counters
    {
        int passes = 0;
        int mixedPasses = 0;
        int switches = 0;
        int orders = 0;
        int lateOrders = 0;
        int extraAnswers = 0;
        int extraBeforeLateOrder = 0;
        int refusedOrders = 0;
        int streams = 0;
    };

    /** Called at the first pass that begins with several maps. */
    std::function<void()> onBroken;

    Group(Loop &loop, Options options, std::function<void(const std::string &)> record)
        : loop_(loop)
        , options_(std::move(options))
        , record_(std::move(record))
        , random_(options_.seed)
    {
        for (int rank = 0; rank < options_.ranks; ++rank) {
            auto &one = ranks_.emplace_back();
            one.id = "i-rank-" + std::to_string(rank);
            one.isFaulty = rank < static_cast<int>(options_.ranks * options_.trouble.faultyShare);
            one.experts = uniform(rank);
            one.counts.assign(static_cast<std::size_t>(options_.sets) * options_.experts, 0);
        }
        liked_.assign(static_cast<std::size_t>(options_.sets), std::vector<double>(options_.experts, 1.0));
    }

    bool start(Store &store)
    {
        for (std::size_t rank = 0; rank < ranks_.size(); ++rank) {
            ranks_[rank].port = serve(loop_, options_.ip, 0, [this, rank](const ChannelPtr &channel, const Message &m) {
                handle(static_cast<int>(rank), channel, m);
            });
            if (ranks_[rank].port == 0) {
                return false;
            }
            store.put("servers", ranks_[rank].id, rowOf(static_cast<int>(rank)));
        }
        shift();
        loop_.every(options_.shiftTime, [this] { shift(); });
        loop_.every(options_.passTime, [this] { pass(); });
        loop_.every(0.02, [this] { keepReports(); });
        return true;
    }

    Json engine() const
    {
        return {{"Slots", 12},          {"KvCapacity", 372000},       {"Stride", 5},
                {"step_ms", 5.85},      {"per_seq_ms", 0.355},        {"context_per_k", 0.036},
                {"read_per_s", 61200},  {"report_lag_ms", 200},       {"usual", {{"prompt", 800}, {"answer", 140}}},
                {"Sets", options_.sets}, {"Experts", options_.experts}, {"Placements", options_.places},
                {"Spare", options_.spare}, {"ExpertMb", options_.expertMb}, {"LinkMbps", options_.linkMbps},
                {"ExpertShare", 0.85}};
    }

    const Counters &counters() const
    {
        return counters_;
    }

private:
    using Experts = std::vector<std::vector<int>>;

    struct Map
    {
        std::uint64_t version = 0;
        Experts experts;
    };

    struct Rank
    {
        std::string id;
        int port = 0;
        bool isFaulty = false;
        std::uint64_t version = 0;
        Experts experts;
        std::uint64_t highest = 0;
        std::optional<Map> copying;
        double copiedAt = 0;
        std::optional<Map> prepared;
        std::optional<std::pair<std::uint64_t, std::uint64_t>> armed;
        std::optional<std::uint64_t> held;
        int sequence = 0;
        std::vector<double> counts;
        std::deque<std::pair<double, std::string>> reports;
        int active = 0;
    };

    struct Stream
    {
        ChannelPtr channel;
        int rank = 0;
        int next = 1;
        std::string id;
    };

    Experts uniform(int rank) const
    {
        Experts result(static_cast<std::size_t>(options_.sets));
        for (auto &set : result) {
            for (int expert = rank; expert < options_.experts; expert += options_.ranks) {
                set.push_back(expert);
            }
        }
        return result;
    }

    std::string rowOf(int rank) const
    {
        return Json{{"Service", "assistant-pool"},
                    {"Address", options_.ip + ":" + std::to_string(ranks_[rank].port)},
                    {"Zone", "a"},
                    {"Version", "v1"},
                    {"Slots", 12},
                    {"Phase", "ready"},
                    {"WarmupLeftMs", 0},
                    {"Sequence", 1},
                    {"born", 1700000000000},
                    {"group", {{"Name", "g"}, {"epoch", 1}, {"rank", rank}, {"Phase", "open"}}},
                    {"size", options_.ranks}}
            .dump();
    }

    bool isTroubled() const
    {
        return std::fmod(secondsSinceStart(), options_.trouble.period) < options_.trouble.length;
    }

    bool draw(double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(random_) < share;
    }

    /** Another few experts are liked much from now on. */
    void shift()
    {
        for (auto &set : liked_) {
            std::vector<int> order(set.size());
            for (std::size_t i = 0; i < order.size(); ++i) {
                order[i] = static_cast<int>(i);
            }
            std::shuffle(order.begin(), order.end(), random_);
            for (std::size_t i = 0; i < order.size(); ++i) {
                set[static_cast<std::size_t>(order[i])] = std::pow(static_cast<double>(i + 1), -1.1);
            }
        }
    }

    void keepReports()
    {
        for (auto &rank : ranks_) {
            finishCopy(rank);
            Json report = {{"Stage", "mixed"},
                           {"Models", {{{"Name", "m"}, {"Version", 1}, {"Adapters", Json::array()}}}},
                           {"Busy", rank.copying.has_value()},
                           {"Sequence", rank.sequence},
                           {"Queued", 0},
                           {"Active", rank.active},
                           {"KvUsed", 1000},
                           {"KvTotal", 372000},
                           {"Handles", 0},
                           {"group", {{"Name", "g"}, {"epoch", 1}, {"rank", &rank - ranks_.data()}, {"Phase", "open"}}},
                           {"size", options_.ranks},
                           {"step", step_},
                           {"Mapping", rank.version},
                           {"pace", 1.0}};
            if (rank.prepared) {
                report["Prepared"] = rank.prepared->version;
            }
            if (rank.armed) {
                report["Enabled"] = {{"Version", rank.armed->first}, {"step", rank.armed->second}};
            }
            if (rank.held) {
                report["held"] = *rank.held;
            }
            rank.reports.emplace_back(secondsSinceStart(), report.dump());
            while (rank.reports.size() > 1 && rank.reports[1].first <= secondsSinceStart() - options_.reportLag) {
                rank.reports.pop_front();
            }
        }
    }

    static void finishCopy(Rank &rank)
    {
        if (rank.copying && secondsSinceStart() >= rank.copiedAt) {
            rank.prepared = std::exchange(rank.copying, std::nullopt);
        }
    }

    /** One pass of all ranks: none begins while a rank holds it, or while there is no work. */
    void pass()
    {
        if (streams_.empty()) {
            return;
        }
        for (const auto &rank : ranks_) {
            if (rank.held == step_ + 1) {
                return;
            }
        }
        ++step_;
        ++counters_.passes;
        bool hasSwitched = false;
        for (auto &rank : ranks_) {
            if (rank.armed && rank.armed->second <= step_ && rank.prepared
                && rank.prepared->version == rank.armed->first) {
                rank.version = rank.prepared->version;
                rank.experts = rank.prepared->experts;
                rank.prepared.reset();
                rank.armed.reset();
                hasSwitched = true;
            }
            count(rank);
        }
        counters_.switches += hasSwitched ? 1 : 0;
        checkMaps(hasSwitched);
        emit();
    }

    void checkMaps(bool hasSwitched)
    {
        std::map<std::uint64_t, std::string> versions;
        for (std::size_t rank = 0; rank < ranks_.size(); ++rank) {
            versions[ranks_[rank].version] += " " + std::to_string(rank);
        }
        if (versions.size() < 2) {
            return;
        }
        ++counters_.mixedPasses;
        if (hasSwitched || counters_.mixedPasses == 1) {
            std::string text = "BROKEN pass " + std::to_string(step_) + " begins with several maps:";
            for (const auto &[version, ranks] : versions) {
                text += " version " + std::to_string(version) + " at ranks" + ranks + ";";
            }
            record_(text);
        }
        if (counters_.mixedPasses == 1 && onBroken) {
            onBroken();
        }
    }

    void count(Rank &rank)
    {
        for (int set = 0; set < options_.sets; ++set) {
            for (int expert = 0; expert < options_.experts; ++expert) {
                rank.counts[static_cast<std::size_t>(set * options_.experts + expert)] +=
                    std::round(40 * liked_[static_cast<std::size_t>(set)][static_cast<std::size_t>(expert)]);
            }
        }
    }

    void emit()
    {
        std::vector<Stream> left;
        for (auto &stream : streams_) {
            if (!stream.channel->isOpen()) {
                --ranks_[stream.rank].active;
                continue;
            }
            stream.channel->send(chunk("id: " + std::to_string(stream.next) + "\ndata: xxxxx\n\n"));
            if (++stream.next <= options_.events) {
                left.push_back(stream);
                continue;
            }
            stream.channel->send("0\r\n\r\n");
            --ranks_[stream.rank].active;
        }
        streams_ = std::move(left);
    }

    /** Sends an answer, and behind it the extra copy of the one before if there is to be one. */
    void answer(Rank &rank, const ChannelPtr &channel, int status, const std::string &body)
    {
        const auto text = formatAnswer(status, {{"Content-Type", "application/json"}}, body);
        channel->send(text);
        // The copy comes where the next answer on this channel is due.
        if (rank.isFaulty && isTroubled() && draw(options_.trouble.extraShare)) {
            channel->extraAnswer = text;
        }
    }

    void sendExtra(const Rank &rank, const ChannelPtr &channel)
    {
        if (!channel->extraAnswer.empty()) {
            ++counters_.extraAnswers;
            record_("extra copy of the last answer from " + rank.id + " on the same channel");
            channel->send(std::exchange(channel->extraAnswer, {}));
        }
    }

    void handle(int index, const ChannelPtr &channel, const Message &request)
    {
        auto &rank = ranks_[static_cast<std::size_t>(index)];
        finishCopy(rank);
        const bool hadExtra = !channel->extraAnswer.empty();
        sendExtra(rank, channel);
        if (const auto expected = request.header("Expect-Instance"); !expected.empty() && expected != rank.id) {
            channel->send(formatAnswer(421, {}, ""));
            return;
        }
        const auto path = request.path();
        if (path == "/-/order") {
            takeOrder(rank, channel, request, hadExtra);
        } else if (path == "/-/report") {
            answer(rank, channel, 200, rank.reports.empty() ? "{}" : rank.reports.front().second);
        } else if (path == "/-/picked") {
            answer(rank, channel, 200, picked(rank, !request.query("Lists").empty()).dump());
        } else {
            startStream(index, channel, request);
        }
    }

    Json picked(const Rank &rank, bool withLists) const
    {
        Json document = {{"step", step_}, {"epoch", 1}};
        if (!withLists) {
            document["Counts"] = rank.counts;
            return document;
        }
        document["Mapping"] = {{"Version", rank.version}, {"Experts", rank.experts}};
        if (rank.prepared) {
            document["Prepared"] = {{"Version", rank.prepared->version}, {"Experts", rank.prepared->experts}};
        }
        return document;
    }

    void takeOrder(Rank &rank, const ChannelPtr &channel, const Message &request, bool hadExtra)
    {
        ++counters_.orders;
        const auto order = Json::parse(request.body, nullptr, false);
        const auto text = order.value("Operation", "") + " version "
            + std::to_string(order.value("Version", std::uint64_t(0))) + " step "
            + std::to_string(order.value("step", std::uint64_t(0))) + " at " + rank.id;
        if (isTroubled() && draw(options_.trouble.lateShare)) {
            const double delay =
                std::uniform_real_distribution<double>(options_.trouble.lateFrom, options_.trouble.lateTo)(random_);
            ++counters_.lateOrders;
            counters_.extraBeforeLateOrder += hadExtra ? 1 : 0;
            record_("no answer to: " + text + (hadExtra ? " (behind an extra answer)" : ""));
            loop_.after(delay, [this, &rank, order, text] {
                record_("late: " + text + " -> " + std::to_string(carryOut(rank, order)));
            });
            return;
        }
        const int status = carryOut(rank, order);
        counters_.refusedOrders += status == 409 ? 1 : 0;
        record_("order: " + text + " -> " + std::to_string(status));
        answer(rank, channel, status, "{}");
    }

    int carryOut(Rank &rank, const Json &order)
    {
        const auto kind = order.value("Operation", "");
        const auto version = order.value("Version", std::uint64_t(0));
        const auto step = order.value("step", std::uint64_t(0));
        finishCopy(rank);
        if (order.value("epoch", 1) != 1) {
            return 409;
        }
        if (kind == "prepare") {
            return prepare(rank, version, order.at("Mapping"));
        }
        if (kind == "arm") {
            if (!rank.prepared || rank.prepared->version != version || step <= step_) {
                return 409;
            }
            if (rank.armed == std::pair(version, step)) {
                return 200;
            }
            rank.armed = {version, step};
            ++rank.sequence;
            return 202;
        }
        if (kind == "disarm") {
            if (rank.version == version) {
                return 409;
            }
            if (rank.armed && rank.armed->first == version) {
                rank.armed.reset();
                ++rank.sequence;
            }
            return 200;
        }
        if (kind == "Retention") {
            if (step <= step_ || (rank.held && *rank.held != step)) {
                return 409;
            }
            rank.held = step;
            ++rank.sequence;
            return 202;
        }
        if (kind == "go") {
            if (rank.held != step) {
                return 409;
            }
            rank.held.reset();
            ++rank.sequence;
            return 202;
        }
        return 400;
    }

    int prepare(Rank &rank, std::uint64_t version, const Json &mapping)
    {
        const bool isKnown = (rank.copying && rank.copying->version == version)
            || (rank.prepared && rank.prepared->version == version);
        if (isKnown) {
            return 200;
        }
        if (version <= rank.highest || rank.armed) {
            return 409;
        }
        Map map{.version = version, .experts = {}};
        int copies = 0;
        const auto index = static_cast<std::size_t>(&rank - ranks_.data());
        for (std::size_t set = 0; set < static_cast<std::size_t>(options_.sets); ++set) {
            map.experts.push_back(mapping.at(set).at(index).get<std::vector<int>>());
            int isNew = 0;
            for (const int expert : map.experts.back()) {
                const auto &has = rank.experts[set];
                isNew += std::find(has.begin(), has.end(), expert) == has.end() ? 1 : 0;
            }
            if (isNew > options_.spare) {
                return 409;
            }
            copies += isNew;
        }
        rank.highest = version;
        rank.prepared.reset();
        rank.copying = std::move(map);
        rank.copiedAt = secondsSinceStart() + copies * options_.expertMb * 8 / options_.linkMbps;
        ++rank.sequence;
        return 202;
    }

    void startStream(int index, const ChannelPtr &channel, const Message &request)
    {
        const auto id = request.header("Attempt-Id");
        const auto after = std::atoi(request.header("Last-Event-Id").c_str());
        ++counters_.streams;
        ++ranks_[static_cast<std::size_t>(index)].active;
        channel->send(formatHead("HTTP/1.1 200 OK",
                                 {{"Attempt-Id", id},
                                  {"Server-Seal", "seal." + ranks_[static_cast<std::size_t>(index)].id},
                                  {"Content-Type", "text/event-stream"},
                                  {"Keep-Alive", "timeout=30"},
                                  {"Transfer-Encoding", "chunked"}}));
        streams_.push_back({.channel = channel, .rank = index, .next = after + 1, .id = id});
    }

    Loop &loop_;
    Options options_;
    std::function<void(const std::string &)> record_;
    std::mt19937 random_;
    std::vector<Rank> ranks_;
    std::vector<std::vector<double>> liked_;
    std::vector<Stream> streams_;
    std::uint64_t step_ = 0;
    Counters counters_;
};

} // namespace net
