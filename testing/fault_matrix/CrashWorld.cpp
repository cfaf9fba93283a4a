#include "fault_matrix/CrashWorld.h"

#include "hornbeamlane_routing/hornbeamlane_routing.h"

#include <array>
#include <memory>

namespace hornbeamlane::testing {

namespace {

constexpr auto tickLength = std::chrono::milliseconds(50);
constexpr int ticks = 100;
constexpr std::size_t serverCount = 10;
constexpr std::size_t entryCount = 3;
constexpr int restartTicks = 30;
constexpr int delayTicks = 12;
const std::string crashingBody = "crash";

CrashQuarantine::Options quarantineOptions(const DisabledMechanisms &disabled)
{
    CrashQuarantine::Options options;
    if (disabled.contains("crash-quarantine")) {
        options.isQuarantined = [](std::size_t) { return false; };
    }
    if (disabled.contains("suspect-isolation")) {
        options.mayShareServer = [](std::size_t) { return true; };
    }
    if (disabled.contains("suspect-single-copy")) {
        options.mayRunBesideCopies = [](std::size_t) { return true; };
    }
    if (disabled.contains("suspect-confirmation")) {
        options.mayRunUnconfirmed = [](Duration) { return true; };
    }
    if (disabled.contains("team-in-fingerprint")) {
        options.fingerprint = [](const TeamId &, std::string_view, std::string_view body) { return hash128(body); };
    }
    if (disabled.contains("quarantine-execution-state")) {
        options.executionOfRefused = [](std::size_t) { return ExecutionState::NotRun; };
    }
    return options;
}

class CrashWorld final
{
public:
    CrashWorld(const CrashFaults &faults, const DisabledMechanisms &disabled)
        : faults_(faults)
        , returnsAt_(serverCount, -1)
    {
        Catalogue catalogue;
        catalogue.dataCentres[DataCentreId("dc")];
        for (std::size_t i = 0; i < serverCount; ++i) {
            servers_.emplace_back(Incarnation(100 + i));
            catalogue.servers[serverId(i)] = {.dataCentre = DataCentreId("dc"), .models = {ModelId("m")}};
        }
        for (std::size_t i = 0; i < entryCount; ++i) {
            auto &entry = entries_[i];
            entry.incarnation = incarnationOf(i);
            entry.view.applyCatalogue(catalogue);
            // The calls choose where they go first, so that the suspects meet wherever nothing keeps them apart.
            const auto firstFit = [this](const ServerChooser &chooser,
                                         const ServerChooser::Input &input) -> std::optional<ServerIndex> {
                for (std::size_t k = 0; k < serverCount; ++k) {
                    const auto index = *chooser.view().findServer(serverId((firstServer_ + k) % serverCount));
                    if (chooser.isEligible(input, index)) {
                        return index;
                    }
                }
                return std::nullopt;
            };
            entry.chooser =
                std::make_unique<ServerChooser>(entry.view, entry.cache, ServerChooser::Options{.policy = firstFit});
            entry.quarantine = std::make_unique<CrashQuarantine>(entry.incarnation, quarantineOptions(disabled));
            if (!faults_.isAlone) {
                entry.quarantine->setPeers(peersOf(i));
            }
            for (std::size_t k = 0; k < serverCount; ++k) {
                entry.view.onLinkUp(serverId(k), servers_[k]);
                entry.view.onReport(serverId(k), servers_[k], {.limit = 100, .warmFraction = 1}, now_);
            }
        }
    }

    CrashOutcome run()
    {
        for (tick_ = 0; tick_ < ticks; ++tick_, now_ += tickLength) {
            returnServers();
            deliverUpdates();
            if (tick_ == 0) {
                addCall(0, "crashing", crashingBody, true, 0);
                addCall(0, "first", "a", false, 0);
                addCall(1, "second", "b", false, 0);
            }
            if (tick_ % 20 == 2) {
                addCall(static_cast<std::size_t>(tick_ / 20 % 2), "first", "c" + std::to_string(tick_), false, 1);
            }
            if (tick_ == ticks / 2) {
                // The same text of another team does not crash, for instance because its own adapter answers it.
                addCall(0, "second", crashingBody, false, 5);
                addCall(1, "second", crashingBody, false, 5);
            }
            if (tick_ == faults_.resendAt) {
                addCall(faults_.resendTo, "crashing", crashingBody, true, 4);
                calls_.back().runTicks = faults_.resendRunTicks;
            }
            if (tick_ == faults_.loseServerAt) {
                loseServer(faults_.lostServer);
            }
            endAttempts();
            for (auto &call : calls_) {
                tryDispatch(call);
            }
            sendUpdates();
        }
        for (const auto &call : calls_) {
            const bool isOther = !call.isCrasher;
            outcome_.refusedOthers += isOther && call.state == CallState::Refused ? 1 : 0;
            outcome_.refusedWithoutCause += isOther && call.state == CallState::Refused && call.lostServers < 2 ? 1 : 0;
            outcome_.unfinishedOthers += isOther && call.state == CallState::Waiting ? 1 : 0;
        }
        return outcome_;
    }

private:
    enum class CallState { Waiting, Running, Finished, Refused };

    struct Call
    {
        std::size_t entry = 0;
        TeamId team;
        std::string body;
        bool isCrasher = false;
        /** First server that its policy looks at. */
        std::size_t firstServer = 0;
        Hash128 fingerprint;
        CallState state = CallState::Waiting;
        int runTicks = 3;
        std::size_t server = 0;
        int endsAt = 0;
        int lostServers = 0;
    };

    struct Entry
    {
        ServerView view;
        PrefixCacheView cache{PrefixCacheView::Options{.maxEntries = 64}};
        std::unique_ptr<ServerChooser> chooser;
        std::unique_ptr<CrashQuarantine> quarantine;
        Incarnation incarnation;
    };

    struct Update
    {
        std::size_t from = 0;
        std::size_t to = 0;
        int arrivesAt = 0;
        QuarantineUpdate content;
    };

    void addCall(std::size_t entry, const std::string &team, const std::string &body, bool isCrasher,
                 std::size_t firstServer)
    {
        auto &call = calls_.emplace_back();
        entry = faults_.isAlone ? 0 : entry;
        call.entry = entry;
        call.team = TeamId(team);
        call.body = body;
        call.isCrasher = isCrasher;
        call.firstServer = firstServer;
        call.fingerprint = entries_[entry].quarantine->fingerprint(call.team, "m", body);
    }

    void tryDispatch(Call &call)
    {
        if (call.state != CallState::Waiting) {
            return;
        }
        auto &entry = entries_[call.entry];
        if (entry.quarantine->isQuarantined(call.fingerprint, now_)) {
            const auto refusal = entry.quarantine->refusal(call.fingerprint, now_);
            outcome_.falseNotRun += refusal.execution == ExecutionState::NotRun ? 1 : 0;
            call.state = CallState::Refused;
            return;
        }
        firstServer_ = call.firstServer;
        const RoutingRequest request{.team = call.team, .target = "m", .mayUse = [&](const ServerState &server) {
                                         return entry.quarantine->mayDispatch(call.fingerprint, server.id,
                                                                              server.incarnation, now_)
                                             == CrashQuarantine::Verdict::Allowed;
                                     }};
        const auto chosen = entry.chooser->choose(request, now_, random_);
        if (!chosen) {
            return;
        }
        const auto &server = entry.view.server(*chosen);
        call.server = *chosen;
        call.state = CallState::Running;
        call.endsAt = tick_ + call.runTicks;
        entry.view.onDispatched(server.id, server.incarnation);
        entry.quarantine->onDispatched(call.fingerprint, server.id, server.incarnation, now_);
    }

    void endAttempts()
    {
        for (std::size_t i = 0; i < calls_.size(); ++i) {
            auto &call = calls_[i];
            if (call.state != CallState::Running || tick_ < call.endsAt) {
                continue;
            }
            if (call.isCrasher) {
                ++outcome_.lostToCrasher;
                loseServer(call.server);
                continue;
            }
            auto &entry = entries_[call.entry];
            call.state = CallState::Finished;
            entry.view.onFinished(serverId(call.server), servers_[call.server]);
            entry.quarantine->onFinished(call.fingerprint, servers_[call.server], true, now_);
        }
    }

    void loseServer(std::size_t server)
    {
        if (returnsAt_[server] >= 0) {
            return;
        }
        returnsAt_[server] = tick_ + restartTicks;
        for (auto &entry : entries_) {
            entry.view.onLinkDown(serverId(server), servers_[server]);
            entry.quarantine->onServerLost(servers_[server], now_);
        }
        for (auto &call : calls_) {
            if (call.state == CallState::Running && call.server == server) {
                call.state = CallState::Waiting;
                ++call.lostServers;
            }
        }
    }

    void returnServers()
    {
        for (std::size_t i = 0; i < serverCount; ++i) {
            if (returnsAt_[i] != tick_) {
                continue;
            }
            returnsAt_[i] = -1;
            servers_[i] = Incarnation(servers_[i].value() + 100);
            for (auto &entry : entries_) {
                entry.view.onLinkUp(serverId(i), servers_[i]);
                entry.view.onReport(serverId(i), servers_[i], {.limit = 100, .warmFraction = 1}, now_);
            }
        }
    }

    void sendUpdates()
    {
        for (std::size_t from = 0; from < entryCount; ++from) {
            for (std::size_t to = 0; to < entryCount; ++to) {
                if (from != to && !faults_.isAlone) {
                    sendUpdate(from, to);
                }
            }
        }
    }

    void sendUpdate(std::size_t from, std::size_t to)
    {
        const auto update = entries_[from].quarantine->updateFor(entries_[to].incarnation, now_);
        const auto fault = tick_ == faults_.updateAt ? faults_.update : UpdateFault::None;
        if (!update || fault == UpdateFault::Lost) {
            return;
        }
        const int arrivesAt = tick_ + 1 + (fault == UpdateFault::Delayed ? delayTicks : 0);
        if (fault == UpdateFault::Doubled) {
            updates_.push_back({.from = from, .to = to, .arrivesAt = arrivesAt + delayTicks, .content = *update});
        }
        updates_.push_back({.from = from, .to = to, .arrivesAt = arrivesAt, .content = *update});
    }

    void deliverUpdates()
    {
        for (const auto &update : updates_) {
            if (update.arrivesAt == tick_) {
                entries_[update.to].quarantine->merge(update.content, entries_[update.from].incarnation, now_);
            }
        }
    }

    Incarnation incarnationOf(std::size_t entry) const
    {
        return Incarnation(faults_.isReversed ? entryCount - entry : entry + 1);
    }

    std::vector<Incarnation> peersOf(std::size_t entry) const
    {
        std::vector<Incarnation> peers;
        for (std::size_t i = 0; i < entryCount; ++i) {
            if (i != entry) {
                peers.emplace_back(incarnationOf(i));
            }
        }
        return peers;
    }

    static ServerId serverId(std::size_t server)
    {
        return ServerId("s" + std::to_string(server));
    }

    CrashFaults faults_;
    std::array<Entry, entryCount> entries_;
    std::vector<Call> calls_;
    std::vector<Update> updates_;
    std::vector<Incarnation> servers_;
    std::vector<int> returnsAt_;
    RandomSource random_{1};
    int tick_ = 0;
    TimePoint now_{std::chrono::hours(1)};
    std::size_t firstServer_ = 0;
    CrashOutcome outcome_;
};

} // namespace

CrashOutcome runCrashWorld(const CrashFaults &faults, const DisabledMechanisms &disabled)
{
    return CrashWorld(faults, disabled).run();
}

} // namespace hornbeamlane::testing
