#include "hornbeamlane_dispatch/servers/BackendSelector.h"

#include "hornbeamlane_dispatch/servers/BackendBook.h"

#include <algorithm>
#include <utility>

namespace hornbeamlane {

std::optional<ServerId> BackendSelector::choose(BackendBook &book, const Request &request, TimePoint now,
                                                RandomSource &random)
{
    const auto &servers = book.index_.ofService(request.service);
    const auto &options = book.options_;
    Round round{.book = book,
                .request = request,
                .now = now,
                .random = random,
                .units = {},
                .candidates = {},
                .avoided = {},
                .findings = {}};
    double compared = 1;
    if (servers.size() > options.mostCompared) {
        collect(round, drawSample(servers, options.mostCompared, random));
        compared = static_cast<double>(options.mostCompared) / static_cast<double>(servers.size());
    }
    // A few free servers may be missing in the sample, and only all servers tell why there is none.
    if (round.candidates.empty()) {
        round.avoided.clear();
        round.findings = {};
        compared = 1;
        collect(round, servers);
    }
    if (round.candidates.empty()) {
        round.candidates = std::move(round.avoided);
    }
    if (round.candidates.empty() && round.findings.anyForming) {
        if (auto trial = chooseTrial(round, servers)) {
            return trial;
        }
    }
    if (round.candidates.empty()) {
        lastFailure_ = round.findings.failure();
        return std::nullopt;
    }
    // Other entries draw other samples, so only a part of what they send comes to this one.
    const double unseen = options.unseenRequests(request.service) * compared;
    return drawBackend(std::move(round.candidates), unseen, random).spec.id;
}

BackendSelector::NoChoice BackendSelector::Findings::failure() const
{
    if (!anyUsable) {
        return NoChoice::NoServer;
    }
    if (!anyOpen) {
        return anyForming ? NoChoice::GroupForming : NoChoice::GroupBroken;
    }
    if (anyRateLimited) {
        return NoChoice::RateLimited;
    }
    if (anyAtPaceBound) {
        return NoChoice::AtPaceBound;
    }
    if (anyFull) {
        return NoChoice::AllFull;
    }
    return anyPaused ? NoChoice::AllPaused : NoChoice::AllExcluded;
}

void BackendSelector::collect(Round &round, const std::vector<Backend *> &servers)
{
    auto &[book, request, now, random, units, candidates, avoided, findings] = round;
    /** Ranks of broken groups whose entries say so. */
    std::map<GroupId, std::set<std::uint32_t>> listed;
    for (auto *server : servers) {
        auto &backend = *server;
        if (!book.isUsable(backend, now)
            || (request.allowed != nullptr && !request.allowed->contains(backend.spec.dataCentre))) {
            continue;
        }
        findings.anyUsable = true;
        if (!isGroupOpen(round, backend, listed)) {
            continue;
        }
        findings.anyOpen = true;
        if (isExcluded(request, backend.spec.id)) {
            continue;
        }
        if (now < book.pausedUntil(backend)) {
            findings.anyPaused = true;
            continue;
        }
        if (isFull(round, backend) || book.isColdFull(backend, now, random)) {
            findings.anyFull = true;
            continue;
        }
        if (book.options_.isRateLimited(backend)) {
            findings.anyRateLimited = true;
            continue;
        }
        double unitScore = 0;
        if (request.isStream) {
            const auto &unit = viewOf(round, backend);
            if (request.shareOfPaceBound && unit.fill >= *request.shareOfPaceBound) {
                findings.anyAtPaceBound = true;
                continue;
            }
            // Between units the fill decides, and the load of a server counts against the others of its unit only: a
            // unit that takes fewer requests in time than it has slots would look empty beside one that takes all.
            unitScore = paceScore(round, backend.paceUnit, unit) - unit.load;
        }
        auto &list = now < backend.avoidUntil ? avoided : candidates;
        list.push_back({.backend = &backend, .score = score(round, backend) + unitScore});
    }
}

bool BackendSelector::isGroupOpen(Round &round, const Backend &backend,
                                  std::map<GroupId, std::set<std::uint32_t>> &listed)
{
    auto &book = round.book;
    if (book.isGroupOpen(backend, round.now)) {
        return true;
    }
    // A group that has lost a rank serves nothing before it has formed again, which changes its entry.
    const auto &place = *backend.spec.group;
    if (!place.isOpen && !backend.lapsesAt && listed[place.group].insert(place.rank).second
        && listed[place.group].size() == place.size) {
        round.findings.anyForming = true;
        book.groups_.onAllRanksListed(place.group, book.placeOf(backend).epoch, round.now);
    }
    return false;
}

bool BackendSelector::isExcluded(const Request &request, const ServerId &server)
{
    return request.excluded != nullptr
        && std::find(request.excluded->begin(), request.excluded->end(), server) != request.excluded->end();
}

std::optional<ServerId> BackendSelector::chooseTrial(const Round &round, const std::vector<Backend *> &servers)
{
    auto &book = round.book;
    std::vector<ServerId> ranks;
    for (auto *server : servers) {
        auto &backend = *server;
        const bool isRank = backend.spec.group && book.isUsable(backend, round.now);
        if (isRank && !isExcluded(round.request, backend.spec.id) && round.now >= book.pausedUntil(backend)
            && !book.isColdFull(backend, round.now, round.random) && !book.options_.isRateLimited(backend)
            && book.groups_.mayTry(book.placeOf(backend), round.now)) {
            ranks.push_back(backend.spec.id);
        }
    }
    return ranks.empty() ? std::nullopt : std::optional(ranks[round.random.below(ranks.size())]);
}

double BackendSelector::takesWell(const Round &round, const Backend &backend)
{
    const double slots = std::max(1U, backend.spec.slots);
    const auto *finding = round.request.isStream ? nullptr : round.book.options_.findingOf(backend);
    return finding == nullptr ? slots : std::max(1.0, std::min(finding->takesWell, slots));
}

bool BackendSelector::isFull(const Round &round, const Backend &backend)
{
    const double withQueue = 1.0 + round.book.options_.queueShare;
    return backend.inFlight() >= std::min<double>(backend.spec.slots, takesWell(round, backend)) * withQueue;
}

const BackendSelector::PaceUnitView &BackendSelector::viewOf(Round &round, const Backend &backend)
{
    const auto [found, isNew] = round.units.try_emplace(backend.paceUnit);
    auto &unit = found->second;
    if (isNew) {
        const auto &book = round.book;
        const auto load = book.loadOf(backend.paceUnit, round.now);
        unit.fill = book.options_.paceFill(backend.paceUnit, load);
        unit.load = static_cast<double>(load.inFlight) / std::max(1U, load.places);
        const auto &servers = book.index_.ofUnit(backend.paceUnit);
        unit.isHome = std::any_of(servers.begin(), servers.end(), [&](const Backend *server) {
            return server->spec.dataCentre == round.request.dataCentre && book.isUsable(*server, round.now);
        });
    }
    return unit;
}

// All servers of a unit cost the same, in whatever data centre: its fullest server sets the pace of the others, so
// ranks near the callers must not be filled first.
double BackendSelector::paceScore(const Round &round, const PaceUnitId &id, const PaceUnitView &unit)
{
    const auto &options = round.book.options_;
    const double slow = options.isPaceOutOfReach(id) ? options.outOfReachPenalty : 0;
    if (!unit.isHome) {
        return unit.fill + options.farUnitPenalty + slow;
    }
    const double spill = std::clamp((unit.fill - options.homeFill) / (options.spillFill - options.homeFill), 0.0, 1.0);
    return unit.fill * spill + slow;
}

// A server whose answers come late by the whole of their target is worth as little as a full one.
double BackendSelector::latencyScore(const Round &round, const Backend &backend)
{
    const auto *finding = round.request.isStream ? nullptr : round.book.options_.findingOf(backend);
    if (finding == nullptr) {
        return 0;
    }
    const std::chrono::duration<double> target(std::max(round.request.latencyTarget, std::chrono::milliseconds(1)));
    return std::clamp(finding->extraLatency / target, 0.0, 1.0);
}

double BackendSelector::score(const Round &round, const Backend &backend)
{
    const auto &options = round.book.options_;
    const double load = (backend.inFlight() + 1.0) / takesWell(round, backend);
    const double distance = backend.spec.dataCentre == round.request.dataCentre ? 0 : options.distancePenalty;
    return load + distance + latencyScore(round, backend)
        + options.failurePenalty * round.book.failureShare(backend, round.now);
}

} // namespace hornbeamlane
