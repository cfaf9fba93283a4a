// Store, two plain servers and callers that read their answers slowly, for the review case of slow readers.
//   reader-world --ports N                              prints N free ports
//   reader-world STORE_PORT TROUBLE RECORD GATEWAY      GATEWAY is IP:PORT of the entry
#include "store.hh"

#include <fstream>

namespace {

using namespace net;

const char *const ip = "127.0.0.1";

constexpr int callers = 6;
/** Time for which a slow reader takes nothing; less than the time that it waits in all. */
constexpr double pause = 6;
constexpr double patience = 8;
/** Largest answer of the plain services in the site files. */
constexpr std::size_t answerBytes = 4800;
constexpr int receiveBuffer = 2048;

std::string configuration()
{
    return Json{{"Version", 7},
                {"Routes",
                 {{{"Name", "stock-check"},
                   {"Hostname", "coop.example"},
                   {"Prefix", "/stock/"},
                   {"Service", "orders-desk"},
                   {"Type", "idempotent"},
                   {"TimeoutMs", 8000},
                   {"TargetLatencyMs", 150},
                   {"MaxAttempts", 2},
                   {"Priority", 2}}}},
                {"Services",
                 {{{"Name", "orders-desk"}, {"HealthPath", "/healthz"}, {"MaxConnections", 110}, {"WarmupS", 0}}}},
                {"Tenants", {{{"Name", "glue"}, {"ApiKeys", {"key"}}}}},
                {"Limits",
                 {{"MaxHeaderBytes", 16384},
                  {"MaxBodyBytes", 4194304},
                  {"HeaderTimeoutMs", 3000},
                  {"IdleTimeoutMs", 15000}}}}
        .dump();
}

using Record = std::function<void(const std::string &)>;

/** A sound server: answers each request at once, with a short body or with the longest one. */
class Server
{
public:
    Server(Loop &loop, std::string id, Record record)
        : loop_(loop)
        , id_(std::move(id))
        , record_(std::move(record))
    {
    }

    bool start(Store &store)
    {
        const int port = serve(loop_, ip, 0, [this](const ChannelPtr &channel, const Message &request) {
            if (request.header("Expect-Instance") != id_) {
                channel->send(formatAnswer(421, {}, ""));
                return;
            }
            const bool isLong = request.path() == "/stock/long";
            const auto id = request.header("Attempt-Id");
            const std::string body(isLong ? answerBytes : 16, 'x');
            record_("run: " + id + " at " + id_ + ", answered with " + std::to_string(body.size()) + " bytes");
            channel->send(formatAnswer(
                200, {{"Attempt-Id", id}, {"Server-Seal", "seal." + id_}, {"Keep-Alive", "timeout=15"}}, body));
        });
        store.put("servers", id_,
                  Json{{"Service", "orders-desk"},
                       {"Address", std::string(ip) + ":" + std::to_string(port)},
                       {"Zone", "a"},
                       {"Version", "v1"},
                       {"Slots", 6},
                       {"Phase", "ready"},
                       {"WarmupLeftMs", 0},
                       {"Sequence", 1},
                       {"born", 1700000000000}}
                      .dump());
        return port != 0;
    }

private:
    Loop &loop_;
    std::string id_;
    Record record_;
};

/** Sends a short request, keeps the channel, sends another one on it and reads that answer late. */
class Caller
{
public:
    enum class Outcome { None, Whole, Cut };

    Caller(Loop &loop, int number, bool isSlow, Record record)
        : loop_(loop)
        , name_("c" + std::to_string(number))
        , isSlow_(isSlow)
        , record_(std::move(record))
    {
    }

    void start(const std::string &gatewayIp, int port)
    {
        channel_ = loop_.connect(gatewayIp, port, receiveBuffer);
        channel_->onData = [this] { takeAnswer(); };
        channel_->onClosed = [this] { end(Outcome::Cut, "channel ended without the whole answer"); };
        send("/stock/short", "a1");
    }

    Outcome outcome() const
    {
        return outcome_;
    }
    bool hasKeptChannel() const
    {
        return isKept_;
    }

private:
    void send(const std::string &path, const std::string &attempt)
    {
        sentAt_ = secondsSinceStart();
        record_("sent: " + name_ + attempt + " " + path);
        channel_->send(formatHead("GET " + path + " HTTP/1.1", {{"Host", "coop.example"},
                                                                {"Attempt-Id", name_ + attempt},
                                                                {"Deadline-Ms", "8000"},
                                                                {"Credential", "key"}}));
    }

    void takeAnswer()
    {
        Message answer;
        if (channel_->in.take(answer) != Parser::State::Done) {
            return;
        }
        record_("answered: " + name_ + " status " + std::to_string(answer.status()) + ", "
                + std::to_string(answer.body.size()) + " bytes");
        if (isKept_) {
            const bool isWhole = answer.status() == 200 && answer.body.size() == answerBytes;
            end(isWhole ? Outcome::Whole : Outcome::Cut, isWhole ? "whole answer" : "another answer");
            return;
        }
        isKept_ = answer.status() == 200;
        send("/stock/long", "a2");
        if (isSlow_) {
            channel_->isPaused = true;
            loop_.after(pause, [this] {
                record_("reads on: " + name_);
                channel_->isPaused = false;
            });
        }
        loop_.after(patience, [this] { end(Outcome::Cut, "no whole answer within 8 s"); });
    }

    void end(Outcome outcome, const std::string &text)
    {
        if (outcome_ != Outcome::None) {
            return;
        }
        outcome_ = outcome;
        char after[32];
        std::snprintf(after, sizeof(after), " after %.3f s", secondsSinceStart() - sentAt_);
        record_("outcome: " + name_ + " " + text + after);
    }

    Loop &loop_;
    std::string name_;
    bool isSlow_;
    Record record_;
    ChannelPtr channel_;
    double sentAt_ = 0;
    bool isKept_ = false;
    Outcome outcome_ = Outcome::None;
};

} // namespace

int main(int argc, char **argv)
{
    Loop loop;
    if (argc == 3 && std::string(argv[1]) == "--ports") {
        for (int i = 0; i < std::atoi(argv[2]); ++i) {
            std::printf("%d\n", loop.listen(ip, 0, [](const ChannelPtr &) {}));
        }
        return 0;
    }
    if (argc != 5) {
        std::fprintf(stderr, "see the head of the source for the arguments\n");
        return 2;
    }
    std::ofstream file(argv[3]);
    const Record record = [&file](const std::string &line) {
        char time[32];
        std::snprintf(time, sizeof(time), "%8.3f ", secondsSinceStart());
        file << time << line << "\n";
    };
    Store store(loop);
    Server first(loop, "i-desk-1", record);
    Server second(loop, "i-desk-2", record);
    if (store.listen(ip, std::atoi(argv[1])) == 0 || !first.start(store) || !second.start(store)) {
        return 2;
    }
    store.put("op", "config", configuration());
    const std::string gateway = argv[4];
    const auto colon = gateway.find(':');
    std::vector<std::unique_ptr<Caller>> all;
    for (int i = 0; i < callers; ++i) {
        all.push_back(std::make_unique<Caller>(loop, i, std::string(argv[2]) != "0", record));
        loop.after(3 + 0.1 * i, [&, caller = all.back().get()] {
            caller->start(gateway.substr(0, colon), std::atoi(gateway.c_str() + colon + 1));
        });
    }
    loop.after(3 + callers * 0.1 + patience + 1, [&loop] { loop.stop(); });
    std::printf("listening\n");
    std::fflush(stdout);
    loop.run();
    int kept = 0;
    int cut = 0;
    for (const auto &caller : all) {
        kept += caller->hasKeptChannel() ? 1 : 0;
        cut += caller->outcome() != Caller::Outcome::Whole ? 1 : 0;
    }
    const auto text = std::to_string(kept) + " kept channels, " + std::to_string(cut) + " of them without the whole answer";
    record(text);
    std::printf("%s\n", text.c_str());
    if (kept < callers) {
        return 2;
    }
    // The rule allows three.
    return cut > 3 ? 1 : 0;
}
