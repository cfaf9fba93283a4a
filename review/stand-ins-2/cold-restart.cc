// A server ends and starts again under its id, cold, while the store is down. Counts what it gets while it is cold.
//   cold-restart RECORD IP FRONTEND[,FRONTEND...] READY[,READY...] outage|crash|calm
#include "record.hh"
#include "store.hh"

#include <array>
#include <deque>

using namespace review;

namespace {

constexpr double warmupMs = 3000;
constexpr double warmupPerSecond = 15;
constexpr double warmupOvershoot = 1.5;
constexpr double warmupSlack = 5;
constexpr double bound = warmupPerSecond * warmupOvershoot + warmupSlack;

constexpr double requestsPerSecond = 300;
constexpr double workMs = 30;
constexpr std::size_t slots = 12;
/** The store is down from and to these times, and the server from and to those. */
constexpr double outageFromMs = 4000;
constexpr double outageToMs = 12000;
constexpr double downFromMs = 5000;
constexpr double downToMs = 7000;
constexpr double lengthMs = 15000;

struct Arrival
{
    double sentAt;
    double arrivedAt;
};

struct Server
{
    std::string id;
    std::string zone;
    std::string address;
    std::unique_ptr<HttpServer> http;
    std::size_t running = 0;
    std::deque<std::function<void()>> queue;
    double coldSince = 0;
    std::int64_t born = unixMs();
    int life = 0;
    std::vector<Arrival> arrivals;
    std::size_t runs = 0;
};

class World
{
public:
    World(Record &record, const std::string &ip, std::vector<std::string> frontends, std::vector<std::string> ready,
          std::string variant)
        : record_(record)
        , store_(loop_, ip + ":18223")
        , ready_(std::move(ready))
        , variant_(std::move(variant))
    {
        for (const auto &frontend : frontends) {
            callers_.push_back(std::make_unique<HttpCaller>(loop_, frontend));
        }
        const std::array<const char *, 3> zones = {"a", "b", "b"};
        servers_.resize(zones.size());
        for (std::size_t i = 0; i < servers_.size(); ++i) {
            auto &server = servers_[i];
            server.id = "i-" + std::string(zones[i]) + std::to_string(i);
            server.zone = zones[i];
            server.address = ip + ":" + std::to_string(18300 + i);
            server.http = std::make_unique<HttpServer>(loop_, server.address,
                                                       [this, i](const auto &exchange) { handle(i, exchange); });
            writeEntry(server, 0);
        }
        store_.put("op", "config",
                   Json{{"Version", 3},
                        {"Routes",
                         {{{"Name", "look"},
                           {"Hostname", "case.example"},
                           {"Prefix", "/look/"},
                           {"Type", "idempotent"},
                           {"TimeoutMs", 1500},
                           {"TargetLatencyMs", 150},
                           {"Priority", 2},
                           {"Service", "desk"},
                           {"MaxAttempts", 2},
                           {"Public", false}}}},
                        {"Services",
                         {{{"Name", "desk"},
                           {"HealthPath", "/healthz"},
                           {"MaxConnections", 400},
                           {"WarmupS", warmupMs / 1000},
                           {"WarmupPerS", warmupPerSecond}}}},
                        {"Limits",
                         {{"MaxHeaderBytes", 16384},
                          {"MaxBodyBytes", 4194304},
                          {"HeaderTimeoutMs", 3000},
                          {"IdleTimeoutMs", 15000}}},
                        {"Tenants", {{{"Name", "glue"}, {"ApiKeys", {"key"}}}}}}
                       .dump());
    }

    int run()
    {
        std::printf("listening\n");
        std::fflush(stdout);
        awaitReady(0);
        loop_.run();
        return result_;
    }

private:
    void writeEntry(const Server &server, double warmupLeftMs)
    {
        store_.put("servers", server.id,
                   Json{{"Service", "desk"},
                        {"Address", server.address},
                        {"Zone", server.zone},
                        {"Version", "v1"},
                        {"Slots", slots},
                        {"Phase", "ready"},
                        {"WarmupLeftMs", static_cast<int>(warmupLeftMs)},
                        {"Sequence", ++sequence_},
                        {"born", server.born}}
                       .dump());
    }

    void awaitReady(int tries)
    {
        if (tries > 100) {
            record_.say("the gateways are not ready; the case can't run");
            result_ = 2;
            loop_.stop();
            return;
        }
        if (readyCount_ == ready_.size()) {
            record_.line("ready; traffic starts");
            start();
            return;
        }
        readyCount_ = 0;
        probes_.clear();
        for (const auto &address : ready_) {
            probes_.push_back(std::make_unique<HttpCaller>(loop_, address));
            probes_.back()->call("GET", "/-/readyz", {{"Host", address}}, "", 80,
                                 [this](int status, const Message &, const std::string &) {
                                     readyCount_ += status == 200 ? 1 : 0;
                                 });
        }
        loop_.after(100, [this, tries] { awaitReady(tries + 1); });
    }

    void start()
    {
        startedAt_ = nowMs();
        sendNext(0);
        if (variant_ == "outage") {
            loop_.after(outageFromMs, [this] {
                record_.line("the store is down: each call gets 503");
                store_.setDown(true);
            });
            loop_.after(outageToMs, [this] {
                record_.line("the store is back");
                store_.setDown(false);
                writeEntry(servers_[1], std::max(0.0, coldLeft(servers_[1])));
            });
        }
        if (variant_ != "calm") {
            loop_.after(downFromMs, [this] { endServer(); });
            loop_.after(downToMs, [this] { startServer(); });
        }
        loop_.after(lengthMs, [this] { finish(); });
    }

    /** As a process that is killed: its channels close, and its port refuses. */
    void endServer()
    {
        auto &server = servers_[1];
        record_.line("server %s is killed", server.id.c_str());
        server.http.reset();
        server.running = 0;
        server.queue.clear();
        ++server.life;
    }

    void startServer()
    {
        auto &server = servers_[1];
        record_.line("server %s starts again, cold", server.id.c_str());
        server.coldSince = nowMs();
        server.born = unixMs();
        server.http = std::make_unique<HttpServer>(loop_, server.address,
                                                   [this](const auto &exchange) { handle(1, exchange); });
        if (variant_ != "outage") {
            writeEntry(server, warmupMs);
        }
    }

    void sendNext(std::uint64_t number)
    {
        const double due = startedAt_ + static_cast<double>(number) * 1000.0 / requestsPerSecond;
        if (due > startedAt_ + lengthMs - 2000) {
            return;
        }
        loop_.after(std::max(0.0, due - nowMs()), [this, number] {
            const auto id = "r" + std::to_string(number);
            sentAt_[id] = nowMs();
            ++sent_;
            record_.line("sent %s", id.c_str());
            callers_[number % callers_.size()]->call(
                "GET", "/look/" + id,
                {{"Host", "case.example"}, {"Attempt-Id", id}, {"Deadline-Ms", "1500"}, {"Credential", "key"}}, "",
                1600, [this, id](int status, const Message &, const std::string &note) {
                    record_.line("answered %s %d %s", id.c_str(), status, note.c_str());
                    ++answers_[status];
                });
            sendNext(number + 1);
        });
    }

    void handle(std::size_t index, const std::shared_ptr<HttpServer::Exchange> &exchange)
    {
        auto &server = servers_[index];
        const auto &request = exchange->request;
        const auto id = request.value("Attempt-Id");
        if (request.second == "/healthz") {
            Headers headers = {{"Instance-Id", server.id}};
            if (const double left = coldLeft(server); left > 0) {
                headers.emplace_back("Warmup-Ms", std::to_string(static_cast<int>(left)));
            }
            exchange->reply(200, headers, "");
            return;
        }
        if (id.empty()) {
            exchange->reply(400, {{"Not-Executed", "1"}}, "");
            return;
        }
        if (const auto *expected = request.header("Expect-Instance"); expected != nullptr && *expected != server.id) {
            exchange->reply(421, {{"Attempt-Id", id}}, "");
            return;
        }
        record_.line("arrived %s at %s%s", id.c_str(), server.id.c_str(), coldLeft(server) > 0 ? " cold" : "");
        if (coldLeft(server) > 0) {
            server.arrivals.push_back({sentAt_[id], nowMs()});
        }
        const auto work = [this, index, exchange, id] {
            auto &self = servers_[index];
            ++self.running;
            ++self.runs;
            loop_.after(workMs, [this, index, exchange, id, life = self.life] {
                auto &done = servers_[index];
                if (done.life != life) {
                    return;
                }
                --done.running;
                exchange->reply(200,
                                {{"Attempt-Id", id},
                                 {"Server-Seal", "seal." + id},
                                 {"Keep-Alive", "timeout=10"},
                                 {"Server-Load",
                                  std::to_string(done.running) + "," + std::to_string(done.queue.size()) + ","
                                      + std::to_string(slots)}},
                                "answer to " + id);
                if (!done.queue.empty()) {
                    const auto next = std::move(done.queue.front());
                    done.queue.pop_front();
                    next();
                }
            });
        };
        if (server.running < slots) {
            work();
        } else if (server.queue.size() < 2 * slots) {
            server.queue.push_back(work);
        } else {
            exchange->reply(503, {{"Attempt-Id", id}, {"Not-Executed", "1"}}, "");
        }
    }

    static double coldLeft(const Server &server)
    {
        return server.coldSince > 0 ? server.coldSince + warmupMs - nowMs() : 0;
    }

    /** Most requests that were sent and arrived within one second. */
    static std::size_t mostInOneSecond(const Server &server)
    {
        std::size_t most = 0;
        for (const auto &first : server.arrivals) {
            const double from = std::max(first.sentAt, server.coldSince);
            std::size_t count = 0;
            for (const auto &arrival : server.arrivals) {
                count += arrival.sentAt >= from && arrival.arrivedAt <= from + 1000 ? 1 : 0;
            }
            most = std::max(most, count);
        }
        return most;
    }

    void finish()
    {
        for (const auto &[status, count] : answers_) {
            record_.say("answers with status %d: %zu of %zu", status, count, sent_);
        }
        bool isBroken = false;
        for (const auto &server : servers_) {
            if (server.coldSince > 0) {
                const auto most = mostInOneSecond(server);
                record_.say("cold server %s: at most %zu requests in one second, bound %.1f", server.id.c_str(), most,
                            bound);
                isBroken = isBroken || static_cast<double>(most) > bound;
            }
        }
        const bool hasRun = answers_[200] > sent_ / 2;
        result_ = !hasRun ? 2 : isBroken ? 1 : 0;
        record_.say("%s", result_ == 2 ? "the case could not run" : isBroken ? "FAILBACK broken" : "FAILBACK held");
        loop_.stop();
    }

    Record &record_;
    Loop loop_;
    Store store_;
    std::vector<std::string> ready_;
    std::string variant_;
    std::vector<std::unique_ptr<HttpCaller>> callers_;
    std::vector<std::unique_ptr<HttpCaller>> probes_;
    std::size_t readyCount_ = 0;
    std::vector<Server> servers_;
    int sequence_ = 0;
    double startedAt_ = 0;
    std::size_t sent_ = 0;
    std::map<std::string, double> sentAt_;
    std::map<int, std::size_t> answers_;
    int result_ = 2;
};

std::vector<std::string> split(const std::string &text)
{
    std::vector<std::string> parts;
    std::size_t start = 0;
    while (start <= text.size()) {
        const auto end = std::min(text.find(',', start), text.size());
        parts.push_back(text.substr(start, end - start));
        start = end + 1;
    }
    return parts;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 6) {
        return 2;
    }
    Record record(argv[1]);
    return World(record, argv[2], split(argv[3]), split(argv[4]), argv[5]).run();
}
