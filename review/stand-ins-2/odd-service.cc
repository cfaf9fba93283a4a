// A group of four ranks serves streams while the experts in demand change. Another writer adds an entry of a service that
// the config does not name; it states rank 0 of the group, at the address of rank 2.
//   odd-service RECORD IP FRONTEND[,FRONTEND...] READY[,READY...] odd|calm
#include "group.hh"

using namespace review;

namespace {

constexpr double lengthMs = 20000;
constexpr double oddAtMs = 6000;
constexpr double demandChangeMs = 3000;
constexpr int callersAtOnce = 8;

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

class World
{
public:
    World(Record &record, const std::string &ip, const std::vector<std::string> &frontends,
          std::vector<std::string> ready, bool hasOddEntry)
        : record_(record)
        , store_(loop_, ip + ":18223")
        , ready_(std::move(ready))
        , hasOddEntry_(hasOddEntry)
        , oddAddress_(ip + ":18302")
        , group_(loop_, record, store_,
                 {.service = "pool",
                  .ids = {"i-2f41a0c7", "i-5b19e3d2", "i-93c07a55", "i-d8e2f610"},
                  .addresses = {ip + ":18300", ip + ":18301", ip + ":18302", ip + ":18303"},
                  .zone = "a"})
    {
        for (const auto &frontend : frontends) {
            callers_.push_back(std::make_unique<HttpCaller>(loop_, frontend));
        }
        store_.put("op", "config",
                   Json{{"Version", 3},
                        {"Routes",
                         {{{"Name", "chat"},
                           {"Hostname", "case.example"},
                           {"Prefix", "/chat/"},
                           {"Type", "streaming"},
                           {"TimeoutMs", 8000},
                           {"TargetLatencyMs", 400},
                           {"GapTargetMs", 120},
                           {"Priority", 1},
                           {"Service", "pool"},
                           {"MaxAttempts", 2},
                           {"SessionAffinity", true},
                           {"Resumable", true},
                           {"Public", false}}}},
                        {"Services",
                         {{{"Name", "pool"},
                           {"HealthPath", "/healthz"},
                           {"MaxConnections", 328},
                           {"WarmupS", 3.0},
                           {"WarmupPerS", 38.0},
                           {"Engine", Group::engine()}}}},
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
        for (int i = 0; i < callersAtOnce; ++i) {
            loop_.after(i * 37, [this] { sendNext(); });
        }
        changeDemand(1);
        if (hasOddEntry_) {
            loop_.after(oddAtMs, [this] {
                auto entry = group_.entryOf(0, "former-pool", oddAddress_);
                store_.put("servers", "i-7a30bb19", entry.dump());
                record_.say("another writer adds servers/i-7a30bb19: %s", entry.dump().c_str());
            });
        }
        loop_.after(lengthMs, [this] { finish(); });
    }

    void changeDemand(std::size_t round)
    {
        group_.setLiked(round * 5 % Group::experts, (round * 5 + 4) % Group::experts);
        loop_.after(demandChangeMs, [this, round] { changeDemand(round + 1); });
    }

    void sendNext()
    {
        const auto id = "r" + std::to_string(++sent_);
        record_.line("sent %s", id.c_str());
        callers_[sent_ % callers_.size()]->call(
            "POST", "/chat/" + id,
            {{"Host", "case.example"},
             {"Attempt-Id", id},
             {"Deadline-Ms", "8000"},
             {"Credential", "key"},
             {"Model", "m"},
             {"Token-Count", "700,100"},
             {"Prefix-Hash", "5c1e07a2:40,9" + std::to_string(sent_) + ":660"}},
            "prompt", 8500, [this, id](int status, const Message &, const std::string &note) {
                record_.line("answered %s %d %s", id.c_str(), status, note.c_str());
                ++answers_[status];
                loop_.after(100, [this] { sendNext(); });
            });
    }

    void finish()
    {
        for (const auto &[status, count] : answers_) {
            record_.say("answers with status %d: %zu", status, count);
        }
        record_.say("%zu switches of the map, %zu passes with different maps of %llu", group_.switches(),
                    group_.violations(), static_cast<unsigned long long>(group_.step()));
        const bool hasRun = answers_[200] > 0 && group_.switches() > 1;
        result_ = group_.violations() > 0 ? 1 : hasRun ? 0 : 2;
        record_.say("%s", result_ == 2 ? "the case could not run" : result_ == 1 ? "MAP broken" : "MAP held");
        loop_.stop();
    }

    Record &record_;
    Loop loop_;
    Store store_;
    std::vector<std::string> ready_;
    bool hasOddEntry_;
    std::string oddAddress_;
    Group group_;
    std::vector<std::unique_ptr<HttpCaller>> callers_;
    std::vector<std::unique_ptr<HttpCaller>> probes_;
    std::size_t readyCount_ = 0;
    std::size_t sent_ = 0;
    std::map<int, std::size_t> answers_;
    int result_ = 2;
};

} // namespace

int main(int argc, char **argv)
{
    if (argc != 6) {
        return 2;
    }
    Record record(argv[1]);
    return World(record, argv[2], split(argv[3]), split(argv[4]), std::string(argv[5]) == "odd").run();
}
