// Store, one group of 16 ranks and callers for review case "maps".
//   maps-world --ports N                                      prints N free ports
//   maps-world STORE_PORT SECONDS TROUBLE SEED RECORD GATEWAY...   GATEWAY is IP:PORT of an entry
#include "group.hh"

#include <fstream>

namespace {

using namespace net;

const char *const ip = "127.0.0.1";

std::string configuration(const Json &engine)
{
    return Json{{"Version", 7},
                {"Routes",
                 {{{"Name", "care-sheet"},
                   {"Hostname", "coop.example"},
                   {"Prefix", "/sheet/"},
                   {"Service", "assistant-pool"},
                   {"Type", "streaming"},
                   {"TimeoutMs", 8000},
                   {"TargetLatencyMs", 400},
                   {"GapTargetMs", 120},
                   {"MaxAttempts", 2},
                   {"Priority", 1},
                   {"Resumable", true},
                   {"SessionAffinity", true}}}},
                {"Services",
                 {{{"Name", "assistant-pool"},
                   {"HealthPath", "/healthz"},
                   {"MaxConnections", 418},
                   {"WarmupS", 3},
                   {"WarmupPerS", 38},
                   {"Engine", engine}}}},
                {"Tenants", {{{"Name", "glue"}, {"ApiKeys", {"key"}}}}},
                {"Limits",
                 {{"MaxHeaderBytes", 16384},
                  {"MaxBodyBytes", 4194304},
                  {"HeaderTimeoutMs", 3000},
                  {"IdleTimeoutMs", 15000}}}}
        .dump();
}

/** A caller that asks for one stream after the other, each on a channel of its own. */
class Caller
{
public:
    Caller(Loop &loop, std::string gatewayIp, int port, int number, int &answered, int &refused)
        : loop_(loop)
        , gatewayIp_(std::move(gatewayIp))
        , port_(port)
        , number_(number)
        , answered_(answered)
        , refused_(refused)
    {
    }

    void ask()
    {
        const auto id = std::to_string(number_) + "f" + std::to_string(++asked_);
        const std::string body(700, 'p');
        channel_ = loop_.connect(gatewayIp_, port_);
        channel_->onData = [this, weak = std::weak_ptr(channel_)] {
            const auto channel = weak.lock();
            Message answer;
            if (channel && channel->in.take(answer) == Parser::State::Done) {
                ++(answer.status() == 200 ? answered_ : refused_);
                channel->onClosed = nullptr;
                channel->close();
                loop_.after(answer.status() == 200 ? 0.05 : 0.5, [this] { ask(); });
            }
        };
        channel_->onClosed = [this] {
            ++refused_;
            loop_.after(0.5, [this] { ask(); });
        };
        channel_->send(formatHead("POST /sheet/1 HTTP/1.1",
                                  {{"Host", "coop.example"},
                                   {"Attempt-Id", id},
                                   {"Deadline-Ms", "8000"},
                                   {"Credential", "key"},
                                   {"Model", "m"},
                                   {"Token-Count", "740,140"},
                                   {"Prefix-Hash", "5c1e07a2:40," + id + ":700"},
                                   {"Content-Length", std::to_string(body.size())}})
                       + body);
    }

private:
    Loop &loop_;
    std::string gatewayIp_;
    int port_;
    int number_;
    int &answered_;
    int &refused_;
    int asked_ = 0;
    ChannelPtr channel_;
};

int printFreePorts(int count)
{
    Loop loop;
    for (int i = 0; i < count; ++i) {
        const int port = loop.listen(ip, 0, [](const ChannelPtr &) {});
        if (port == 0) {
            return 2;
        }
        std::printf("%d\n", port);
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc == 3 && std::string(argv[1]) == "--ports") {
        return printFreePorts(std::atoi(argv[2]));
    }
    if (argc < 7) {
        std::fprintf(stderr, "see the head of the source for the arguments\n");
        return 2;
    }
    const double length = std::atof(argv[2]);
    const bool isTroubled = std::string(argv[3]) != "0";
    std::ofstream file(argv[5]);
    const auto record = [&file](const std::string &line) {
        char time[32];
        std::snprintf(time, sizeof(time), "%8.3f ", secondsSinceStart());
        file << time << line << "\n";
    };
    Loop loop;
    Store store(loop);
    Group::Options options{.ip = ip, .seed = static_cast<unsigned>(std::atoi(argv[4]))};
    if (isTroubled) {
        options.trouble = {.faultyShare = 0.6, .extraShare = 0.03, .lateShare = 0.35};
    }
    Group group(loop, options, record);
    if (store.listen(ip, std::atoi(argv[1])) == 0 || !group.start(store)) {
        std::fprintf(stderr, "cannot listen\n");
        return 2;
    }
    store.put("op", "config", configuration(group.engine()));
    int answered = 0;
    int refused = 0;
    std::vector<std::unique_ptr<Caller>> callers;
    for (int i = 0; i < 24; ++i) {
        const std::string gateway = argv[6 + i % (argc - 6)];
        const auto colon = gateway.find(':');
        callers.push_back(std::make_unique<Caller>(loop, gateway.substr(0, colon),
                                                   std::atoi(gateway.c_str() + colon + 1), i, answered, refused));
        loop.after(3 + 0.05 * i, [caller = callers.back().get()] { caller->ask(); });
    }
    loop.after(length, [&loop] { loop.stop(); });
    // Some passes later the record shows that the ranks stay apart.
    group.onBroken = [&loop] { loop.after(3, [&loop] { loop.stop(); }); };
    std::printf("listening\n");
    std::fflush(stdout);
    loop.run();
    const auto &seen = group.counters();
    char text[400];
    std::snprintf(text, sizeof(text),
                  "passes %d, with several maps %d, switches %d, orders %d (late %d, refused %d), extra answers %d (%d "
                  "before a late order), streams %d, answered %d, refused or broken off %d",
                  seen.passes, seen.mixedPasses, seen.switches, seen.orders, seen.lateOrders, seen.refusedOrders,
                  seen.extraAnswers, seen.extraBeforeLateOrder, seen.streams, answered, refused);
    record(text);
    std::printf("%s\n", text);
    if (seen.mixedPasses > 0) {
        return 1;
    }
    // Without served streams and changes of map the run shows nothing.
    return answered < 50 || seen.switches < 3 ? 2 : 0;
}
