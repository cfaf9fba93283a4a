// An order crashes each server that begins to run it, and comes again. Counts how often it reaches servers later than
// ContactMs after it has crashed the third.
//   deadly-order RECORD IP FRONTEND[,FRONTEND...] READY[,READY...] at-once|later|calm
#include "record.hh"
#include "store.hh"

#include <random>

using namespace review;

namespace {

constexpr double contactMs = 3000;
constexpr std::size_t mostLateRetries = 3;

/** A server ends this long after it has begun to run the order; "later" is the variant in which it takes longer. */
constexpr double crashAfterMs = 3;
constexpr double laterCrashAfterMs = 60;
/** A crashed server is back after this time, under a new id; its entry of before goes after three intervals. */
constexpr double downMs = 2000;
constexpr double entryExpiryMs = 3600;

constexpr std::size_t serverCount = 6;
constexpr std::size_t slots = 12;
constexpr double lookupsPerSecond = 300;
constexpr double orderPauseMs = 1300;
constexpr double firstOrderMs = 2000;
constexpr double lengthMs = 40000;

struct Server
{
    std::string id;
    std::string address;
    std::unique_ptr<HttpServer> http;
    int life = 0;
};

class World
{
public:
    World(Record &record, const std::string &ip, const std::vector<std::string> &frontends,
          std::vector<std::string> ready, std::string variant)
        : record_(record)
        , store_(loop_, ip + ":18223")
        , ready_(std::move(ready))
        , variant_(std::move(variant))
        , servers_(serverCount)
    {
        for (const auto &frontend : frontends) {
            callers_.push_back(std::make_unique<HttpCaller>(loop_, frontend));
        }
        for (std::size_t i = 0; i < servers_.size(); ++i) {
            servers_[i].address = ip + ":" + std::to_string(18300 + i);
            startServer(i);
        }
        const auto route = [](const char *name, const char *prefix, const char *type, int attempts) {
            return Json{{"Name", name},       {"Hostname", "case.example"}, {"Prefix", prefix},
                        {"Type", type},       {"TimeoutMs", 800},           {"TargetLatencyMs", 150},
                        {"Priority", 2},      {"Service", "desk"},          {"MaxAttempts", attempts},
                        {"Public", false}};
        };
        store_.put("op", "config",
                   Json{{"Version", 3},
                        {"Routes",
                         {route("order", "/order/", "non_idempotent", 1), route("look", "/look/", "idempotent", 2)}},
                        {"Services",
                         {{{"Name", "desk"},
                           {"HealthPath", "/healthz"},
                           {"MaxConnections", 110},
                           {"WarmupS", 0.0},
                           {"WarmupPerS", 0.0}}}},
                        {"Limits",
                         {{"MaxHeaderBytes", 16384},
                          {"MaxBodyBytes", 4194304},
                          {"HeaderTimeoutMs", 3000},
                          {"IdleTimeoutMs", 15000}}},
                        {"Tenants", {{{"Name", "glue"}, {"ApiKeys", {"key"}}}, {{"Name", "pot"}, {"ApiKeys", {"key2"}}}}}}
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
    void startServer(std::size_t index)
    {
        auto &server = servers_[index];
        server.id = "i-" + std::to_string(1000 + 37 * ++started_);
        server.http = std::make_unique<HttpServer>(loop_, server.address,
                                                   [this, index](const auto &exchange) { handle(index, exchange); });
        store_.put("servers", server.id,
                   Json{{"Service", "desk"},
                        {"Address", server.address},
                        {"Zone", "a"},
                        {"Version", "v1"},
                        {"Slots", slots},
                        {"Phase", "ready"},
                        {"WarmupLeftMs", 0},
                        {"Sequence", 1},
                        {"born", unixMs()}}
                       .dump());
        record_.line("server %s starts at %s", server.id.c_str(), server.address.c_str());
    }

    void awaitReady(int tries)
    {
        if (tries > 100) {
            record_.say("the gateways are not ready; the case can't run");
            loop_.stop();
            return;
        }
        if (readyCount_ == ready_.size()) {
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
        sendLookup(0);
        if (variant_ != "calm") {
            loop_.after(firstOrderMs, [this] { sendOrder(); });
        }
        loop_.after(lengthMs, [this] { finish(); });
    }

    HttpCaller &anyCaller()
    {
        return *callers_[random_() % callers_.size()];
    }

    void sendLookup(std::uint64_t number)
    {
        const double due = startedAt_ + static_cast<double>(number) * 1000.0 / lookupsPerSecond;
        if (due > startedAt_ + lengthMs - 1000) {
            return;
        }
        loop_.after(std::max(0.0, due - nowMs()), [this, number] {
            const auto id = "l" + std::to_string(number);
            anyCaller().call("GET", "/look/" + id,
                             {{"Host", "case.example"},
                              {"Attempt-Id", id},
                              {"Deadline-Ms", "1500"},
                              {"Credential", number % 2 == 0 ? "key" : "key2"}},
                             "", 1600, [this](int status, const Message &, const std::string &) { ++lookups_[status]; });
            sendLookup(number + 1);
        });
    }

    void sendOrder()
    {
        if (nowMs() > startedAt_ + lengthMs - 2000) {
            return;
        }
        const auto id = "o" + std::to_string(++ordersSent_);
        record_.line("sent %s", id.c_str());
        anyCaller().call(
            "POST", "/order/deadly",
            {{"Host", "case.example"}, {"Attempt-Id", id}, {"Deadline-Ms", "1500"}, {"Credential", "key"}},
            "the order that crashes its server", 1600, [this, id](int status, const Message &, const std::string &note) {
                record_.line("answered %s %d %s", id.c_str(), status, note.c_str());
                ++orders_[status];
                loop_.after(orderPauseMs, [this] { sendOrder(); });
            });
    }

    void handle(std::size_t index, const std::shared_ptr<HttpServer::Exchange> &exchange)
    {
        auto &server = servers_[index];
        const auto &request = exchange->request;
        const auto id = request.value("Attempt-Id");
        if (request.second == "/healthz") {
            exchange->reply(200, {{"Instance-Id", server.id}}, "");
            return;
        }
        if (id.empty()) {
            exchange->reply(400, {{"Not-Executed", "1"}}, "");
            return;
        }
        if (request.value("Expect-Instance") != server.id) {
            exchange->reply(421, {{"Attempt-Id", id}}, "");
            return;
        }
        const int life = server.life;
        if (request.second == "/order/deadly") {
            noteArrival(id, server.id);
            loop_.after(variant_ == "later" ? laterCrashAfterMs : crashAfterMs, [this, index, life] {
                if (servers_[index].life == life) {
                    crash(index);
                }
            });
            return;
        }
        loop_.after(5 + static_cast<double>(random_() % 10), [this, index, life, exchange, id] {
            if (servers_[index].life == life) {
                exchange->reply(
                    200, {{"Attempt-Id", id}, {"Server-Seal", "seal." + id}, {"Keep-Alive", "timeout=10"}}, "answer");
            }
        });
    }

    void noteArrival(const std::string &id, const std::string &server)
    {
        ++arrivals_;
        const bool isLate = thirdCrashAt_ > 0 && nowMs() > thirdCrashAt_ + contactMs;
        lateArrivals_ += isLate ? 1 : 0;
        record_.line("%s begins to run at %s%s", id.c_str(), server.c_str(), isLate ? ", late" : "");
    }

    /** All channels of the process close, and its port refuses. */
    void crash(std::size_t index)
    {
        auto &server = servers_[index];
        record_.line("server %s has crashed", server.id.c_str());
        ++server.life;
        server.http.reset();
        if (++crashes_ == 3) {
            thirdCrashAt_ = nowMs();
            record_.line("it was the third");
        }
        loop_.after(downMs, [this, index] { startServer(index); });
        loop_.after(entryExpiryMs, [this, id = server.id] { store_.remove("servers", id); });
    }

    void finish()
    {
        for (const auto &[status, count] : lookups_) {
            record_.say("lookups answered with status %d: %zu", status, count);
        }
        for (const auto &[status, count] : orders_) {
            record_.say("the deadly order answered with status %d: %zu", status, count);
        }
        record_.say("it reached servers %zu times and crashed %zu; %zu times later than ContactMs after the third crash, "
                    "bound %zu",
                    arrivals_, crashes_, lateArrivals_, mostLateRetries);
        const bool hasRun = lookups_[200] > 0 && (variant_ == "calm" || crashes_ >= 2);
        result_ = !hasRun ? 2 : lateArrivals_ > mostLateRetries ? 1 : 0;
        record_.say("%s", result_ == 2 ? "the case could not run" : result_ == 1 ? "BUDGET broken" : "BUDGET held");
        loop_.stop();
    }

    Record &record_;
    Loop loop_;
    Store store_;
    std::vector<std::string> ready_;
    std::string variant_;
    std::vector<Server> servers_;
    std::vector<std::unique_ptr<HttpCaller>> callers_;
    std::vector<std::unique_ptr<HttpCaller>> probes_;
    std::size_t readyCount_ = 0;
    std::mt19937 random_{std::random_device()()};
    double startedAt_ = 0;
    double thirdCrashAt_ = 0;
    int started_ = 0;
    std::size_t ordersSent_ = 0;
    std::size_t arrivals_ = 0;
    std::size_t lateArrivals_ = 0;
    std::size_t crashes_ = 0;
    std::map<int, std::size_t> lookups_;
    std::map<int, std::size_t> orders_;
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
