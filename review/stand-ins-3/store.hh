// Stand-in of the platform's store: rows in tables, transactions, ranges and feeds, without faults.
#pragma once

#include "net.hh"

#include <nlohmann/json.hpp>

namespace net {

using Json = nlohmann::json;

inline std::string base64(const std::string &bytes)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned value = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            value = value << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            text += i + j <= bytes.size() ? digits[value >> (18 - 6 * j) & 63] : '=';
        }
    }
    return text;
}

class Store
{
public:
    explicit Store(Loop &loop)
        : loop_(loop)
    {
        loop_.every(0.05, [this] { wake(); });
    }

    int listen(const std::string &ip, int port)
    {
        return serve(loop_, ip, port,
                     [this](const ChannelPtr &channel, const Message &request) { handle(channel, request); });
    }

    void put(const std::string &table, const std::string &key, const std::string &value)
    {
        rows_[{table, key}] = {.value = base64(value), .version = ++version_, .isRemoved = false};
        wake();
    }

private:
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
        bool isRemoved = false;
    };

    struct Waiter
    {
        ChannelPtr channel;
        std::string table;
        std::uint64_t since = 0;
        double until = 0;
    };

    using Name = std::pair<std::string, std::string>;

    static std::int64_t nowMs()
    {
        return static_cast<std::int64_t>(secondsSinceStart() * 1000);
    }

    Json rowOf(const Name &name, const Row &row) const
    {
        Json one = {{"Table", name.first}, {"part", ""}, {"Key", name.second}, {"SchemaVersion", row.version}};
        row.isRemoved ? one["Removed"] = true : one["Value"] = row.value;
        return one;
    }

    void reply(const ChannelPtr &channel, int status, Json document)
    {
        document["SchemaVersion"] = version_;
        document["NowMs"] = nowMs();
        channel->send(formatAnswer(status, {{"Content-Type", "application/json"}}, document.dump()));
    }

    void handle(const ChannelPtr &channel, const Message &request)
    {
        const auto path = request.path();
        if (path == "/-/rows-get") {
            readRange(channel, request);
        } else if (path == "/-/rows-feed") {
            waiters_.push_back({.channel = channel,
                                .table = request.query("Table"),
                                .since = std::strtoull(request.query("SinceRevision").c_str(), nullptr, 10),
                                .until = secondsSinceStart() + std::atof(request.query("WaitMs").c_str()) / 1000});
            wake();
        } else if (path == "/-/rows-tx") {
            transact(channel, Json::parse(request.body, nullptr, false));
        } else {
            reply(channel, 404, Json::object());
        }
    }

    void readRange(const ChannelPtr &channel, const Message &request)
    {
        const auto limit = std::max(1, std::atoi(request.query("Limit").c_str()));
        auto rows = Json::array();
        bool hasMore = false;
        for (const auto &[name, row] : rows_) {
            if (name.first != request.query("Table") || row.isRemoved || name.second < request.query("StartKey")) {
                continue;
            }
            if (static_cast<int>(rows.size()) >= limit) {
                hasMore = true;
                break;
            }
            rows.push_back(rowOf(name, row));
        }
        reply(channel, 200, {{"Rows", rows}, {"HasMore", hasMore}});
    }

    void transact(const ChannelPtr &channel, const Json &document)
    {
        const auto nameOf = [](const Json &row) { return Name(row.value("Table", ""), row.value("Key", "")); };
        for (const auto &row : document.value("ExpectedRevision", Json::array())) {
            const auto found = rows_.find(nameOf(row));
            const auto present = found == rows_.end() || found->second.isRemoved ? 0 : found->second.version;
            if (present != row.value("SchemaVersion", std::uint64_t(0))) {
                reply(channel, 412, {{"Rows", Json::array()}});
                return;
            }
        }
        ++version_;
        for (const auto &row : document.value("Puts", Json::array())) {
            rows_[nameOf(row)] = {.value = row.value("Value", ""), .version = version_, .isRemoved = false};
        }
        for (const auto &row : document.value("Remove", Json::array())) {
            rows_[nameOf(row)] = {.value = "", .version = version_, .isRemoved = true};
        }
        reply(channel, 200, Json::object());
        wake();
    }

    void wake()
    {
        std::vector<Waiter> left;
        for (auto &waiter : waiters_) {
            std::map<std::pair<std::uint64_t, Name>, Json> changed;
            for (const auto &[name, row] : rows_) {
                if (name.first == waiter.table && row.version > waiter.since) {
                    changed[{row.version, name}] = rowOf(name, row);
                }
            }
            auto rows = Json::array();
            for (auto &[at, row] : changed) {
                rows.push_back(std::move(row));
            }
            if (rows.empty() && secondsSinceStart() < waiter.until) {
                left.push_back(waiter);
            } else if (waiter.channel->isOpen()) {
                reply(waiter.channel, 200, {{"Rows", rows}});
            }
        }
        waiters_ = std::move(left);
    }

    Loop &loop_;
    std::map<Name, Row> rows_;
    std::vector<Waiter> waiters_;
    std::uint64_t version_ = 0;
};

} // namespace net
