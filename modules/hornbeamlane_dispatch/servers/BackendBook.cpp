#include "hornbeamlane_dispatch/servers/BackendBook.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hornbeamlane {

namespace {

/** Weight of one outcome in the moving average of failures. */
constexpr double failureWeight = 0.15;

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
    const auto [found, isNew] = backends_.try_emplace(spec.id);
    auto &backend = found->second;
    const auto unit = spec.group ? paceUnitOf(spec.group->group) : paceUnitOf(spec.id);
    const bool isGroupAsBefore =
        !isNew && !backend.isGone && backend.replacedUntil <= now && spec.group == backend.spec.group;
    const bool hasMoved = isNew || spec.service != backend.spec.service || unit != backend.paceUnit;
    if (hasMoved && !isNew) {
        index_.remove(backend);
    }
    if (spec.incarnation != backend.spec.incarnation || spec.address != backend.spec.address) {
        backend.replacedUntil = {};
    }
    backend.spec = spec;
    backend.start = hashOfStart(spec.id, spec.incarnation);
    backend.paceUnit = unit;
    if (hasMoved) {
        index_.add(backend);
    }
    backend.isGone = false;
    backend.lapsesAt.reset();
    backend.coldUntil = std::max(backend.coldUntil, now + spec.warmupLeft);
    if (!isGroupAsBefore) {
        refreshGroups(now);
    }
}

void BackendBook::refreshGroups(TimePoint now)
{
    std::vector<const GroupPlace *> places;
    for (const auto &[id, backend] : backends_) {
        if (backend.spec.group && !backend.isGone && now >= backend.replacedUntil) {
            places.push_back(&*backend.spec.group);
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

void BackendBook::assumeCold(const DataCentreId &dataCentre, TimePoint now)
{
    assumedColdSince_[dataCentre] = now;
}

void BackendBook::endAssumedCold(const DataCentreId &dataCentre)
{
    assumedColdSince_.erase(dataCentre);
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
    for (const auto *backend : index_.ofService(service)) {
        if (isUsable(*backend, now)) {
            const auto left = std::max(Duration::zero(), pausedUntil(*backend) - now);
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

Duration BackendBook::coldPeriod(const Backend &backend) const
{
    const auto found = warmups_.find(backend.spec.service);
    if (found == warmups_.end() || found->second.requestsPerSecond <= 0) {
        return Duration::zero();
    }
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(options_.entryCount / found->second.requestsPerSecond));
}

bool BackendBook::isCold(const Backend &backend, TimePoint now) const
{
    if (now < backend.coldUntil) {
        return true;
    }
    const auto assumed = assumedColdSince_.find(backend.spec.dataCentre);
    const auto warmup = warmups_.find(backend.spec.service);
    return assumed != assumedColdSince_.end() && warmup != warmups_.end()
        && now < assumed->second + warmup->second.time;
}

bool BackendBook::isColdFull(Backend &backend, TimePoint now, RandomSource &random) const
{
    const auto period = coldPeriod(backend);
    if (period <= Duration::zero() || !isCold(backend, now)) {
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

std::map<PaceUnitId, PaceUnitLoad> BackendBook::paceUnits(const ServiceId &service, TimePoint now) const
{
    std::map<PaceUnitId, PaceUnitLoad> units;
    for (const auto *backend : usable(service, now)) {
        auto &unit = units[backend->paceUnit];
        const auto slots = backend->spec.slots;
        const auto *finding = options_.findingOf(*backend);
        unit.places += slots;
        unit.takesWell +=
            finding == nullptr ? slots : std::min(slots, static_cast<std::uint32_t>(std::ceil(finding->takesWell)));
        unit.inFlight += backend->inFlight();
    }
    return units;
}

PaceUnitLoad BackendBook::loadOf(const PaceUnitId &unit, TimePoint now) const
{
    PaceUnitLoad load;
    for (const auto *backend : index_.ofUnit(unit)) {
        if (isUsable(*backend, now) && now >= pausedUntil(*backend) && isGroupOpen(*backend, now)) {
            load.places += backend->spec.slots;
            load.inFlight += backend->inFlight();
        }
    }
    return load;
}

std::optional<ServerId> BackendBook::choose(const Request &request, TimePoint now, RandomSource &random)
{
    return selector_.choose(*this, request, now, random);
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
            index_.remove(backend);
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
    for (const auto *backend : index_.ofService(service)) {
        if (isUsable(*backend, now) && now >= pausedUntil(*backend)) {
            result.places += backend->spec.slots;
            result.inFlight += backend->inFlight();
        }
    }
    return result;
}

std::vector<const Backend *> BackendBook::usable(const ServiceId &service, TimePoint now) const
{
    std::vector<const Backend *> servers;
    for (const auto *backend : index_.ofService(service)) {
        if (isUsable(*backend, now) && now >= pausedUntil(*backend) && isGroupOpen(*backend, now)) {
            servers.push_back(backend);
        }
    }
    return servers;
}

} // namespace hornbeamlane
