#include "hornbeamlane_dispatch/servers/BackendBook.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hornbeamlane {

namespace {

/** Weight of one outcome in the moving average of failures. */
constexpr double failureWeight = 0.15;

/** Scores closer than this count as equal, so that entries with the same view do not all choose the same server. */
constexpr double scoreTolerance = 0.04;

} // namespace

BackendBook::BackendBook()
    : BackendBook(Options())
{
}

BackendBook::BackendBook(Options options)
    : options_(std::move(options))
    , groups_(options_.groups)
{
}

void BackendBook::update(const BackendSpec &spec, TimePoint now)
{
    auto &backend = backends_[spec.id];
    if (spec.incarnation != backend.spec.incarnation || spec.address != backend.spec.address) {
        backend.replacedUntil = {};
    }
    backend.spec = spec;
    backend.start = hashOfStart(spec.id, spec.incarnation);
    backend.paceUnit = spec.group ? paceUnitOf(spec.group->group) : paceUnitOf(spec.id);
    backend.isGone = false;
    backend.lapsesAt.reset();
    backend.coldUntil = std::max(backend.coldUntil, now + spec.warmupLeft);
    refreshGroups(now);
}

void BackendBook::refreshGroups(TimePoint now)
{
    std::vector<GroupPlace> places;
    for (const auto &[id, backend] : backends_) {
        if (backend.spec.group && !backend.isGone && now >= backend.replacedUntil) {
            places.push_back(*backend.spec.group);
        }
    }
    groupStates_.update(places, now);
}

GroupPlace BackendBook::placeOf(const Backend &rank) const
{
    return groupStates_.withState(*rank.spec.group);
}

void BackendBook::remove(const ServerId &server, std::optional<TimePoint> usableUntil)
{
    const auto found = backends_.find(server);
    if (found == backends_.end() || found->second.isGone || found->second.lapsesAt) {
        return;
    }
    // A server that had announced its leaving has not lapsed.
    if (usableUntil && !isLeaving(found->second)) {
        found->second.lapsesAt = usableUntil;
        return;
    }
    found->second.isGone = true;
}

void BackendBook::retainOnly(const std::set<ServerId> &listed, std::optional<TimePoint> usableUntil)
{
    for (const auto &[id, backend] : backends_) {
        if (!listed.contains(id)) {
            remove(id, usableUntil);
        }
    }
}

void BackendBook::setWarmup(const ServiceId &service, std::chrono::milliseconds warmup, double requestsPerSecond)
{
    warmups_[service] = {.time = warmup, .requestsPerSecond = requestsPerSecond};
}

void BackendBook::setEvacuated(std::set<DataCentreId> dataCentres)
{
    evacuated_ = std::move(dataCentres);
}

void BackendBook::setEntryCount(std::uint32_t count)
{
    options_.entryCount = std::max(1U, count);
}

bool BackendBook::isLeaving(const Backend &backend) const
{
    return backend.spec.isDraining || notices_.isLeaving(backend.spec.id, backend.spec.incarnation);
}

bool BackendBook::isLeaving(const ServerId &server) const
{
    const auto *backend = find(server);
    return backend != nullptr && isLeaving(*backend);
}

bool BackendBook::onLeaving(const ServerId &server, std::uint64_t incarnation, TimePoint now)
{
    return notices_.onLeaving(server, incarnation, now);
}

bool BackendBook::onPause(const ServerId &server, std::uint64_t incarnation, TimePoint until, TimePoint now)
{
    return notices_.onPause(server, incarnation, until, now);
}

TimePoint BackendBook::pausedUntil(const Backend &backend) const
{
    return notices_.pausedUntil(backend.spec.id, backend.spec.incarnation);
}

Duration BackendBook::pauseLeft(const ServiceId &service, TimePoint now) const
{
    std::optional<Duration> least;
    for (const auto &[id, backend] : backends_) {
        if (backend.spec.service == service && isUsable(backend, now)) {
            const auto left = std::max(Duration::zero(), pausedUntil(backend) - now);
            least = std::min(least.value_or(left), left);
        }
    }
    return least.value_or(Duration::zero());
}

bool BackendBook::isUsable(const Backend &backend, TimePoint now) const
{
    return !backend.isGone && !isLeaving(backend) && !evacuated_.contains(backend.spec.dataCentre)
        && now >= backend.replacedUntil && (!backend.lapsesAt || now < *backend.lapsesAt);
}

bool BackendBook::isGroupOpen(const Backend &backend, TimePoint now) const
{
    return !backend.spec.group || groups_.isOpen(placeOf(backend), now);
}

double BackendBook::takesWell(const Backend &backend, const Request &request) const
{
    const double slots = std::max(1U, backend.spec.slots);
    const auto *finding = request.isStream ? nullptr : options_.findingOf(backend);
    return finding == nullptr ? slots : std::max(1.0, std::min(finding->takesWell, slots));
}

bool BackendBook::isFull(const Backend &backend, const Request &request) const
{
    const auto stated = backend.spec.slots * (1.0 + options_.queueShare);
    const auto places = std::min(stated, takesWell(backend, request) * (1.0 + options_.queueShare));
    return backend.inFlight() >= places;
}

Duration BackendBook::coldPeriod(const Backend &backend) const
{
    const auto found = warmups_.find(backend.spec.service);
    if (found == warmups_.end() || found->second.requestsPerSecond <= 0) {
        return Duration::zero();
    }
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(options_.entryCount / found->second.requestsPerSecond));
}

bool BackendBook::isColdFull(Backend &backend, TimePoint now, RandomSource &random) const
{
    const auto period = coldPeriod(backend);
    if (now >= backend.coldUntil || period <= Duration::zero()) {
        backend.coldSlotAt.reset();
        return false;
    }
    // The first turns of all entries are spread over one period. A server that has just come is everybody's first
    // choice, so that many entries with one request each would exceed its rate at once.
    if (!backend.coldSlotAt) {
        backend.coldSlotAt =
            now + Duration(static_cast<Duration::rep>(random.below(static_cast<std::uint64_t>(period.count()))));
    }
    while (now >= *backend.coldSlotAt + options_.coldTurnTime) {
        *backend.coldSlotAt += period;
    }
    return now < *backend.coldSlotAt;
}

double BackendBook::failureShare(const Backend &backend, TimePoint now) const
{
    const auto age = std::chrono::duration<double>(now - backend.failureAt);
    return backend.failureShare * std::exp2(-age / std::chrono::duration<double>(options_.failureHalfLife));
}

// A server whose answers come late by the whole of their target is worth as little as a full one.
double BackendBook::latencyScore(const Backend &backend, const Request &request) const
{
    const auto *finding = request.isStream ? nullptr : options_.findingOf(backend);
    if (finding == nullptr) {
        return 0;
    }
    const std::chrono::duration<double> target(std::max(request.latencyTarget, std::chrono::milliseconds(1)));
    return std::clamp(finding->extraLatency / target, 0.0, 1.0);
}

double BackendBook::score(const Backend &backend, const Request &request, TimePoint now) const
{
    const double load = (backend.inFlight() + 1.0) / takesWell(backend, request);
    const double distance = backend.spec.dataCentre == request.dataCentre ? 0 : options_.distancePenalty;
    return load + distance + latencyScore(backend, request) + options_.failurePenalty * failureShare(backend, now);
}

std::map<PaceUnitId, PaceUnitLoad> BackendBook::paceUnits(const ServiceId &service, TimePoint now) const
{
    std::map<PaceUnitId, PaceUnitLoad> units;
    for (const auto &[id, backend] : backends_) {
        if (backend.spec.service == service && isUsable(backend, now) && now >= pausedUntil(backend)
            && isGroupOpen(backend, now)) {
            auto &unit = units[backend.paceUnit];
            unit.places += backend.spec.slots;
            unit.inFlight += backend.inFlight();
        }
    }
    return units;
}

std::map<PaceUnitId, double> BackendBook::paceFills(const ServiceId &service, TimePoint now) const
{
    std::map<PaceUnitId, double> fills;
    for (const auto &[unit, load] : paceUnits(service, now)) {
        fills.emplace(unit, options_.paceFill(unit, load));
    }
    return fills;
}

double BackendBook::paceScore(const Backend &backend, const Request &request, double fill) const
{
    const double slow = options_.isPaceOutOfReach(backend.paceUnit) ? options_.outOfReachPenalty : 0;
    if (backend.spec.dataCentre != request.dataCentre) {
        return fill + slow;
    }
    const double spill = std::clamp((fill - options_.homeFill) / (options_.spillFill - options_.homeFill), 0.0, 1.0);
    return fill * spill + slow;
}

std::optional<ServerId> BackendBook::choose(const Request &request, TimePoint now, RandomSource &random)
{
    const auto fills = request.isStream ? paceFills(request.service, now) : std::map<PaceUnitId, double>();
    bool anyAtPaceBound = false;
    std::vector<Candidate> candidates;
    std::vector<Candidate> avoided;
    /** Ranks of broken groups whose entries say so. */
    std::map<GroupId, std::uint32_t> listed;
    bool anyUsable = false;
    bool anyForming = false;
    bool anyOpen = false;
    bool anyFull = false;
    bool anyRateLimited = false;
    bool anyPaused = false;
    for (auto &[id, backend] : backends_) {
        if (backend.spec.service != request.service || !isUsable(backend, now)
            || (request.allowed != nullptr && !request.allowed->contains(backend.spec.dataCentre))) {
            continue;
        }
        anyUsable = true;
        // A group that has lost a rank serves nothing before it has formed again, which changes its entry.
        if (!isGroupOpen(backend, now)) {
            const auto &place = *backend.spec.group;
            if (!place.isOpen && !backend.lapsesAt) {
                if (++listed[place.group] == place.size) {
                    anyForming = true;
                    groups_.onAllRanksListed(place.group, placeOf(backend).epoch, now);
                }
            }
            continue;
        }
        anyOpen = true;
        if (isExcluded(request, id)) {
            continue;
        }
        if (now < pausedUntil(backend)) {
            anyPaused = true;
            continue;
        }
        if (isFull(backend, request) || isColdFull(backend, now, random)) {
            anyFull = true;
            continue;
        }
        if (options_.isRateLimited(backend)) {
            anyRateLimited = true;
            continue;
        }
        const auto unit = fills.find(backend.paceUnit);
        const double fill = unit == fills.end() ? 0 : unit->second;
        if (request.shareOfPaceBound && fill >= *request.shareOfPaceBound) {
            anyAtPaceBound = true;
            continue;
        }
        const double pace = request.isStream ? paceScore(backend, request, fill) : 0;
        auto &list = now < backend.avoidUntil ? avoided : candidates;
        list.push_back({.backend = &backend, .score = score(backend, request, now) + pace});
    }
    if (candidates.empty()) {
        candidates = std::move(avoided);
    }
    if (candidates.empty() && anyForming) {
        if (auto trial = chooseTrial(request, now, random)) {
            return trial;
        }
    }
    if (candidates.empty()) {
        if (!anyUsable) {
            lastFailure_ = NoChoice::NoServer;
        } else if (!anyOpen) {
            lastFailure_ = anyForming ? NoChoice::GroupForming : NoChoice::GroupBroken;
        } else if (anyRateLimited) {
            lastFailure_ = NoChoice::RateLimited;
        } else if (anyAtPaceBound) {
            lastFailure_ = NoChoice::AtPaceBound;
        } else if (anyFull) {
            lastFailure_ = NoChoice::AllFull;
        } else {
            lastFailure_ = anyPaused ? NoChoice::AllPaused : NoChoice::AllExcluded;
        }
        return std::nullopt;
    }
    return pick(std::move(candidates), request.service, random).spec.id;
}

// Entries choose by what they have heard of each other. If all took the server that looks best, those sent until they
// hear of it would pile up there. So each draws among as many of the best as requests are sent in that time.
const Backend &BackendBook::pick(std::vector<Candidate> candidates, const ServiceId &service,
                                 RandomSource &random) const
{
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate &a, const Candidate &b) { return a.score < b.score; });
    const auto unseen = static_cast<std::size_t>(std::max(0.0, std::round(options_.unseenRequests(service))));
    const auto best = candidates.front().score;
    std::size_t eligible = std::clamp<std::size_t>(unseen, 1, candidates.size());
    while (eligible < candidates.size() && candidates[eligible].score <= best + scoreTolerance) {
        ++eligible;
    }
    const auto &one = candidates[random.below(eligible)];
    const auto &other = candidates[random.below(eligible)];
    // The order of servers that look alike says nothing about them.
    return *(other.score < one.score - scoreTolerance ? other : one).backend;
}

bool BackendBook::isExcluded(const Request &request, const ServerId &server) const
{
    return request.excluded != nullptr
        && std::find(request.excluded->begin(), request.excluded->end(), server) != request.excluded->end();
}

std::optional<ServerId> BackendBook::chooseTrial(const Request &request, TimePoint now, RandomSource &random)
{
    std::vector<ServerId> ranks;
    for (auto &[id, backend] : backends_) {
        const bool isRank = backend.spec.service == request.service && backend.spec.group && isUsable(backend, now);
        if (isRank && !isExcluded(request, id) && now >= pausedUntil(backend) && !isColdFull(backend, now, random)
            && !options_.isRateLimited(backend) && groups_.mayTry(placeOf(backend), now)) {
            ranks.push_back(id);
        }
    }
    return ranks.empty() ? std::nullopt : std::optional(ranks[random.below(ranks.size())]);
}

const Backend *BackendBook::find(const ServerId &server) const
{
    const auto found = backends_.find(server);
    return found == backends_.end() ? nullptr : &found->second;
}

void BackendBook::onSent(const ServerId &server, TimePoint now)
{
    const auto found = backends_.find(server);
    if (found == backends_.end()) {
        return;
    }
    auto &backend = found->second;
    ++backend.ownInFlight;
    if (backend.spec.group) {
        groups_.onSent(placeOf(backend), now);
    }
    if (backend.coldSlotAt) {
        *backend.coldSlotAt += coldPeriod(backend);
    }
}

void BackendBook::countFailure(Backend &backend, bool isUnreachable, TimePoint now)
{
    backend.failureShare = failureShare(backend, now) * (1 - failureWeight) + failureWeight;
    backend.failureAt = now;
    ++backend.failuresInRow;
    if (!isUnreachable) {
        return;
    }
    const auto doublings = std::min(backend.failuresInRow - 1, 6U);
    const auto pause =
        std::min<std::chrono::milliseconds>(options_.avoidAfterFailure * (1U << doublings), options_.maxAvoid);
    backend.avoidUntil = now + pause;
}

void BackendBook::onEnded(const ServerId &server, BackendOutcome outcome, TimePoint now)
{
    const auto found = backends_.find(server);
    if (found == backends_.end()) {
        return;
    }
    auto &backend = found->second;
    backend.ownInFlight -= std::min(backend.ownInFlight, 1U);
    switch (outcome) {
    case BackendOutcome::Served:
        backend.failureShare = failureShare(backend, now) * (1 - failureWeight);
        backend.failureAt = now;
        backend.failuresInRow = 0;
        backend.avoidUntil = {};
        return;
    case BackendOutcome::Failed:
        countFailure(backend, false, now);
        return;
    case BackendOutcome::Misdirected:
        backend.replacedUntil = now + options_.replacedTime;
        countFailure(backend, true, now);
        refreshGroups(now);
        return;
    case BackendOutcome::Unreachable:
        countFailure(backend, true, now);
        return;
    case BackendOutcome::Rejected:
    case BackendOutcome::Cancelled:
        return;
    }
}

void BackendBook::onWarmup(const ServerId &server, std::chrono::milliseconds left, TimePoint now)
{
    const auto found = backends_.find(server);
    if (found != backends_.end()) {
        found->second.coldUntil = now + left;
    }
}

void BackendBook::onRankLost(const ServerId &reporter, std::uint64_t epoch, TimePoint now)
{
    if (const auto *backend = find(reporter); backend != nullptr && backend->spec.group) {
        groups_.onRankLost(backend->spec.group->group, epoch, now);
    }
}

void BackendBook::onRankTurnedAway(const ServerId &rank, std::uint64_t epoch, TimePoint now)
{
    const auto *backend = find(rank);
    if (backend != nullptr && backend->spec.group && backend->inFlight() < backend->spec.slots) {
        groups_.onRankTurnedAway(backend->spec.group->group, rank, epoch, now);
    }
}

bool BackendBook::onProgress(const ServerId &server)
{
    const auto *backend = find(server);
    return backend != nullptr && backend->spec.group && groups_.onProgress(placeOf(*backend));
}

std::uint64_t BackendBook::groupEpochOf(const ServerId &server) const
{
    const auto *backend = find(server);
    return backend != nullptr && backend->spec.group ? placeOf(*backend).epoch : 0;
}

std::vector<GroupId> BackendBook::groupsBrokenSince(TimePoint time) const
{
    std::vector<GroupId> groups;
    for (const auto &[group, state] : groupStates_.all()) {
        const GroupPlace place{.group = group, .epoch = state.epoch, .isOpen = state.isOpen};
        if (!state.isOpen && state.since <= time && !groups_.hasFormed(place)) {
            groups.push_back(group);
        }
    }
    return groups;
}

std::vector<const Backend *> BackendBook::ranksOf(const GroupId &group, TimePoint now) const
{
    std::vector<const Backend *> ranks;
    for (const auto &[id, backend] : backends_) {
        if (backend.spec.group && backend.spec.group->group == group && isUsable(backend, now)) {
            ranks.push_back(&backend);
        }
    }
    return ranks;
}

bool BackendBook::onGroupOpen(const ServerId &rank, std::uint64_t epoch, TimePoint now)
{
    const auto *backend = find(rank);
    return backend != nullptr && backend->spec.group && groups_.onReportedOpen(placeOf(*backend), epoch, now);
}

bool BackendBook::isInClosedGroup(const ServerId &server, TimePoint now) const
{
    const auto found = backends_.find(server);
    return found != backends_.end() && !isGroupOpen(found->second, now);
}

void BackendBook::setPeersInFlight(const ServerId &server, std::uint32_t inFlight)
{
    const auto found = backends_.find(server);
    if (found != backends_.end()) {
        found->second.peersInFlight = inFlight;
    }
}

std::vector<ServerId> BackendBook::sweep(TimePoint now)
{
    notices_.expire(now);
    std::vector<ServerId> forgotten;
    for (auto it = backends_.begin(); it != backends_.end();) {
        auto &backend = it->second;
        if (backend.lapsesAt && *backend.lapsesAt <= now) {
            backend.isGone = true;
        }
        if (backend.isGone && backend.ownInFlight == 0) {
            forgotten.push_back(it->first);
            it = backends_.erase(it);
        } else {
            ++it;
        }
    }
    refreshGroups(now);
    return forgotten;
}

BackendBook::Occupancy BackendBook::occupancy(const ServiceId &service, TimePoint now) const
{
    Occupancy result;
    for (const auto &[id, backend] : backends_) {
        if (backend.spec.service == service && isUsable(backend, now) && now >= pausedUntil(backend)) {
            result.places += backend.spec.slots;
            result.inFlight += backend.inFlight();
        }
    }
    return result;
}

std::vector<const Backend *> BackendBook::usable(const ServiceId &service, TimePoint now) const
{
    std::vector<const Backend *> servers;
    for (const auto &[id, backend] : backends_) {
        if (backend.spec.service == service && isUsable(backend, now) && now >= pausedUntil(backend)
            && isGroupOpen(backend, now)) {
            servers.push_back(&backend);
        }
    }
    return servers;
}

} // namespace hornbeamlane
