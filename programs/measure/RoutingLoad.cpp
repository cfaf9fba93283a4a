#include "measure/RoutingLoad.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace hornbeamlane::measure {

namespace {

constexpr std::array<std::size_t, 3> serversOf = {6, 5, 5};
constexpr std::array<std::size_t, 3> entriesOf = {3, 3, 2};
constexpr std::uint32_t slots = 16;
constexpr std::uint32_t coldSlots = 2;
constexpr std::size_t queueLength = 16;
constexpr std::size_t cacheBlocks = 600;
constexpr double reportInterval = 0.25;
constexpr double growInterval = 2;
constexpr double lostReportShare = 0.05;
constexpr double firstTokenTarget = 0.86;
constexpr double prefillBase = 0.06;
constexpr double prefillOfBlock = 0.03;
constexpr double coldSlowdown = 2;
constexpr double meanDecode = 2.5;
/** Mean decode time and a typical prefill; turns utilisation into a rate. */
constexpr double meanSlotTime = 2.9;
constexpr double notice = 2;
constexpr int mostAttempts = 3;
/** Shares of the ten teams in the requests. */
constexpr std::array<double, 10> teamShares = {0.30, 0.25, 0.15, 0.08, 0.06, 0.05, 0.04, 0.03, 0.02, 0.02};
constexpr std::size_t largeTeams = 3;
constexpr std::size_t homesOfSmallTeam = 2;

double exponential(RandomSource &random, double mean)
{
    return -mean * std::log(1 - random.unit());
}

} // namespace

RoutingLoad::RoutingLoad(Setup setup)
    : setup_(std::move(setup))
    , random_(setup_.seed)
{
    Catalogue catalogue;
    for (std::size_t dataCentre = 0; dataCentre < serversOf.size(); ++dataCentre) {
        const DataCentreId dataCentreId("dc" + std::to_string(dataCentre));
        catalogue.dataCentres[dataCentreId];
        for (std::size_t i = 0; i < serversOf[dataCentre]; ++i) {
            const ServerId id("server" + std::to_string(10 + servers_.size()));
            catalogue.servers[id] = {
                .dataCentre = dataCentreId, .coldConcurrency = coldSlots, .models = {ModelId("model")}};
            servers_.push_back({.id = id, .dataCentre = dataCentre, .limit = slots});
        }
    }
    for (std::size_t dataCentre = 0; dataCentre < entriesOf.size(); ++dataCentre) {
        for (std::size_t i = 0; i < entriesOf[dataCentre]; ++i) {
            auto entry = std::make_unique<Entry>();
            entry->dataCentre = dataCentre;
            entry->reportLag = 0.05 + 0.1 * random_.unit();
            entry->view.applyCatalogue(catalogue);
            setup_.chooser.policy = setup_.policy ? setup_.policy() : ServerChooser::Policy();
            setup_.chooser.entryCount = 8;
            setup_.spill.entryCount = 8;
            entry->chooser = std::make_unique<ServerChooser>(entry->view, entry->cache, setup_.chooser);
            entry->spill = std::make_unique<SpillPolicy>(entry->view, setup_.spill);
            for (std::size_t team = largeTeams; team < teamShares.size(); ++team) {
                std::vector<ServerId> homes;
                for (std::size_t k = 0; k < serversOf.size(); ++k) {
                    std::vector<std::pair<std::uint64_t, ServerId>> ranking;
                    for (const auto &server : servers_) {
                        if (server.dataCentre == k) {
                            ranking.emplace_back(rendezvousWeight(std::to_string(team), server.id.name()), server.id);
                        }
                    }
                    std::sort(ranking.rbegin(), ranking.rend());
                    for (std::size_t home = 0; home < homesOfSmallTeam; ++home) {
                        homes.push_back(ranking[home].second);
                    }
                }
                entry->view.setHomeServers(TeamId(std::to_string(team)), homes);
            }
            entries_.push_back(std::move(entry));
        }
    }
}

RoutingLoad::~RoutingLoad() = default;

RoutingLoad::Result RoutingLoad::run()
{
    for (std::size_t i = 0; i < servers_.size(); ++i) {
        connect(i);
        schedule(reportInterval * random_.unit(), [this, i] { report(i); });
    }
    for (std::size_t i = 0; i < serversOf.size(); ++i) {
        scheduleArrival(i);
    }
    schedule(1, [this] { sample(); });
    if (setup_.departure) {
        scheduleDeparture();
    }
    while (!events_.empty() && events_.top().at < setup_.seconds) {
        const auto event = events_.top();
        events_.pop();
        now_ = event.at;
        event.run();
    }
    result_.imbalance /= std::max<double>(1, static_cast<double>(samples_));
    // Requests still without a first token at the end count as neither on time nor late.
    std::sort(result_.firstTokens.begin(), result_.firstTokens.end());
    return result_;
}

void RoutingLoad::schedule(double delay, std::function<void()> run)
{
    events_.push({.at = now_ + delay, .order = order_++, .run = std::move(run)});
}

TimePoint RoutingLoad::now() const
{
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1000 + now_)));
}

void RoutingLoad::scheduleArrival(std::size_t dataCentre)
{
    const double rate = setup_.utilisation * static_cast<double>(slots * servers_.size()) / meanSlotTime;
    schedule(exponential(random_, static_cast<double>(serversOf.size()) / rate), [this, dataCentre] {
        scheduleArrival(dataCentre);
        auto request = makeRequest();
        request->entry = entryFor(dataCentre);
        route(request);
    });
}

RoutingLoad::RequestPointer RoutingLoad::makeRequest()
{
    auto request = std::make_shared<Request>();
    double draw = random_.unit();
    std::size_t team = 0;
    while (team + 1 < teamShares.size() && draw >= teamShares[team]) {
        draw -= teamShares[team++];
    }
    request->team = TeamId(std::to_string(team));
    const double rankDraw = random_.unit();
    request->rank = rankDraw < 0.3 ? 0 : rankDraw < 0.8 ? 0.5 : 1;
    request->arrivedAt = now_;
    request->isCounted = now_ >= setup_.countFrom;
    // Eight blocks of one of the team's four templates, often four of a conversation, and two of the question.
    std::uint64_t chain = hash64(request->team.name(), random_.below(4));
    const auto extend = [&](std::size_t count, std::uint64_t seed) {
        chain = hash64(std::to_string(chain), seed);
        for (std::size_t i = 0; i < count; ++i) {
            chain = hash64(std::to_string(chain), i);
            request->prefixes.push_back(chain);
        }
    };
    extend(8, 0);
    if (random_.unit() < 0.5) {
        extend(4, random_.below(40));
    }
    extend(2, random_.next());
    if (request->isCounted) {
        ++result_.requests;
        result_.highest += request->rank == 0 ? 1 : 0;
    }
    return request;
}

std::size_t RoutingLoad::entryFor(std::size_t dataCentre)
{
    if (dataCentre == 0 && !isReachable_) {
        dataCentre = 1 + random_.below(2);
    }
    std::size_t first = 0;
    for (std::size_t i = 0; i < dataCentre; ++i) {
        first += entriesOf[i];
    }
    return first + random_.below(entriesOf[dataCentre]);
}

void RoutingLoad::route(const RequestPointer &request)
{
    auto &entry = *entries_[request->entry];
    if (!entry.isAlive) {
        cutAttempt(request);
        return;
    }
    const auto target = *entry.view.findTarget(WorkKind::Model, "model");
    const auto own = static_cast<DataCentreIndex>(entry.dataCentre);
    const auto dataCentre = entry.spill->choose(target, own, request->rank, now(), random_);
    if (!dataCentre) {
        refuse(request);
        return;
    }
    const auto chosen = entry.chooser->choose(
        {.team = request->team,
         .target = "model",
         .prefixes = request->prefixes,
         .dataCentre = *dataCentre,
         .mayUse =
             [&](const ServerState &state) {
                 return std::none_of(request->tried.begin(), request->tried.end(),
                                     [&](std::size_t tried) { return servers_[tried].id == state.id; });
             }},
        now(), random_);
    if (!chosen) {
        refuse(request);
        return;
    }
    const auto &state = entry.view.server(*chosen);
    request->server = std::stoul(state.id.name().substr(6)) - 10;
    request->serverIncarnation = state.incarnation;
    ++request->attempts;
    ++request->epoch;
    entry.view.onDispatched(state.id, state.incarnation);
    entry.cache.onDispatched(*chosen, request->prefixes);
    schedule(0.001, [this, request, epoch = request->epoch] {
        if (epoch == request->epoch) {
            accept(request);
        }
    });
}

void RoutingLoad::refuse(const RequestPointer &request)
{
    if (request->isCounted) {
        ++result_.refused;
        result_.refusedHighest += request->rank == 0 ? 1 : 0;
    }
}

void RoutingLoad::accept(const RequestPointer &request)
{
    auto &server = servers_[request->server];
    if (isAbsent_ && server.dataCentre == 0) {
        result_.lastNewWork = std::max(result_.lastNewWork, now_);
    }
    if (!server.isAlive || server.incarnation != request->serverIncarnation) {
        // The entry notices the loss after a while.
        schedule(notice * random_.unit(), [this, request] { cutAttempt(request); });
        return;
    }
    if (server.running.size() < server.limit) {
        start(server, request);
    } else if (server.queue.size() < queueLength) {
        server.queue.push_back(request);
    } else {
        entries_[request->entry]->view.onFinished(server.id, request->serverIncarnation);
        request->tried.push_back(request->server);
        if (request->attempts < mostAttempts) {
            route(request);
        } else {
            refuse(request);
        }
    }
}

void RoutingLoad::start(Server &server, const RequestPointer &request)
{
    server.running.push_back(request);
    result_.runTwice += request->hasStarted && request->isCounted ? 1 : 0;
    request->hasStarted = true;
    const double cached = useCache(server, *request);
    const auto blocks = static_cast<double>(request->prefixes.size());
    if (request->isCounted) {
        result_.cachedBlocks += cached;
        result_.blocks += blocks;
    }
    const double slowdown =
        (server.limit < slots ? coldSlowdown : 1) * (1 + 0.5 * static_cast<double>(server.running.size()) / slots);
    const double prefill = (prefillBase + prefillOfBlock * (blocks - cached)) * slowdown;
    schedule(prefill, [this, request, epoch = request->epoch] {
        if (epoch != request->epoch) {
            return;
        }
        servers_[request->server].hasAnswered = true;
        if (request->hasFirstToken || !request->isCounted) {
            return;
        }
        request->hasFirstToken = true;
        const double firstToken = now_ - request->arrivedAt;
        result_.firstTokens.push_back(firstToken);
        ++(firstToken <= firstTokenTarget ? result_.onTime : result_.late);
    });
    schedule(prefill + exponential(random_, meanDecode), [this, request, epoch = request->epoch] {
        if (epoch == request->epoch) {
            finish(servers_[request->server], request);
        }
    });
}

void RoutingLoad::finish(Server &server, const RequestPointer &request)
{
    std::erase(server.running, request);
    entries_[request->entry]->view.onFinished(server.id, request->serverIncarnation);
    while (!server.queue.empty() && server.running.size() < server.limit) {
        const auto next = server.queue.front();
        server.queue.pop_front();
        start(server, next);
    }
}

double RoutingLoad::useCache(Server &server, const Request &request)
{
    double hits = 0;
    bool isPrefix = true;
    for (const auto prefix : request.prefixes) {
        const auto found = server.cache.find(prefix);
        isPrefix = isPrefix && found != server.cache.end();
        hits += isPrefix ? 1 : 0;
        if (found != server.cache.end()) {
            server.cacheOrder.splice(server.cacheOrder.begin(), server.cacheOrder, found->second);
            continue;
        }
        server.cacheOrder.push_front(prefix);
        server.cache[prefix] = server.cacheOrder.begin();
        server.cached.push_back(prefix);
        ++server.cacheSequence;
        if (server.cache.size() > cacheBlocks) {
            server.evicted.push_back(server.cacheOrder.back());
            server.cache.erase(server.cacheOrder.back());
            server.cacheOrder.pop_back();
            ++server.cacheSequence;
        }
    }
    return hits;
}

void RoutingLoad::report(std::size_t index)
{
    schedule(reportInterval, [this, index] { report(index); });
    auto &server = servers_[index];
    if (!server.isAlive) {
        return;
    }
    LoadReport report{.inFlight = static_cast<std::uint32_t>(server.running.size()),
                      .limit = server.limit,
                      .queued = static_cast<std::uint32_t>(server.queue.size()),
                      .warmFraction = static_cast<double>(server.limit) / slots,
                      .engineIncarnation = server.incarnation,
                      .cacheSequence = server.cacheSequence,
                      .cachedPrefixes = std::move(server.cached),
                      .evictedPrefixes = std::move(server.evicted)};
    server.cached.clear();
    server.evicted.clear();
    if (random_.unit() < lostReportShare) {
        return;
    }
    for (auto &entry : entries_) {
        schedule(entry->reportLag, [this, index, report, to = entry.get(), incarnation = server.incarnation] {
            if (to->view.onReport(servers_[index].id, incarnation, report, now())) {
                to->cache.onReport(*to->view.findServer(servers_[index].id), report);
            }
        });
    }
}

void RoutingLoad::connect(std::size_t index)
{
    auto &server = servers_[index];
    server.incarnation = random_.incarnation();
    for (auto &entry : entries_) {
        entry->view.onLinkUp(server.id, server.incarnation);
        entry->cache.forget(*entry->view.findServer(server.id));
    }
}

void RoutingLoad::sample()
{
    schedule(1, [this] { sample(); });
    if (now_ < setup_.countFrom) {
        return;
    }
    double most = 0;
    double sum = 0;
    double alive = 0;
    std::array<double, serversOf.size()> load = {};
    for (const auto &server : servers_) {
        const auto work = static_cast<double>(server.running.size() + server.queue.size());
        load[server.dataCentre] += work / (slots * static_cast<double>(serversOf[server.dataCentre]));
        if (server.isAlive) {
            most = std::max(most, work / server.limit);
            sum += work / server.limit;
            ++alive;
        }
    }
    if (sum > 0) {
        result_.imbalance += most / (sum / alive);
        ++samples_;
    }
    if (isAbsent_) {
        result_.peakOfOthers = std::max({result_.peakOfOthers, load[1], load[2]});
    }
}

void RoutingLoad::scheduleDeparture()
{
    const auto &departure = *setup_.departure;
    schedule(departure.leavesAt, [this] {
        isAbsent_ = true;
        result_.lastNewWork = now_;
        schedule(notice, [this] { isReachable_ = false; });
        if (setup_.departure->isSudden) {
            loseDataCentre();
            return;
        }
        for (auto &entry : entries_) {
            schedule(notice * random_.unit(), [to = entry.get()] {
                to->view.applyDrains({{.id = DrainId("1"), .scope = DrainScope::DataCentre, .name = "dc0"}});
            });
        }
    });
    schedule(departure.returnsAt, [this] { returnDataCentre(); });
}

void RoutingLoad::loseDataCentre()
{
    for (auto &server : servers_) {
        if (server.dataCentre != 0) {
            continue;
        }
        server.isAlive = false;
        auto lost = std::move(server.running);
        lost.insert(lost.end(), server.queue.begin(), server.queue.end());
        server.running.clear();
        server.queue.clear();
        for (const auto &request : lost) {
            ++request->epoch;
            schedule(notice * random_.unit(), [this, request] { cutAttempt(request); });
        }
        for (auto &entry : entries_) {
            schedule(notice * random_.unit(), [id = server.id, incarnation = server.incarnation, to = entry.get()] {
                to->view.onLinkDown(id, incarnation);
            });
        }
    }
    for (auto &entry : entries_) {
        entry->isAlive = entry->dataCentre != 0;
    }
}

void RoutingLoad::cutAttempt(const RequestPointer &request)
{
    result_.cut += request->isCounted ? 1 : 0;
    if (request->attempts >= mostAttempts) {
        refuse(request);
        return;
    }
    if (!entries_[request->entry]->isAlive) {
        // The caller resends through another entry.
        request->entry = entriesOf[0] + random_.below(entries_.size() - entriesOf[0]);
    }
    ++request->attempts;
    route(request);
}

void RoutingLoad::returnDataCentre()
{
    isAbsent_ = false;
    isReachable_ = true;
    for (std::size_t i = 0; i < servers_.size(); ++i) {
        auto &server = servers_[i];
        if (server.dataCentre != 0) {
            continue;
        }
        server.isAlive = true;
        server.limit = coldSlots;
        server.cache.clear();
        server.cacheOrder.clear();
        server.cacheSequence = 0;
        connect(i);
        // Grows only in windows with answers, as the agent's cold start does.
        const auto grow = [this, i](const auto &self) -> void {
            auto &growing = servers_[i];
            if (growing.hasAnswered && growing.limit < slots) {
                growing.limit = std::min(slots, growing.limit + (growing.limit + 1) / 2);
            }
            growing.hasAnswered = false;
            schedule(growInterval, [self] { self(self); });
        };
        schedule(growInterval, [grow] { grow(grow); });
    }
    for (auto &entry : entries_) {
        entry->isAlive = true;
        entry->view.applyDrains({});
        entry->spill->onReturned(0, now());
    }
}

} // namespace hornbeamlane::measure
