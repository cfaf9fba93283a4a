#include "fault_matrix/AdmissionFaultCells.h"

#include "fault_matrix/LeaseTable.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <memory>

namespace hornbeamlane::testing {

namespace {

using namespace std::chrono_literals;
using Outcome = AdmissionController::Outcome;

constexpr TimePoint start(1h);
const ModelId model("m");
const ClassId requestClass("c");
const TeamId team("t");

AdmissionController::Options optionsWithout(const DisabledMechanisms &disabled)
{
    AdmissionController::Options options;
    if (disabled.contains("cold-start-limit")) {
        options.coldStart.startLimit = [](const auto &limiter) { return limiter.concurrency; };
    }
    if (disabled.contains("growth-needs-proof")) {
        options.coldStart.mayGrowUnproved = [](std::uint32_t, const auto &) { return true; };
    }
    if (disabled.contains("slow-first-token")) {
        options.coldStart.slowLimit = UINT32_MAX;
    }
    if (disabled.contains("engine-watch")) {
        options.engine.isTrusted = [] { return false; };
    }
    if (disabled.contains("leftovers-counted")) {
        options.engine.countLeftovers = [](std::uint32_t) { return 0U; };
    }
    if (disabled.contains("start-awaits-report")) {
        options.engine.reportLag = 0s;
    }
    if (disabled.contains("drain-refuses")) {
        options.refusesUnderDrain = [] { return false; };
    }
    if (disabled.contains("holder-stops-first")) {
        options.teams.leases.isUsable = [](TimePoint, TimePoint) { return true; };
    }
    if (disabled.contains("lender-waits-longer")) {
        options.teams.leases.reclaimAfter = [](Duration duration) { return duration; };
    }
    if (disabled.contains("settled-minimum")) {
        options.teams.countsUnsettled = [] { return false; };
    }
    if (disabled.contains("bucket-starts-empty")) {
        options.teams.startLevel = [](double capacity) { return capacity; };
    }
    return options;
}

ServerEntry serverEntry(const std::string &name, const std::string &dataCentre, std::uint32_t cold,
                        std::uint32_t concurrency)
{
    ServerEntry server;
    server.header.name = name;
    server.header.limits.concurrency = concurrency;
    server.dataCentre = DataCentreId(dataCentre);
    server.coldConcurrency = cold;
    server.models = {model};
    return server;
}

/** Runs a trial for every point and reports the first violation. */
template <class Trial>
std::function<CellResult(const DisabledMechanisms &)> overPoints(int first, int last, Trial trial)
{
    return [=](const DisabledMechanisms &disabled) {
        for (int point = first; point < last; ++point) {
            const std::string violation = trial(point, disabled);
            if (!violation.empty()) {
                return CellResult{.hasPassed = false, .detail = "at " + std::to_string(point) + ": " + violation};
            }
        }
        return CellResult{.hasPassed = true};
    };
}

enum class EngineFault { EngineRestart, SilentCold, AgentRestart, HostRestart, Drain, Leave };

/** One agent in front of one engine, with several entries that send at the same time. */
class EngineScene final
{
public:
    EngineScene(EngineFault fault, int point, Duration lag, const DisabledMechanisms &disabled)
        : fault_(fault)
        , point_(point)
        , lag_(lag)
        , options_(optionsWithout(disabled))
    {
        options_.coldStart.concurrency = concurrency;
        catalogue_.dataCentres[DataCentreId("a")].header.name = "a";
        catalogue_.servers[server] = serverEntry(server.name(), "a", cold, concurrency);
        catalogue_.classes[requestClass].header.name = requestClass.name();
        // Longer than the first token of a cold engine, so that the prediction does not hide the limits.
        catalogue_.classes[requestClass].firstTokenTarget = firstTokenTarget;
        catalogue_.teams[team].header.name = team.name();
        catalogue_.teams[team].models = {model};
        startAgent();
    }

    /** The first violation, or an empty text. */
    std::string run()
    {
        for (tick_ = 0; tick_ < lastTick && violation_.empty(); ++tick_) {
            now_ = start + tick_ * tickTime;
            if (tick_ == point_) {
                strike();
            }
            runEngine();
            for (int i = 0; i < arrivals(); ++i) {
                submit();
            }
            carryOut();
            check();
        }
        return violation_;
    }

    static constexpr int firstPoint = 200;
    static constexpr int lastPoint = 390;

private:
    struct Work
    {
        TimePoint firstToken;
        TimePoint end;
        bool isOwn = true;
        bool hasFirstToken = false;
    };

    static constexpr std::uint32_t cold = 2;
    static constexpr std::uint32_t concurrency = 12;
    static constexpr auto firstTokenTarget = 2s;
    static constexpr Duration tickTime = 50ms;
    static constexpr int lastTick = 520;
    static inline const ServerId server{"s"};

    void startAgent()
    {
        agent_ = std::make_unique<AdmissionController>(server, Incarnation(1), options_, now_);
        agent_->applyCatalogue(CatalogueVersion(1), catalogue_, CatalogueVersion(1), now_);
    }

    /** Busy until the engine is warm, idle, a burst, a trickle, and busy again. */
    int arrivals() const
    {
        if (tick_ < 240 || (tick_ >= 320 && tick_ < 400)) {
            return 1;
        }
        return tick_ == 280 ? 14 : tick_ > 280 && tick_ < 320 && tick_ % 4 == 0;
    }

    void strike()
    {
        runningAtFault_ = engine_.size();
        if (fault_ == EngineFault::EngineRestart || fault_ == EngineFault::HostRestart) {
            lost_ = fault_ == EngineFault::EngineRestart ? engine_ : decltype(engine_){};
            engine_.clear();
            incarnation_ = incarnation_.next();
            runningAtFault_ = 0;
            coldUntil_ = now_ + 1500ms;
        }
        if (fault_ == EngineFault::AgentRestart || fault_ == EngineFault::HostRestart) {
            for (auto &[attempt, work] : engine_) {
                work.isOwn = false;
            }
            coldUntil_ = now_ + 2s;
            startAgent();
        }
        if (fault_ == EngineFault::SilentCold) {
            coldUntil_ = now_ + 6s;
        }
        if (fault_ == EngineFault::Drain) {
            agent_->setDraining(true);
        }
        if (fault_ == EngineFault::Leave) {
            agent_->leave();
        }
    }

    bool isCold() const
    {
        return tick_ >= point_ && now_ < coldUntil_;
    }

    void runEngine()
    {
        // The resets of a dead engine arrive later than the first requests at the new one.
        if (tick_ == point_ + 4) {
            for (const auto &[attempt, work] : lost_) {
                agent_->finished(attempt, Outcome::ConnectionLost, now_);
            }
        }
        for (auto position = engine_.begin(); position != engine_.end();) {
            const auto &attempt = position->first;
            auto &work = position->second;
            if (!work.hasFirstToken && work.firstToken <= now_) {
                work.hasFirstToken = true;
                noteFirstToken(work);
                agent_->firstToken(attempt, now_);
            }
            if (work.end > now_) {
                ++position;
                continue;
            }
            if (work.isOwn) {
                agent_->finished(attempt, Outcome::Succeeded, now_);
                --unfinished_;
            }
            position = engine_.erase(position);
        }
        history_.push_back(static_cast<std::uint32_t>(engine_.size()));
        if (tick_ % 5 == 0 && tick_ * tickTime >= lag_) {
            // The process that answers names itself; its numbers are late.
            agent_->engineReported(
                {.engine = incarnation_, .running = history_[static_cast<std::size_t>(tick_ - lag_ / tickTime)]}, now_);
        }
    }

    void noteFirstToken(const Work &work)
    {
        const bool isSlow = work.end - work.firstToken > 1s;
        slowInARow_ = isSlow ? slowInARow_ + 1 : 0;
        isDetectable_ = isDetectable_ || slowInARow_ >= 3;
    }

    void submit()
    {
        const AttemptId attempt{.entry = Incarnation(1 + sequence_ % 3), .sequence = ++sequence_};
        const auto decision = agent_->submit(
            {.attempt = attempt, .team = team, .requestClass = requestClass, .remainingDeadline = 20s, .tokens = 10},
            now_);
        if (std::holds_alternative<AdmissionController::Admitted>(decision)) {
            startWork(attempt);
        }
        if (const auto *refusal = std::get_if<Refusal>(&decision)) {
            noteRefusal(attempt, *refusal);
        } else if (isDrained()) {
            violation_ = "accepted new work under a drain";
        }
    }

    bool isDrained() const
    {
        return (fault_ == EngineFault::Drain || fault_ == EngineFault::Leave) && tick_ >= point_;
    }

    void startWork(const AttemptId &attempt)
    {
        const bool isSilent = fault_ == EngineFault::SilentCold;
        const Duration coldTime = isSilent ? 900ms : 250ms * static_cast<int>(engine_.size() + 1);
        const Duration firstToken = isCold() ? coldTime : 100ms;
        agent_->started(attempt, now_);
        engine_[attempt] = {.firstToken = now_ + firstToken,
                            .end = now_ + firstToken + (isCold() && isSilent ? 1500ms : 500ms)};
        received_.insert(attempt);
        ++unfinished_;
        if (isCold() && isDetectable_ && engine_.size() > cold) {
            violation_ = "more than the cold limit after three slow first tokens";
        }
        if (isDrained() && now_ - (start + point_ * tickTime) > firstTokenTarget) {
            violation_ = "started work after the drain";
        }
    }

    void noteRefusal(const AttemptId &attempt, const Refusal &refusal)
    {
        if (refusal.execution != ExecutionState::NotRun || received_.contains(attempt)) {
            violation_ = "untrue refusal " + std::string(toString(refusal.reason));
        }
        refused_.insert(attempt);
    }

    void carryOut()
    {
        const auto actions = agent_->takeActions(now_);
        for (const auto &[attempt, refusal] : actions.refuse) {
            noteRefusal(attempt, refusal);
        }
        for (const auto &attempt : actions.start) {
            startWork(attempt);
        }
        if (!actions.cancelInEngine.empty()) {
            violation_ = "cut off a running request";
        }
    }

    void check()
    {
        if (isCold() && engine_.size() > cold + runningAtFault_) {
            violation_ = std::to_string(engine_.size()) + " run on a cold engine with "
                + std::to_string(runningAtFault_) + " before";
        }
        if (std::any_of(refused_.begin(), refused_.end(),
                        [this](const auto &attempt) { return received_.contains(attempt); })) {
            violation_ = "ran a request that was refused as not run";
        }
        if (tick_ == lastTick - 1 && isDrained() && (unfinished_ != 0 || !agent_->isIdle())) {
            violation_ = "did not finish what it had accepted";
        }
    }

    EngineFault fault_;
    int point_;
    Duration lag_;
    AdmissionController::Options options_;
    Catalogue catalogue_;
    std::unique_ptr<AdmissionController> agent_;
    TimePoint now_ = start;
    int tick_ = 0;
    std::map<AttemptId, Work> engine_;
    std::map<AttemptId, Work> lost_;
    Incarnation incarnation_{7};
    TimePoint coldUntil_{};
    std::size_t runningAtFault_ = 0;
    int slowInARow_ = 0;
    bool isDetectable_ = false;
    std::vector<std::uint32_t> history_;
    std::set<AttemptId> received_;
    std::set<AttemptId> refused_;
    int unfinished_ = 0;
    std::uint64_t sequence_ = 0;
    std::string violation_;
};

/** What strikes in a limits scene, at the point or from the point on. */
struct LimitsFault
{
    bool losesReplies = false;
    bool delaysWrites = false;
    bool pausesHolder = false;
    bool restartsAgent = false;
    bool hasTableOutage = false;
    /** The holder's clock runs at this rate from the point on. */
    double clockRate = 1;
    /** The holder cannot reach the table from the point on. */
    bool isolatesHolder = false;
    /** A new catalogue version moves floors; it reaches this server late. */
    std::optional<std::size_t> lateServer;
};

/** Three servers in two data centres that share the limit of one team through a table. */
class LimitsScene final
{
public:
    LimitsScene(const LimitsFault &fault, int point, int phase, const DisabledMechanisms &disabled)
        : fault_(fault)
        , point_(point)
        , options_(optionsWithout(disabled))
        , confirmsAlways_(disabled.contains("confirm-within-shares"))
        , table_(!disabled.contains("conditional-lease-write"))
        , sequence_(static_cast<std::uint64_t>(phase))
    {
        options_.teams.leases.duration = 20s;
        options_.teams.leases.renewAfter = 6s;
        options_.teams.leases.retryAfter = 1s;
        if (!disabled.contains("start-awaits-report")) {
            options_.engine.reportLag = std::chrono::seconds(reportTicks);
        }
        // A prediction that is wrong after a pause would refuse requests and hide the limits.
        options_.queue.isLate = [](TimePoint, TimePoint) { return false; };
        versions_ = {catalogueOf({2, 4}), catalogueOf({6, 1})};
        if (fault_.lateServer == 0) {
            // The late server has to be one that loses a part of its floor.
            std::swap(versions_[0], versions_[1]);
        }
        for (std::size_t i = 0; i < servers_.size(); ++i) {
            startAgent(i);
        }
    }

    /** The first violation, or an empty text. */
    std::string run()
    {
        for (tick_ = 0; tick_ < lastTick && violation_.empty(); ++tick_) {
            if (tick_ == point_) {
                chooseHolder();
            }
            propagateCatalogue();
            for (std::size_t i = 0; i < servers_.size(); ++i) {
                step(i);
            }
            check();
        }
        return violation_;
    }

    static constexpr int firstPoint = 8;
    static constexpr int lastPoint = 83;

private:
    struct Server
    {
        ServerId id;
        std::unique_ptr<AdmissionController> agent;
        std::uint64_t incarnation = 0;
        /** Ends of the requests that the engine runs, those of a previous agent included. */
        std::map<AttemptId, int> engine;
        /** Requests whose end the agent has not noticed. */
        std::vector<AttemptId> ended;
        std::vector<std::uint32_t> history;
        /** Replies that arrive with the next tick. */
        std::vector<std::function<void(TimePoint)>> replies;
        std::uint64_t catalogue = 1;
    };

    static constexpr std::uint32_t limit = 10;
    static constexpr int lastTick = 140;
    static constexpr int outage = 50;
    static constexpr int catalogueDelay = 15;
    static constexpr int reportTicks = 4;

    static Catalogue catalogueOf(const std::array<std::uint32_t, 2> &floors)
    {
        Catalogue catalogue;
        for (const auto &[name, dataCentre] : {std::pair{"s0", "a"}, std::pair{"s1", "b"}, std::pair{"s2", "b"}}) {
            catalogue.dataCentres[DataCentreId(dataCentre)].header.name = dataCentre;
            catalogue.servers[ServerId(name)] = serverEntry(name, dataCentre, 40, 40);
        }
        auto &entryClass = catalogue.classes[requestClass];
        entryClass.header.name = requestClass.name();
        // A first token takes a second here.
        entryClass.firstTokenTarget = 1min;
        auto &entry = catalogue.teams[team];
        entry.header.name = team.name();
        entry.header.limits.concurrency = limit;
        entry.models = {model};
        entry.floors = {{DataCentreId("a"), floors[0]}, {DataCentreId("b"), floors[1]}};
        return catalogue;
    }

    TimePoint localTime(std::size_t index) const
    {
        const bool isSlow = isHolder(index) && tick_ > point_;
        const double seconds = isSlow ? point_ + (tick_ - point_) * fault_.clockRate : tick_;
        return start + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

    /** The server that strikes are aimed at: the one with the largest lease at the point. */
    bool isHolder(std::size_t index) const
    {
        return holder_ == index;
    }

    void chooseHolder()
    {
        const auto row = table_.read(TeamLeaseRow::keyOf(team)).row.value_or(TableRow{});
        const auto leases = TeamLeaseRow::fromString(row.value).value_or(TeamLeaseRow{}).leases;
        const auto largest = std::max_element(leases.begin(), leases.end(), [](const auto &left, const auto &right) {
            return left.amount < right.amount;
        });
        for (std::size_t i = 0; i < servers_.size(); ++i) {
            if (largest != leases.end() && largest->server == servers_[i].id) {
                holder_ = i;
            }
        }
    }

    void startAgent(std::size_t index)
    {
        auto &server = servers_[index];
        server.id = ServerId("s" + std::to_string(index));
        ++server.incarnation;
        server.replies.clear();
        server.ended.clear();
        server.agent = std::make_unique<AdmissionController>(server.id, Incarnation(server.incarnation), options_,
                                                             localTime(index));
        for (auto version = settled_; version <= server.catalogue; ++version) {
            apply(index, version);
        }
    }

    void apply(std::size_t index, std::uint64_t version)
    {
        servers_[index].agent->applyCatalogue(CatalogueVersion(version), versions_[version - 1],
                                              CatalogueVersion(std::min(settled_, version)), localTime(index));
    }

    void propagateCatalogue()
    {
        if (!fault_.lateServer || tick_ < point_) {
            return;
        }
        bool isConfirmed = true;
        for (std::size_t i = 0; i < servers_.size(); ++i) {
            const bool isLate = i == *fault_.lateServer && tick_ < point_ + catalogueDelay;
            if (servers_[i].catalogue == 1 && !isLate) {
                servers_[i].catalogue = 2;
                apply(i, 2);
            }
            const auto confirmed = servers_[i].agent->confirmableVersion(localTime(i));
            const bool hasConfirmed = confirmsAlways_ || confirmed == CatalogueVersion(2);
            isConfirmed = isConfirmed && servers_[i].catalogue == 2 && hasConfirmed;
        }
        if (isConfirmed && settled_ == 1) {
            settled_ = 2;
            for (std::size_t i = 0; i < servers_.size(); ++i) {
                apply(i, 2);
            }
        }
    }

    bool isDuring(int ticks) const
    {
        return tick_ >= point_ && tick_ < point_ + ticks;
    }

    void step(std::size_t index)
    {
        auto &server = servers_[index];
        const auto now = localTime(index);
        const bool isPaused = fault_.pausesHolder && isHolder(index) && isDuring(outage);
        if (fault_.restartsAgent && index == static_cast<std::size_t>(point_) % servers_.size() && tick_ == point_) {
            startAgent(index);
        }
        std::erase_if(server.engine, [this, &server](const auto &work) {
            if (work.second <= tick_ && work.first.entry == Incarnation(server.incarnation)) {
                server.ended.push_back(work.first);
            }
            return work.second <= tick_;
        });
        server.history.push_back(static_cast<std::uint32_t>(server.engine.size()));
        if (isPaused) {
            return;
        }
        for (const auto &reply : std::exchange(server.replies, {})) {
            reply(now);
        }
        for (const auto &[attempt, end] : server.engine) {
            server.agent->firstToken(attempt, now);
        }
        for (const auto &attempt : std::exchange(server.ended, {})) {
            server.agent->finished(attempt, Outcome::Succeeded, now);
        }
        // Reports are late by the most that the agent expects.
        const auto age = std::min<std::size_t>(server.history.size(), reportTicks + 1);
        server.agent->engineReported({.engine = Incarnation(7), .running = server.history[server.history.size() - age]},
                                     now);
        // Two of three servers want more than the limit, the third less than its floor. After the loss of a holder all
        // want more, so its lease is reclaimed as soon as it may be.
        const bool isLow = !fault_.isolatesHolder && (tick_ / 25 + static_cast<int>(index)) % 3 == 0;
        const int demand = isLow ? static_cast<int>(tick_ % 3 == 0) : 8;
        for (int i = 0; i < demand; ++i) {
            submit(index, now);
        }
        const auto actions = server.agent->takeActions(now);
        for (const auto &action : actions.table) {
            callTable(index, action);
        }
    }

    void submit(std::size_t index, TimePoint now)
    {
        auto &server = servers_[index];
        const AttemptId attempt{.entry = Incarnation(server.incarnation), .sequence = ++sequence_};
        const int hold = 1 + static_cast<int>(sequence_ % 9);
        const auto decision = server.agent->submit({.attempt = attempt,
                                                    .team = team,
                                                    .requestClass = requestClass,
                                                    .remainingDeadline = std::chrono::seconds(hold + 1)},
                                                   now);
        if (std::holds_alternative<AdmissionController::Admitted>(decision)) {
            // The engine ends it one second before the deadline on the agent's clock.
            server.engine[attempt] = tick_ + static_cast<int>(isHolder(index) ? hold / fault_.clockRate : hold);
        }
    }

    void callTable(std::size_t index, const TeamLimits::TableAction &action)
    {
        auto &server = servers_[index];
        const bool isUnreachable = (fault_.hasTableOutage && isDuring(outage))
            || (fault_.isolatesHolder && isHolder(index) && tick_ >= point_);
        auto *agent = server.agent.get();
        if (const auto *read = std::get_if<LeaseRead>(&action.action)) {
            const auto reply = isUnreachable ? TableReply{} : table_.read(read->key);
            server.replies.push_back([=](TimePoint now) { agent->leaseReadFinished(team, reply, now); });
            return;
        }
        const auto &write = std::get<LeaseWrite>(action.action).write;
        auto reply = TableReply{};
        if (fault_.delaysWrites && isDuring(8)) {
            delayed_.push_back(write);
            reply.status = TableStatus::NoReply;
        } else if (!isUnreachable) {
            reply = table_.write(write);
        }
        if (fault_.losesReplies && isDuring(8)) {
            reply = {.status = TableStatus::NoReply};
        }
        server.replies.push_back([=](TimePoint now) { agent->leaseWriteFinished(team, reply, now); });
    }

    void check()
    {
        if (tick_ % 3 == 0) {
            for (const auto &write : std::exchange(delayed_, {})) {
                table_.write(write);
            }
        }
        std::size_t running = 0;
        for (const auto &server : servers_) {
            running += server.engine.size();
        }
        if (running > limit) {
            violation_ = std::to_string(running) + " run in tick " + std::to_string(tick_);
        }
        used_ = std::max(used_, running);
        if (tick_ == lastTick - 1 && used_ < limit - 1) {
            violation_ = "the shared part was never used, at most " + std::to_string(used_) + " ran";
        }
    }

    LimitsFault fault_;
    int point_;
    AdmissionController::Options options_;
    bool confirmsAlways_;
    LeaseTable table_;
    std::vector<Catalogue> versions_;
    std::array<Server, 3> servers_;
    std::vector<TableWrite> delayed_;
    std::uint64_t settled_ = 1;
    std::size_t holder_ = 0;
    int tick_ = 0;
    /** Sets how long requests run, so different starts give different overlaps. */
    std::uint64_t sequence_ = 0;
    std::size_t used_ = 0;
    std::string violation_;
};

/** A team with 10 requests a second on one server whose agent restarts at the point and 2 s later. */
std::string runRates(int point, const DisabledMechanisms &disabled)
{
    constexpr auto tickTime = 50ms;
    constexpr int rate = 10;
    const ServerId server("s");
    Catalogue catalogue;
    catalogue.dataCentres[DataCentreId("a")].header.name = "a";
    catalogue.servers[server] = serverEntry("s", "a", 40, 40);
    catalogue.teams[team].header.name = team.name();
    catalogue.teams[team].header.limits.requestsPerSecond = rate;
    catalogue.teams[team].models = {model};
    const auto options = optionsWithout(disabled).teams;
    std::unique_ptr<TeamLimits> limits;
    int admitted = 0;
    for (int tick = 0; tick < 200; ++tick) {
        const auto now = start + tick * tickTime;
        if (tick == 0 || tick == point || tick == point + 40) {
            limits = std::make_unique<TeamLimits>(server, Incarnation(1), options);
            limits->apply(CatalogueVersion(1), catalogue, CatalogueVersion(1), now);
        }
        for (int i = 0; i < 3; ++i) {
            admitted += limits->reserve(team, now + 1s, 0, now) ? 0 : 1;
        }
        if (admitted > rate * std::chrono::duration<double>(tick * tickTime).count() + 1) {
            return std::to_string(admitted) + " requests until tick " + std::to_string(tick);
        }
    }
    return {};
}

} // namespace

void addAdmissionFaultCells(FaultCells &cells)
{
    const auto addEngineCell = [&cells](const std::string &invariant, const std::string &fault, EngineFault kind,
                                        const std::vector<std::string> &protectedBy) {
        for (const Duration lag : {Duration(0s), Duration(1s)}) {
            const auto trial = [kind, lag](int point, const DisabledMechanisms &disabled) {
                return EngineScene(kind, point, lag, disabled).run();
            };
            cells.push_back({.invariant = invariant,
                             .step = "every tick of warm, idle, burst and busy",
                             .fault = fault + (lag == 0s ? "" : ", load reported 1 s late"),
                             .protectedBy = protectedBy,
                             .run = overPoints(EngineScene::firstPoint, EngineScene::lastPoint, trial)});
        }
    };
    addEngineCell("C2 cold start, C5 true refusals", "engine restarts without a word", EngineFault::EngineRestart,
                  {"cold-start-limit", "engine-watch", "growth-needs-proof"});
    addEngineCell("C2 cold start, C5 true refusals", "engine turns cold without a word", EngineFault::SilentCold,
                  {"cold-start-limit", "growth-needs-proof", "slow-first-token"});
    addEngineCell("C2 cold start, C5 true refusals", "agent restarts", EngineFault::AgentRestart, {"cold-start-limit"});
    addEngineCell("C2 cold start, C5 true refusals", "agent and engine restart", EngineFault::HostRestart,
                  {"cold-start-limit"});
    addEngineCell("C3 drained, C5 true refusals, C8 graceful stop", "data centre drained", EngineFault::Drain,
                  {"drain-refuses"});
    addEngineCell("C7 leaving, C5 true refusals, C8 graceful stop", "agent leaves", EngineFault::Leave,
                  {"drain-refuses"});

    const auto addLimitsCell = [&cells](std::string fault, const LimitsFault &kind,
                                        std::vector<std::string> protectedBy) {
        const auto trial = [kind](int point, const DisabledMechanisms &disabled) {
            std::string violation;
            // A fault during a catalogue change shows only in some overlaps of the requests.
            for (const int phase : {0, 2, 5}) {
                if (violation.empty() && (phase == 0 || kind.lateServer)) {
                    violation = LimitsScene(kind, point, phase, disabled).run();
                }
            }
            return violation;
        };
        cells.push_back({.invariant = "L team limit",
                         .step = "every second of leases that move between servers",
                         .fault = std::move(fault),
                         .protectedBy = std::move(protectedBy),
                         .run = overPoints(LimitsScene::firstPoint, LimitsScene::lastPoint, trial)});
    };
    const std::string race = "conditional-lease-write";
    addLimitsCell("none, agents race for leases", {}, {race});
    addLimitsCell("lease replies lost", {.losesReplies = true}, {race});
    addLimitsCell("lease writes take effect late, replies lost", {.delaysWrites = true}, {race});
    addLimitsCell("holder paused and resumed late", {.pausesHolder = true}, {race, "holder-stops-first"});
    addLimitsCell("agent restarts", {.restartsAgent = true}, {race, "leftovers-counted", "start-awaits-report"});
    addLimitsCell("table down", {.hasTableOutage = true}, {race});
    addLimitsCell("holder cut off from the table, its clock slow by a third",
                  {.clockRate = 0.68, .isolatesHolder = true}, {race, "holder-stops-first", "lender-waits-longer"});
    addLimitsCell("agent restarts while the table is down", {.restartsAgent = true, .hasTableOutage = true},
                  {race, "leftovers-counted", "start-awaits-report"});
    for (std::size_t i = 0; i < 3; ++i) {
        addLimitsCell("catalogue version late at server " + std::to_string(i), {.lateServer = i},
                      {race, "confirm-within-shares", "settled-minimum"});
    }
    cells.push_back({.invariant = "L team limit",
                     .step = "every 50 ms of a constant load",
                     .fault = "agent restarts twice",
                     .protectedBy = {"bucket-starts-empty"},
                     .run = overPoints(1, 150, runRates)});
}

} // namespace hornbeamlane::testing
