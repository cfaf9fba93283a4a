#include "hornbeamlane_admission/controller/AdmissionController.h"

#include <algorithm>
#include <cmath>

namespace hornbeamlane {

namespace {

using namespace std::chrono_literals;

constexpr auto notReadyRetryAfter = 1s;

Refusal notRun(RefusalReason reason, std::string detail, std::optional<Duration> retryAfter = {})
{
    Refusal refusal{.reason = reason, .execution = ExecutionState::NotRun, .detail = std::move(detail)};
    if (retryAfter) {
        refusal.retryAfter = std::chrono::ceil<std::chrono::milliseconds>(*retryAfter);
    }
    return refusal;
}

} // namespace

AdmissionController::AdmissionController(ServerId server, Incarnation agent, Options options, TimePoint now)
    : options_(std::move(options))
    , server_(server)
    , coldStart_(options_.coldStart)
    , adaptive_(options_.adaptive)
    , engine_(options_.engine, now)
    , rate_(options_.engineRate)
    , queue_(options_.queue)
    , teams_(std::move(server), agent, options_.teams)
{
    if (!options_.refusesUnderDrain) {
        options_.refusesUnderDrain = [] { return true; };
    }
}

void AdmissionController::applyCatalogue(CatalogueVersion version, const Catalogue &catalogue, CatalogueVersion settled,
                                         TimePoint now)
{
    teams_.apply(version, catalogue, settled, now);
    if (version < newest_) {
        return;
    }
    newest_ = version;
    classes_ = catalogue.classes;
    const auto own = catalogue.servers.find(server_);
    isListed_ = own != catalogue.servers.end();
    if (isListed_) {
        const auto cold = own->second.coldConcurrency;
        const auto concurrency = own->second.header.limits.concurrency.value_or(cold);
        coldStart_.setBounds(cold, concurrency);
        adaptive_.setBounds(cold, concurrency);
    }
}

AdmissionController::Decision AdmissionController::submit(const Request &request, TimePoint now)
{
    HORNBEAMLANE_ASSERT(!entries_.contains(request.attempt));
    if ((isDraining_ || isLeaving_) && options_.refusesUnderDrain()) {
        return notRun(RefusalReason::Draining, "the server takes no new work");
    }
    engine_.advance(now);
    if (!engine_.isReady() || !isListed_) {
        return notRun(RefusalReason::NotReady,
                      isListed_ ? "the engine has not reported yet that it is free" : "the catalogue lacks the server",
                      notReadyRetryAfter);
    }
    const auto found = classes_.find(request.requestClass);
    const auto targets = found == classes_.end() ? ClassEntry() : found->second;
    const auto firstTokenDeadline = now + std::min<Duration>(targets.firstTokenTarget, request.remainingDeadline);
    const bool startsNow = queue_.size() == 0 && mayStartOne(now);
    const auto wait = startsNow ? Duration::zero() : predictedWait(queue_.ahead(request.team, request.priority), now);
    // An idle engine gets one request in any case: without it a bad estimate would never be corrected.
    const bool isProbe = startsNow && coldStart_.running() == 0;
    const bool isLate = !isProbe && queue_.isLate(now + wait + predictedFirstToken(), firstTokenDeadline);
    if (isLate || request.remainingDeadline <= Duration::zero()) {
        return notRun(RefusalReason::DeadlineTooShort, "the first token would be late", wait);
    }
    const auto deadline = now + request.remainingDeadline;
    if (auto refusal = teams_.reserve(request.team, deadline, request.tokens, now)) {
        return *refusal;
    }
    auto &entry = entries_[request.attempt];
    entry = {.team = request.team,
             .tokens = request.tokens,
             .firstTokenTarget = targets.firstTokenTarget,
             .intervalTarget = targets.tokenIntervalTarget,
             .deadline = deadline};
    if (startsNow) {
        start(request.attempt, entry, now);
        return Admitted();
    }
    const auto dropped = queue_.push({.id = request.attempt,
                                      .team = request.team,
                                      .priority = request.priority,
                                      .cost = request.tokens,
                                      .deadline = firstTokenDeadline});
    if (!dropped) {
        return Queued();
    }
    if (dropped->id != request.attempt) {
        refuseQueued(*dropped, RefusalReason::Overloaded, "the queue is full of more urgent requests", now);
        return Queued();
    }
    teams_.giveBack(request.team, request.tokens, now);
    entries_.erase(request.attempt);
    return notRun(RefusalReason::Overloaded, "the queue is full", wait);
}

std::uint32_t AdmissionController::limit() const
{
    return std::min(coldStart_.limit(), adaptive_.limit());
}

bool AdmissionController::mayStartOne(TimePoint now)
{
    return coldStart_.mayStart(engine_.leftovers()) && coldStart_.running() + engine_.leftovers() < adaptive_.limit()
        && rate_.mayStart(now);
}

void AdmissionController::start(const AttemptId &attempt, Entry &entry, TimePoint now)
{
    entry.isRunning = true;
    entry.number = coldStart_.started();
    rate_.onStarted();
    entry.startedAt = now;
    deadlines_.emplace(entry.deadline, attempt);
}

Duration AdmissionController::predictedFirstToken() const
{
    return firstTokenTime_.hasSamples() ? firstTokenTime_.high() : Duration::zero();
}

Duration AdmissionController::predictedWait(std::size_t ahead, TimePoint now)
{
    const auto forRate = rate_.timeUntil(ahead + 1, now);
    if (!holdTime_.hasSamples()) {
        return forRate;
    }
    // Slots become free at this interval when all are in use.
    return std::max<Duration>(holdTime_.mean() * (ahead + 1) / std::max(limit(), 1U), forRate);
}

std::uint32_t AdmissionController::reportedLimit() const
{
    const auto rate = rate_.perSecond();
    if (!rate || !holdTime_.hasSamples()) {
        return limit();
    }
    // Entries fill servers up to what they may run at once; at its limit on requests a second an engine runs so many.
    const auto running = std::ceil(*rate * std::chrono::duration<double>(holdTime_.mean()).count());
    return static_cast<std::uint32_t>(std::clamp<double>(running, 1, std::max(limit(), 1U)));
}

void AdmissionController::started(const AttemptId &attempt, TimePoint now)
{
    const auto entry = entries_.find(attempt);
    if (entry != entries_.end() && entry->second.isRunning) {
        entry->second.startedAt = now;
    }
}

void AdmissionController::noteFirstToken(Entry &entry, TimePoint now)
{
    entry.hasFirstToken = true;
    entry.lastTokenAt = now;
    const auto time = now - entry.startedAt;
    firstTokenTime_.add(time);
    adaptive_.firstToken(time, entry.firstTokenTarget, coldStart_.running(), now);
    coldStart_.firstToken(entry.number, time, now);
}

void AdmissionController::firstToken(const AttemptId &attempt, TimePoint now)
{
    const auto entry = entries_.find(attempt);
    if (entry != entries_.end() && entry->second.isRunning && !entry->second.hasFirstToken) {
        ++entry->second.generated;
        noteFirstToken(entry->second, now);
    }
}

void AdmissionController::tokens(const AttemptId &attempt, std::uint32_t count, TimePoint now)
{
    const auto position = entries_.find(attempt);
    if (position == entries_.end() || !position->second.hasFirstToken || count == 0) {
        return;
    }
    auto &entry = position->second;
    entry.generated += count;
    const auto interval = (now - entry.lastTokenAt) / count;
    entry.lastTokenAt = now;
    interval_.add(interval);
    adaptive_.tokens(count, interval, entry.intervalTarget, coldStart_.running(), now);
}

void AdmissionController::finished(const AttemptId &attempt, Outcome outcome, TimePoint now)
{
    const auto position = entries_.find(attempt);
    if (position == entries_.end() || !position->second.isRunning) {
        return;
    }
    auto &entry = position->second;
    if (outcome == Outcome::Succeeded && !entry.hasFirstToken) {
        // The answer of a plain service comes in one piece.
        noteFirstToken(entry, now);
    }
    if (outcome == Outcome::Succeeded || outcome == Outcome::Cancelled) {
        holdTime_.add(now - entry.startedAt);
    }
    if (outcome == Outcome::ConnectionLost) {
        connectionFailed(now);
    }
    coldStart_.finished();
    teams_.release(entry.team, static_cast<std::int64_t>(entry.tokens) - entry.generated, now);
    deadlines_.erase({entry.deadline, attempt});
    entries_.erase(position);
}

void AdmissionController::cancelled(const AttemptId &attempt, TimePoint now)
{
    const auto position = entries_.find(attempt);
    if (position == entries_.end()) {
        return;
    }
    if (queue_.cancel(attempt)) {
        teams_.giveBack(position->second.team, position->second.tokens, now);
        entries_.erase(position);
    } else if (deadlines_.erase({position->second.deadline, attempt}) > 0) {
        actions_.cancelInEngine.push_back(attempt);
    }
}

void AdmissionController::engineReported(const EngineReport &report, TimePoint now)
{
    if (engine_.reported(report, now)) {
        coldStart_.fallBackToCold(now);
    }
    noteLeftovers();
}

void AdmissionController::connectionFailed(TimePoint now)
{
    if (engine_.connectionFailed()) {
        coldStart_.fallBackToCold(now);
    }
}

bool AdmissionController::engineAnswered(std::optional<double> requestsPerSecond, TimePoint sentAt, TimePoint now)
{
    return rate_.onAnswer(requestsPerSecond, sentAt, now);
}

void AdmissionController::noteLeftovers()
{
    teams_.setLeftovers(engine_.leftovers());
}

void AdmissionController::setDraining(bool isDraining)
{
    isDraining_ = isDraining;
}

void AdmissionController::leave()
{
    isLeaving_ = true;
}

void AdmissionController::leaseReadFinished(const TeamId &team, const TableReply &reply, TimePoint now)
{
    teams_.readFinished(team, reply, now);
}

void AdmissionController::leaseWriteFinished(const TeamId &team, const TableReply &reply, TimePoint now)
{
    teams_.writeFinished(team, reply, now);
}

void AdmissionController::refuseQueued(const FairQueue<AttemptId>::Item &item, RefusalReason reason, const char *detail,
                                       TimePoint now)
{
    const auto position = entries_.find(item.id);
    HORNBEAMLANE_ASSERT(position != entries_.end() && !position->second.isRunning);
    teams_.giveBack(item.team, position->second.tokens, now);
    entries_.erase(position);
    actions_.refuse.emplace_back(item.id, notRun(reason, detail));
}

void AdmissionController::startQueued(TimePoint now)
{
    for (const auto &item : queue_.dropLate(now, predictedFirstToken())) {
        refuseQueued(item, RefusalReason::DeadlineTooShort, "the first token would be late", now);
    }
    while (queue_.size() > 0 && mayStartOne(now)) {
        const auto item = queue_.pop();
        if (!teams_.mayStart(item->team, now)) {
            refuseQueued(*item, RefusalReason::TeamLimitReached, "the team's share of this server has shrunk", now);
            continue;
        }
        start(item->id, entries_.at(item->id), now);
        actions_.start.push_back(item->id);
    }
}

AdmissionController::Actions AdmissionController::takeActions(TimePoint now)
{
    engine_.advance(now);
    noteLeftovers();
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        actions_.cancelInEngine.push_back(deadlines_.begin()->second);
        deadlines_.erase(deadlines_.begin());
    }
    startQueued(now);
    actions_.table = teams_.takeTableActions(now);
    return std::exchange(actions_, {});
}

std::optional<TimePoint> AdmissionController::nextTimer() const
{
    std::optional<TimePoint> next;
    const auto consider = [&next](std::optional<TimePoint> time) {
        if (time && (!next || *time < *next)) {
            next = time;
        }
    };
    consider(engine_.nextTimer());
    consider(teams_.nextTimer());
    if (const auto earliest = queue_.earliestDeadline()) {
        consider(*earliest - predictedFirstToken());
    }
    if (queue_.size() > 0) {
        consider(rate_.nextStart());
    }
    if (!deadlines_.empty()) {
        consider(deadlines_.begin()->first);
    }
    return next;
}

LoadReport AdmissionController::loadReport(TimePoint now)
{
    LoadReport report{.inFlight = coldStart_.running() + engine_.leftovers(),
                      .limit = reportedLimit(),
                      .queued = static_cast<std::uint32_t>(queue_.size()),
                      .warmFraction = coldStart_.warmFraction(),
                      .engineIncarnation = engine_.engine(),
                      .stepTime = std::chrono::duration_cast<std::chrono::microseconds>(interval_.mean()),
                      .leaving = isLeaving_};
    for (const auto &team : teams_.takeChangedTeams(options_.budgetsPerReport)) {
        report.teamBudgets.push_back({.team = team, .freeConcurrency = teams_.freeConcurrency(team, now)});
    }
    return report;
}

std::optional<CatalogueVersion> AdmissionController::confirmableVersion(TimePoint now)
{
    return teams_.isWithinShares(now) ? std::optional(teams_.newestVersion()) : std::nullopt;
}

std::vector<CatalogueVersion> AdmissionController::missingVersions() const
{
    return teams_.missingVersions();
}

std::uint32_t AdmissionController::freeConcurrency(const TeamId &team, TimePoint now)
{
    return teams_.freeConcurrency(team, now);
}

} // namespace hornbeamlane
