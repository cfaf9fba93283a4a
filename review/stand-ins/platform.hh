// Stand-ins for the platform: its store, the starting and ending of entries, and its balancer's readiness checks.
#pragma once

#include "net.hh"

#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>

#include <condition_variable>
#include <fstream>
#include <optional>
#include <set>
#include <vector>

using Json = nlohmann::json;

inline std::string encodeBase64(const std::string &bytes)
{
    static const char *const letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            group = group << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text += i + k <= bytes.size() ? letters[group >> (18 - 6 * k) & 63] : '=';
        }
    }
    return text;
}

/** The platform's store: rows in tables, transactions, reads and the feed of changes. */
class Store
{
public:
    void listen(const std::string &ip, int port)
    {
        listenOn(ip, port, [this](Connection &connection, const Message &request) {
            return connection.send(handle(request));
        });
    }

    /** A write of the operator or of a server. */
    void put(const std::string &table, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(mutex_);
        rows_[{table, key}] = {.value = encodeBase64(value), .version = ++version_};
        changed_.notify_all();
    }

    void drop(const std::string &table, const std::string &key)
    {
        const std::lock_guard lock(mutex_);
        rows_[{table, key}] = {.value = "", .version = ++version_, .isRemoved = true};
        changed_.notify_all();
    }

private:
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
        bool isRemoved = false;
    };

    std::string handle(const Message &request)
    {
        const auto path = request.path();
        if (path == "/-/rows-get") {
            return read(request.target());
        }
        if (path == "/-/rows-feed") {
            return feed(request.target());
        }
        if (path == "/-/rows-tx") {
            return transact(request.body);
        }
        return jsonAnswer(404, "{}");
    }

    static std::int64_t nowMs()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now().time_since_epoch()).count();
    }

    Json describe(const std::string &table, const std::string &key, const Row &row) const
    {
        Json one = {{"Table", table}, {"part", ""}, {"Key", key}, {"SchemaVersion", row.version}};
        if (row.isRemoved) {
            one["Removed"] = true;
        } else {
            one["Value"] = row.value;
        }
        return one;
    }

    std::string read(const std::string &target)
    {
        const std::lock_guard lock(mutex_);
        const auto table = queryField(target, "Table");
        const auto from = queryField(target, "StartKey");
        const auto to = queryField(target, "To");
        const auto limitText = queryField(target, "Limit");
        const std::size_t limit = limitText.empty() ? 500 : std::min(500UL, std::stoul(limitText));
        Json rows = Json::array();
        bool hasMore = false;
        for (const auto &[name, row] : rows_) {
            if (name.first != table || row.isRemoved || name.second < from || (!to.empty() && name.second >= to)) {
                continue;
            }
            if (rows.size() == limit) {
                hasMore = true;
                break;
            }
            rows.push_back(describe(table, name.second, row));
        }
        const Json body = {{"Rows", rows}, {"HasMore", hasMore}, {"SchemaVersion", version_}, {"NowMs", nowMs()}};
        return jsonAnswer(200, body.dump());
    }

    std::string feed(const std::string &target)
    {
        const auto table = queryField(target, "Table");
        const auto since = std::stoull("0" + queryField(target, "SinceRevision"));
        const auto wait = std::min(30000ULL, std::stoull("0" + queryField(target, "WaitMs")));
        const auto until = Clock::now() + std::chrono::milliseconds(wait);
        std::unique_lock lock(mutex_);
        std::map<std::uint64_t, Json> changes;
        while (true) {
            for (const auto &[name, row] : rows_) {
                if (name.first == table && row.version > since) {
                    changes.emplace(row.version * 1000 + changes.size(), describe(table, name.second, row));
                }
            }
            if (!changes.empty() || changed_.wait_until(lock, until) == std::cv_status::timeout) {
                break;
            }
        }
        Json rows = Json::array();
        for (auto &[order, row] : changes) {
            rows.push_back(std::move(row));
        }
        return jsonAnswer(200, Json{{"Rows", rows}, {"SchemaVersion", version_}, {"NowMs", nowMs()}}.dump());
    }

    std::string transact(const std::string &body)
    {
        const auto document = Json::parse(body);
        const std::lock_guard lock(mutex_);
        const auto nameOf = [](const Json &row) {
            return std::pair(row.at("Table").get<std::string>(), row.at("Key").get<std::string>());
        };
        bool holds = true;
        Json present = Json::array();
        for (const auto &row : document.value("ExpectedRevision", Json::array())) {
            const auto found = rows_.find(nameOf(row));
            const bool isThere = found != rows_.end() && !found->second.isRemoved;
            holds = holds && row.at("SchemaVersion") == (isThere ? found->second.version : 0);
            if (isThere) {
                present.push_back(describe(found->first.first, found->first.second, found->second));
            }
        }
        if (!holds) {
            return jsonAnswer(412, Json{{"Rows", present}}.dump());
        }
        ++version_;
        for (const auto &row : document.value("Puts", Json::array())) {
            rows_[nameOf(row)] = {.value = row.at("Value").get<std::string>(), .version = version_};
        }
        for (const auto &row : document.value("Remove", Json::array())) {
            rows_[nameOf(row)] = {.value = "", .version = version_, .isRemoved = true};
        }
        changed_.notify_all();
        return jsonAnswer(200, Json{{"SchemaVersion", version_}, {"NowMs", nowMs()}}.dump());
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::pair<std::string, std::string>, Row> rows_;
    std::uint64_t version_ = 10;
};

/** One machine of the system with its entry, started with the command of the deploy file. */
class Entry
{
public:
    Entry(std::string name, std::string ip, std::string folder)
        : name_(std::move(name))
        , ip_(std::move(ip))
        , folder_(std::move(folder))
        , callerPort_(freePort(ip_))
        , readyPort_(freePort(ip_))
        , peerPort_(freePort(ip_))
    {
    }

    ~Entry()
    {
        end(SIGKILL);
    }

    void writeSettings(const std::string &storeAddress, const Json &bounds) const
    {
        const auto address = [this](int port) { return ip_ + ":" + std::to_string(port); };
        const Json settings = {
            {"NodeName", name_},
            {"Role", "entry"},
            {"MachineClass", "edge"},
            {"Serves", {"edge", "control"}},
            {"Ip", ip_},
            {"Zone", "a"},
            {"Region", "r"},
            {"Zones", {{"a", "r"}}},
            {"Listen", {{"Frontend", address(callerPort_)}, {"Ready", address(readyPort_)}}},
            {"InternalPorts", {peerPort_, peerPort_}},
            {"SeedNodes", Json::array()},
            {"Bootstrap", true},
            {"Limits", {{"CpuQuota", 0.25}, {"CpuCores", 1}, {"MemoryMb", 260}, {"MaxFds", 4100}}},
            {"HeartbeatMs", 1200},
            {"Bounds", bounds},
            {"Platform", {{"Address", storeAddress}, {"form", "table"}, {"WritesPerS", 400}, {"ReadsPerS", 2000}}}};
        std::ofstream(settingsPath()) << settings.dump(1);
    }

    void start()
    {
        const char *const program = std::getenv("ENTRY_PROGRAM");
        pid_ = fork();
        if (pid_ == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            // Far above the limit that the platform sets, so that no fault can use up the memory of this machine.
            const rlimit memory{.rlim_cur = 2UL << 30, .rlim_max = 2UL << 30};
            setrlimit(RLIMIT_AS, &memory);
            const int log = open((folder_ + "/" + name_ + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(log, STDOUT_FILENO);
            dup2(log, STDERR_FILENO);
            setenv("HORNBEAMLANE_CONFIG", settingsPath().c_str(), 1);
            execl(program, program, nullptr);
            _exit(127);
        }
        record("platform: %s started", name_.c_str());
    }

    void signal(int number) const
    {
        if (pid_ > 0) {
            kill(pid_, number);
        }
    }

    /** Ends the process and waits for that. */
    void end(int number)
    {
        if (pid_ > 0) {
            kill(pid_, number);
            waitpid(pid_, nullptr, 0);
            pid_ = -1;
        }
    }

    /** The state with which the process has ended; empty while it runs. */
    std::optional<int> ended()
    {
        int state = 0;
        if (pid_ > 0 && waitpid(pid_, &state, WNOHANG) == pid_) {
            pid_ = -1;
            return state;
        }
        return std::nullopt;
    }

    bool isReady() const
    {
        const int fd = Connection::connectTo(ip_, readyPort_);
        if (fd < 0) {
            return false;
        }
        Connection connection(fd);
        Message reply;
        return connection.send("GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n") && connection.readHead(reply, 1)
            && reply.status() == 200;
    }

    void awaitReady() const
    {
        for (int tries = 0; tries < 200; ++tries) {
            if (isReady()) {
                record("platform: %s is ready", name_.c_str());
                return;
            }
            sleepFor(0.05);
        }
        cannotRun(name_ + " is not ready in time");
    }

    const std::string &name() const
    {
        return name_;
    }

    const std::string &ip() const
    {
        return ip_;
    }

    pid_t pid() const
    {
        return pid_;
    }

    int callerPort() const
    {
        return callerPort_;
    }

    /** What the process has logged so far. */
    std::string log() const
    {
        std::ifstream file(folder_ + "/" + name_ + ".log");
        return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    }

private:
    std::string settingsPath() const
    {
        return folder_ + "/" + name_ + ".json";
    }

    std::string name_;
    std::string ip_;
    std::string folder_;
    int callerPort_;
    int readyPort_;
    int peerPort_;
    pid_t pid_ = -1;
};

/** The bounds of our small installations. */
inline Json usualBounds()
{
    return {{"SeedLagS", 3},       {"ReuseAfterS", 2},      {"ContactMs", 3000},      {"DrainMs", 2000},
            {"GraceS", 8},         {"LossSlackMs", 200},    {"ConfigApplyMs", 2000},  {"RetryBudgetRatio", 0.2},
            {"BudgetWindowS", 10}, {"RetryAllowance", 90},  {"WarmupOvershoot", 1.5}, {"WarmupSlack", 5},
            {"EvacuateMs", 5000},  {"RecoverS", 12},        {"ForwardMs", 120},       {"RetryAfterS", 0},
            {"stall_ms", 1500},    {"FencingEnforced", false}};
}

/** Set before anything starts, so that every end of the program ends the entries too. */
inline std::vector<Entry *> runningEntries;

[[noreturn]] inline void endAll(int status)
{
    for (auto *entry : runningEntries) {
        entry->end(SIGKILL);
    }
    record("exit %d", status);
    std::fflush(nullptr);
    _exit(status);
}

[[noreturn]] inline void cannotRun(const std::string &why)
{
    record("the case cannot run: %s", why.c_str());
    std::fprintf(stderr, "the case cannot run: %s\n", why.c_str());
    endAll(2);
}

inline bool hasTrouble()
{
    const char *const text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

/** A folder for the settings and logs of the entries, and an address of this run. */
struct Place
{
    std::string folder = std::getenv("WORK_FOLDER") == nullptr ? "/tmp" : std::getenv("WORK_FOLDER");
    std::string net = "127." + std::to_string(40 + getpid() % 150) + "." + std::to_string(1 + getpid() / 150 % 250);

    std::string ip(int host) const
    {
        return net + "." + std::to_string(host);
    }
};

inline void openRecord()
{
    const char *const path = std::getenv("RECORD");
    recordFile = std::fopen(path == nullptr ? "record.txt" : path, "w");
    if (recordFile == nullptr) {
        std::_Exit(2);
    }
    // A case lasts 120 seconds at most.
    std::thread([] {
        sleepUntil(115);
        cannotRun("it takes too long");
    }).detach();
}
