// The platform's store as PROTOCOL.md describes it: rows in tables, conditional transactions, a feed of changes.
#pragma once

#include "http.hh"

#include <nlohmann/json.hpp>

namespace review {

using Json = nlohmann::json;

inline std::string encodeBase64(const std::string &bytes)
{
    static const char *const letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned value = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            value = value << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            text += i + j <= bytes.size() ? letters[value >> (18 - 6 * j) & 63U] : '=';
        }
    }
    return text;
}

class Store
{
public:
    /** Time of an answer, as the sites state it. */
    static constexpr double answerMs = 4;

    Store(Loop &loop, const std::string &address)
        : loop_(loop)
        , server_(loop, address, [this](const auto &exchange) { handle(exchange); })
    {
    }

    /** Writes of the operator and of the servers; the confirmation comes with the return. */
    void put(const std::string &table, const std::string &key, const std::string &value)
    {
        rows_[{table, key}] = {encodeBase64(value), ++version_, false};
        wake();
    }

    void remove(const std::string &table, const std::string &key)
    {
        const auto found = rows_.find({table, key});
        if (found != rows_.end()) {
            found->second = {"", ++version_, true};
            wake();
        }
    }

    /** While it is down, each call gets 503. */
    void setDown(bool isDown)
    {
        isDown_ = isDown;
        if (isDown_) {
            for (const auto &waiter : std::exchange(waiters_, {})) {
                waiter.exchange->reply(503, {}, "");
            }
        }
    }

    /** Called for each row of the system's own that is written. */
    std::function<void(const std::string &table, const std::string &key)> written;

private:
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
        bool isRemoved = false;
    };

    struct Waiter
    {
        std::shared_ptr<HttpServer::Exchange> exchange;
        std::string table;
        std::uint64_t since = 0;
        double until = 0;
    };

    static std::string query(const std::string &target, const std::string &name)
    {
        auto at = target.find('?');
        while (at != std::string::npos) {
            const auto end = target.find('&', at + 1);
            const auto part = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
            if (part.compare(0, name.size() + 1, name + "=") == 0) {
                std::string value;
                for (std::size_t i = name.size() + 1; i < part.size(); ++i) {
                    if (part[i] == '%' && i + 2 < part.size()) {
                        value += static_cast<char>(std::strtol(part.substr(i + 1, 2).c_str(), nullptr, 16));
                        i += 2;
                    } else {
                        value += part[i];
                    }
                }
                return value;
            }
            at = end;
        }
        return "";
    }

    void reply(const std::shared_ptr<HttpServer::Exchange> &exchange, int status, Json body)
    {
        body["NowMs"] = static_cast<std::uint64_t>(nowMs());
        loop_.after(answerMs, [exchange, status, text = body.dump()] {
            exchange->reply(status, {{"Content-Type", "application/json"}}, text);
        });
    }

    Json rowJson(const std::pair<std::string, std::string> &name, const Row &row) const
    {
        Json json = {{"Table", name.first}, {"part", ""}, {"Key", name.second}, {"SchemaVersion", row.version}};
        if (row.isRemoved) {
            json["Removed"] = true;
        } else {
            json["Value"] = row.value;
        }
        return json;
    }

    void handle(const std::shared_ptr<HttpServer::Exchange> &exchange)
    {
        const auto &target = exchange->request.second;
        if (isDown_) {
            exchange->reply(503, {}, "");
            return;
        }
        if (target.rfind("/-/rows-get", 0) == 0) {
            get(exchange, target);
        } else if (target.rfind("/-/rows-feed", 0) == 0) {
            const Waiter waiter{exchange, query(target, "Table"),
                                std::strtoull(query(target, "SinceRevision").c_str(), nullptr, 10),
                                nowMs() + std::atof(query(target, "WaitMs").c_str())};
            if (!answerFeed(waiter)) {
                waiters_.push_back(waiter);
                loop_.after(std::max(1.0, waiter.until - nowMs() + 1), [this] { wake(); });
            }
        } else if (target.rfind("/-/rows-tx", 0) == 0) {
            transact(exchange);
        } else {
            reply(exchange, 404, Json::object());
        }
    }

    void get(const std::shared_ptr<HttpServer::Exchange> &exchange, const std::string &target)
    {
        const auto table = query(target, "Table");
        const auto start = query(target, "StartKey");
        const auto to = query(target, "To");
        const auto limitText = query(target, "Limit");
        const std::size_t limit = limitText.empty() ? 500 : std::min<std::size_t>(500, std::stoul(limitText));
        auto list = Json::array();
        bool hasMore = false;
        for (const auto &[name, row] : rows_) {
            if (name.first != table || row.isRemoved || name.second < start || (!to.empty() && name.second >= to)) {
                continue;
            }
            if (list.size() == limit) {
                hasMore = true;
                break;
            }
            list.push_back(rowJson(name, row));
        }
        reply(exchange, 200, {{"Rows", list}, {"HasMore", hasMore}, {"SchemaVersion", version_}});
    }

    bool answerFeed(const Waiter &waiter)
    {
        std::vector<std::pair<std::uint64_t, Json>> changed;
        for (const auto &[name, row] : rows_) {
            if (name.first == waiter.table && row.version > waiter.since) {
                changed.emplace_back(row.version, rowJson(name, row));
            }
        }
        if (changed.empty() && nowMs() < waiter.until) {
            return false;
        }
        std::sort(changed.begin(), changed.end(), [](const auto &a, const auto &b) { return a.first < b.first; });
        auto list = Json::array();
        for (auto &[version, row] : changed) {
            list.push_back(std::move(row));
        }
        reply(waiter.exchange, 200, {{"Rows", list}, {"SchemaVersion", version_}});
        return true;
    }

    void wake()
    {
        for (auto &waiter : std::exchange(waiters_, {})) {
            if (waiter.exchange->isOpen() && !answerFeed(waiter)) {
                waiters_.push_back(std::move(waiter));
            }
        }
    }

    void transact(const std::shared_ptr<HttpServer::Exchange> &exchange)
    {
        const auto body = Json::parse(exchange->request.body, nullptr, false);
        if (!body.is_object()) {
            reply(exchange, 400, Json::object());
            return;
        }
        const auto nameOf = [](const Json &row) {
            return std::pair(row.value("Table", std::string()), row.value("Key", std::string()));
        };
        auto current = Json::array();
        bool holds = true;
        for (const auto &condition : body.value("ExpectedRevision", Json::array())) {
            const auto found = rows_.find(nameOf(condition));
            const bool isThere = found != rows_.end() && !found->second.isRemoved;
            if (isThere) {
                current.push_back(rowJson(found->first, found->second));
            }
            holds = holds
                && condition.value("SchemaVersion", std::uint64_t(0)) == (isThere ? found->second.version : 0);
        }
        if (!holds) {
            reply(exchange, 412, {{"Rows", current}, {"SchemaVersion", version_}});
            return;
        }
        ++version_;
        std::vector<std::pair<std::string, std::string>> names;
        for (const auto &put : body.value("Puts", Json::array())) {
            rows_[nameOf(put)] = {put.value("Value", std::string()), version_, false};
            names.push_back(nameOf(put));
        }
        for (const auto &drop : body.value("Remove", Json::array())) {
            if (const auto found = rows_.find(nameOf(drop)); found != rows_.end()) {
                found->second = {"", version_, true};
            }
        }
        reply(exchange, 200, {{"SchemaVersion", version_}});
        for (const auto &name : names) {
            if (written) {
                written(name.first, name.second);
            }
        }
        wake();
    }

    Loop &loop_;
    HttpServer server_;
    std::map<std::pair<std::string, std::string>, Row> rows_;
    std::vector<Waiter> waiters_;
    std::uint64_t version_ = 0;
    bool isDown_ = false;
};

} // namespace review
