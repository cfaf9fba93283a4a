#include "hornbeamlane_gateway/request/ForwardedRequest.h"

#include "hornbeamlane_gateway/Gateway.h"
#include "hornbeamlane_gateway/request/RequestHeaders.h"
#include "hornbeamlane_gateway/request/RequestLog.h"
#include "hornbeamlane_gateway/request/RequestMatch.h"

#include <algorithm>
#include <utility>

namespace hornbeamlane {

namespace {

using std::chrono::milliseconds;

/** Longest wait of a suspect for another one to show whether it crashes servers; a sound one begins within this time.
 */
constexpr milliseconds suspectWait{600};

/** Sendings of one request in all, also those that servers rejected without running it. */
constexpr std::uint32_t maxSends = 4;

/** Streams mostly end well before the time that their callers would wait; the entry has to run on for this share of it.
 */
constexpr double streamShareBeforeStop = 0.5;

/** Longest rest of a pause of all servers for which a request waits. */
constexpr milliseconds shortPause{300};

} // namespace

ForwardedRequest::ForwardedRequest(Gateway &gateway, RequestNumber number, std::shared_ptr<Http1Exchange> exchange)
    : gateway_(gateway)
    , number_(number)
    , exchange_(std::move(exchange))
    , timer_(gateway.loop_, [this] { onTimeout(); })
    , answers_(exchange_, gateway.collectedBytes_)
{
}

ForwardedRequest::~ForwardedRequest() = default;

TimePoint ForwardedRequest::now() const
{
    return gateway_.loop_.now();
}

void ForwardedRequest::start()
{
    arrivedAt_ = now();
    table_ = gateway_.table_;
    if (!admit()) {
        return;
    }
    exchange_->onClosed([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->onCallerLeft();
        }
    });
    timer_.startOnce(deadline_ - arrivedAt_);
    gateway_.queues_.of(service_).retries.countRequest(arrivedAt_);
    gateway_.rateLimits_.onRequest(service_);
    if (admitToShare()) {
        dispatch(true);
    }
}

bool ForwardedRequest::admitToShare()
{
    const ArrivalClass arrivals{.priority = wait_->priority(),
                                .isLate = wait_->isLate(),
                                .team = team_ == nullptr ? 0 : hashOfTeam(team_->name)};
    const auto retryAfter = gateway_.queues_.rejectionOf(service_, arrivals, deadline_ - arrivedAt_, gateway_.peers_);
    // An entry that stops sends the caller to another one at once.
    if (!retryAfter || !canEndBeforeStop()) {
        return true;
    }
    shareRetryAfter_ = *retryAfter;
    gateway_.metrics_.addToCounter(
        "requests_over_share_total",
        {{"priority", std::to_string(boundedPriority(arrivals.priority))}, {"late", arrivals.isLate ? "yes" : "no"}});
    refuse(GatewayRefusal::OverShare);
    return false;
}

void ForwardedRequest::refuseAsQuarantined()
{
    const auto quarantine = gateway_.crashes_.quarantineOf(traits_);
    logEvent(
        LogLevel::Info, "request_quarantined",
        {{"id", attemptId_}, {"traits", formatTraits(quarantine.traits)}, {"for_s", formatSeconds(quarantine.left)}});
    refuse(GatewayRefusal::Quarantined);
}

void ForwardedRequest::hold()
{
    if (!holdsUntil_) {
        holdsUntil_ = std::min(now() + suspectWait, deadline_);
        logEvent(LogLevel::Info, gateway_.crashes_.isLearning() ? "request_held_at_start" : "request_held_as_suspect",
                 {{"id", attemptId_}, {"parts", formatTraits(traits_.parts)}, {"origin", formatOrigin(traits_)}});
    }
    if (now() >= *holdsUntil_) {
        refuse(GatewayRefusal::Suspected);
        return;
    }
    isHeld_ = true;
    gateway_.watchHeldRequests();
}

void ForwardedRequest::onCrashesChanged()
{
    if (isFinished_) {
        return;
    }
    const auto self = shared_from_this();
    if (std::exchange(isHeld_, false)) {
        dispatch(true);
        return;
    }
    // What has been sent and not begun can still be spared the server. It must not become the one that is tried: a claim
    // of a request that is not sent again would keep all others waiting.
    if (send_ && send_->isUnanswered() && gateway_.crashes_.isQuarantined(traits_)) {
        ++runs_;
        endSend(BackendOutcome::Cancelled);
        refuseAsQuarantined();
    }
}

std::optional<LostRequest> ForwardedRequest::unansweredAt(const ServerId &server) const
{
    if (!send_ || send_->start.server != server || !send_->isUnanswered()) {
        return std::nullopt;
    }
    return LostRequest{.candidate = {.traits = traits_, .hadHead = send_->head.has_value()},
                       .sentAt = send_->startedAt,
                       .lostAt = now()};
}

bool ForwardedRequest::admit()
{
    const auto &request = exchange_->request();
    const auto &names = gateway_.settings_.headers;
    if (const auto *id = request.header(names.attemptId)) {
        attemptId_ = *id;
    }
    auto reason = GatewayRefusal::NotReady;
    const auto match = matchRequest(request, table_.get(), names, reason);
    if (!match) {
        refuse(reason);
        return false;
    }
    route_ = match->route;
    team_ = match->team;
    service_ = chooseService(*route_, gateway_.random_);
    traits_ = traitsOfRequest(request, *match, service_, names);
    const auto stated = parseMilliseconds(request.header(names.timeLeft));
    deadline_ = arrivedAt_ + std::min(stated.value_or(route_->timeout), route_->timeout);
    wait_.emplace(gateway_.queues_,
                  PlaceWait::Options{.service = service_,
                                     .kind = route_->kind,
                                     .latencyTarget = route_->latencyTarget,
                                     .priority = match->priority(),
                                     .arrivedAt = arrivedAt_,
                                     .deadline = deadline_,
                                     .isLate = stated && gateway_.isShortened(*route_, *stated)});
    if (const auto *position = request.header(names.lastEventId)) {
        answers_.events().setLastEventId(*position);
    }
    return true;
}

PlaceWait::Stage ForwardedRequest::stage() const
{
    return exchange_->isStreaming() ? PlaceWait::Stage::Streaming : PlaceWait::Stage::Unanswered;
}

bool ForwardedRequest::canEndBeforeStop() const
{
    const auto stop = gateway_.cutOffAt();
    if (!stop) {
        return true;
    }
    const std::chrono::duration<double> left = *stop - now();
    // What an order has come to stays unknown if the entry stops before its answer, so it gets all of its time. So does
    // a stream that comes when its caller could know of the stop: there is no excuse for cutting it off.
    const bool isEarlyStream = route_->kind == RequestKind::Stream && !gateway_.isStopKnownAt(arrivedAt_);
    const auto share = isEarlyStream ? streamShareBeforeStop : 1.0;
    return left >= (deadline_ - now()) * share;
}

TimePoint ForwardedRequest::lastMoment() const
{
    const auto stop = gateway_.cutOffAt();
    return stop ? std::min(*stop, deadline_) : deadline_;
}

void ForwardedRequest::dispatch(bool mayQueue)
{
    if (!canEndBeforeStop()) {
        refuse(GatewayRefusal::Stopping);
        return;
    }
    const auto decision = gateway_.crashes_.decide(number_, traits_);
    if (decision == CrashGuard::Decision::Refuse) {
        refuseAsQuarantined();
        return;
    }
    // Those that wait already come first, unless they have missed their target and this one has not.
    const bool isTrial = gateway_.crashes_.isTrial(number_);
    const bool isBehindOthers = mayQueue && !isTrial && wait_->isBehindOthers(stage());
    const auto server = chooseServer(mayQueue && !isTrial ? PaceBound::Applies : PaceBound::Ignored);
    if (!server && !isWorthWaiting()) {
        refuse(refusalFor(gateway_.backends_.lastFailure()));
        return;
    }
    if (decision == CrashGuard::Decision::Wait) {
        hold();
        return;
    }
    if (server && !isBehindOthers) {
        send(*server);
        return;
    }
    if (!wait_->join(stage(), now(), weak_from_this())) {
        refuseForLackOfPlace();
    }
}

void ForwardedRequest::refuseForLackOfPlace()
{
    refuse(gateway_.queues_.ownRate(service_) ? GatewayRefusal::RateLimited : GatewayRefusal::Overloaded);
}

std::optional<ServerId> ForwardedRequest::chooseServer(PaceBound bound)
{
    const bool isStream = route_->kind == RequestKind::Stream;
    if (isStream) {
        gateway_.queues_.updatePace(service_);
    }
    // A stream that has begun was counted already.
    const bool isBounded = isStream && bound == PaceBound::Applies && !exchange_->isStreaming();
    auto excluded = gateway_.crashes_.serversToAvoid(number_);
    excluded.insert(excluded.end(), tried_.begin(), tried_.end());
    return gateway_.backends_.choose(
        {.service = service_,
         .dataCentre = gateway_.settings_.dataCentre,
         .excluded = &excluded,
         .isStream = isStream,
         .shareOfPaceBound = isBounded ? std::optional(ServiceQueues::shareOfPaceBound(wait_->isLate())) : std::nullopt,
         .latencyTarget = route_->latencyTarget},
        now(), gateway_.random_);
}

bool ForwardedRequest::isWorthWaiting() const
{
    switch (gateway_.backends_.lastFailure()) {
    case BackendBook::NoChoice::AllFull:
    case BackendBook::NoChoice::AtPaceBound:
    case BackendBook::NoChoice::RateLimited:
    case BackendBook::NoChoice::GroupForming:
        return true;
    case BackendBook::NoChoice::AllPaused:
        return gateway_.backends_.pauseLeft(service_, now()) <= shortPause;
    case BackendBook::NoChoice::NoServer:
    case BackendBook::NoChoice::GroupBroken:
    case BackendBook::NoChoice::AllExcluded:
        return false;
    }
    return false;
}

bool ForwardedRequest::tryLeaveQueue()
{
    if (const auto decision = gateway_.crashes_.decide(number_, traits_); decision != CrashGuard::Decision::Send) {
        wait_->leave();
        decision == CrashGuard::Decision::Refuse ? refuseAsQuarantined() : hold();
        return true;
    }
    if (!canEndBeforeStop()) {
        wait_->leave();
        refuse(GatewayRefusal::Stopping);
        return true;
    }
    const auto server = chooseServer(PaceBound::Applies);
    if (!server && isWorthWaiting()) {
        return false;
    }
    wait_->leave();
    if (server) {
        send(*server);
    } else {
        refuse(refusalFor(gateway_.backends_.lastFailure()));
    }
    return true;
}

void ForwardedRequest::onWaitExpired()
{
    wait_->leave();
    if (!wait_->isLate() && !exchange_->isStreaming() && wait_->joinAsLate(stage(), now(), weak_from_this())) {
        return;
    }
    refuseForLackOfPlace();
}

HttpHeaders ForwardedRequest::requestHeaders(const ServerId &server) const
{
    const auto &names = gateway_.settings_.headers;
    auto headers = callerHeaders(exchange_->request().headers, names);
    headers.emplace_back(names.timeLeft, formatMilliseconds(std::max(Duration::zero(), lastMoment() - now())));
    headers.emplace_back(names.expectedServer, server.name());
    if (team_ != nullptr) {
        headers.emplace_back(names.team, team_->name.name());
    }
    if (const auto *service = table_->findService(service_); service != nullptr && service->engine) {
        headers.emplace_back(names.priority, std::to_string(boundedPriority(wait_->priority())));
    }
    if (const auto &position = answers_.events().lastEventId()) {
        headers.emplace_back(names.lastEventId, *position);
    }
    return headers;
}

void ForwardedRequest::send(const ServerId &server)
{
    const auto *backend = gateway_.backends_.find(server);
    const auto &request = exchange_->request();
    auto &sending = send_.emplace();
    sending.start = {.server = server, .incarnation = backend->spec.incarnation, .address = backend->spec.address};
    sending.groupEpoch = gateway_.backends_.groupEpochOf(server);
    sending.paceUnit = backend->paceUnit;
    sending.startedAt = now();
    sending.connection = gateway_.pool_.acquire(server, sending.start.address);
    sending.isKept = sending.connection->isReusable();
    tried_.push_back(server);
    ++sends_;
    holdsUntil_.reset();
    gateway_.crashes_.onSent(number_, server);
    gateway_.backends_.onSent(server, sending.startedAt);
    sending.inFlightAtStart = backend->inFlight();
    gateway_.rateLimits_.onSent(sending.start, sends_ > 1);
    gateway_.queues_.of(service_).starts.count(sending.startedAt);
    gateway_.peers_.markChanged();
    // The request outlives the connection, which it owns; the callbacks end with the connection. A reference held by
    // them would keep both for good when the gateway ends with requests running.
    sending.connection->call(
        {.method = request.method, .target = request.target, .headers = requestHeaders(server), .body = request.body},
        {.head = [this](const Http1ResponseHead &head) { return handleHead(head); },
         .data = [this](std::string_view bytes) { handleData(bytes); },
         .end = [this](Http1CallEnd end) { handleEnd(end); }});
}

bool ForwardedRequest::handleHead(const Http1ResponseHead &head)
{
    const auto &names = gateway_.settings_.headers;
    const auto *echoed = head.header(names.attemptId);
    if (echoed != nullptr && *echoed != attemptId_) {
        logEvent(LogLevel::Warning, "answer_of_other_request",
                 {{"id", attemptId_}, {"server", send_->start.server.name()}, {"answered", *echoed}});
        return false;
    }
    if (const auto left = parseMilliseconds(head.header(names.warmup))) {
        gateway_.backends_.onWarmup(send_->start.server, *left, now());
    }
    gateway_.crashes_.onServerAnswered(send_->start, send_->startedAt,
                                       head.status == statusMisdirected && isOwnAnswer(head));
    if (head.status != statusMisdirected && isOwnAnswer(head)) {
        gateway_.notices_.onAnswer(attemptId_, send_->start, head);
    }
    gateway_.rateLimits_.onAnswer(attemptId_, send_->start, send_->startedAt, head);
    send_->head = head;
    send_->isStreamed = route_->kind == RequestKind::Stream && head.status == 200 && isValidSuccess(head, names)
        && answers_.mayGoOnWith(head);
    if (firstByteAt_ == TimePoint{}) {
        firstByteAt_ = now();
    }
    return true;
}

void ForwardedRequest::handleData(std::string_view bytes)
{
    const auto progress = send_->isStreamed ? answers_.passEvents(*send_, bytes) : answers_.collect(*send_, bytes);
    switch (progress) {
    case AnswerRelay::Progress::None:
        return;
    case AnswerRelay::Progress::TooLarge:
        failAsTooLarge();
        return;
    case AnswerRelay::Progress::Passed:
        noteEvents();
        return;
    }
}

void ForwardedRequest::failAsTooLarge()
{
    logEvent(LogLevel::Warning, "answer_too_large",
             {{"id", attemptId_},
              {"server", send_->start.server.name()},
              {"bytes", std::to_string(answers_.waitingBytes(*send_))},
              {"of_all_requests", std::to_string(gateway_.collectedBytes_)}});
    ++runs_;
    endSend(BackendOutcome::Failed);
    retryOrRefuse(GatewayRefusal::ServerFailed);
}

void ForwardedRequest::noteEvents()
{
    notePace();
    if (gateway_.backends_.onProgress(send_->start.server)) {
        gateway_.groupHasFormed(send_->start.server);
    }
    if (!answers_.isCallerSlow()) {
        return;
    }
    send_->connection->pauseReading();
    exchange_->onDrained([weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->send_) {
            self->send_->connection->resumeReading();
        }
    });
}

void ForwardedRequest::notePace()
{
    const auto time = now();
    auto &queues = gateway_.queues_;
    if (send_->lastEventAt == TimePoint{}) {
        queues.onFirstEvent(service_, time - send_->startedAt);
        gateway_.crashes_.onAnswerBegun(number_, attemptId_, traits_);
    } else {
        longestPause_ = std::max(longestPause_, time - send_->lastEventAt);
        queues.paces().onPause(send_->paceUnit, time - send_->lastEventAt, route_->pauseTarget, time);
    }
    send_->lastEventAt = time;
}

void ForwardedRequest::reportFailedSend(Http1CallEnd end) const
{
    const auto *backend = gateway_.backends_.find(send_->start.server);
    logFailedSend(*send_,
                  {.attemptId = attemptId_,
                   .end = end,
                   .events = answers_.events().completeEvents(),
                   .sinceSent = now() - send_->startedAt,
                   .inFlight = backend == nullptr ? std::nullopt : std::optional(backend->inFlight()),
                   .parts = exchange_->request().header(gateway_.settings_.headers.promptParts),
                   .traits = traits_});
    gateway_.metrics_.addToCounter("sends_failed_total", {{"reason", std::string(toString(end))}});
}

void ForwardedRequest::handleEnd(Http1CallEnd end)
{
    if (end != Http1CallEnd::Complete) {
        reportFailedSend(end);
    }
    switch (end) {
    case Http1CallEnd::Complete:
        handleCompleteAnswer();
        return;
    case Http1CallEnd::NotSent:
        handleUnreachable();
        return;
    case Http1CallEnd::BrokenOff:
        handleBrokenOff();
        return;
    case Http1CallEnd::BadResponse:
        ++runs_;
        endSend(BackendOutcome::Failed);
        retryOrRefuse(GatewayRefusal::ServerFailed);
        return;
    }
}

void ForwardedRequest::handleBrokenOff()
{
    ++runs_;
    const auto start = send_->start;
    const auto unanswered = unansweredAt(start.server);
    const bool wasStale = send_->wasStale(now());
    endSend(BackendOutcome::Failed);
    if (!unanswered || wasStale) {
        retryOrRefuse(GatewayRefusal::ServerFailed);
        return;
    }
    // Whether the server has crashed decides whether another one may be tried.
    gateway_.crashes_.detector().onBrokenOff(start, *unanswered, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && !self->isFinished_) {
            self->retryOrRefuse(GatewayRefusal::ServerFailed);
        }
    });
}

void ForwardedRequest::handleUnreachable()
{
    auto &backends = gateway_.backends_;
    backends.onRankTurnedAway(send_->start.server, send_->groupEpoch, now());
    const bool isGroupClosed = backends.isInClosedGroup(send_->start.server, now());
    endSend(BackendOutcome::Unreachable);
    retryOrRefuse(isGroupClosed ? GatewayRefusal::GroupBroken : GatewayRefusal::NoServer);
}

void ForwardedRequest::handleCompleteAnswer()
{
    const auto &names = gateway_.settings_.headers;
    const auto &head = *send_->head;
    if (send_->isStreamed) {
        endStream();
        return;
    }
    if (isNotRun(head, names) && isOwnAnswer(head)) {
        handleRejection();
        return;
    }
    ++runs_;
    const bool isSuccess = head.status / 100 == 2;
    // Another program may listen at the address that an entry names, and answer any status.
    const bool isUnproven = head.header(names.attemptId) == nullptr && head.header(names.signature) == nullptr;
    if (isUnproven || (isSuccess && !isValidSuccess(head, names)) || isPromiseOfNotRun(head.status)) {
        dropDoubtfulConnection();
        endSend(BackendOutcome::Failed);
        retryOrRefuse(GatewayRefusal::ServerFailed);
        return;
    }
    if (isServerError(head.status)) {
        // A server that fails may not have looked at the request, so that proves nothing for it.
        answers_.keepFailure(*send_);
        endSend(BackendOutcome::Failed);
        retryOrRefuse(GatewayRefusal::ServerFailed);
        return;
    }
    gateway_.crashes_.onAnswerBegun(number_, attemptId_, traits_);
    if (!exchange_->isStreaming()) {
        deliverAnswer();
        return;
    }
    // The rest of a stream cannot be continued by an answer of another kind.
    endSend(BackendOutcome::Failed);
    refuse(GatewayRefusal::ServerFailed);
}

bool ForwardedRequest::isOwnAnswer(const Http1ResponseHead &head) const
{
    // Answers with another id have been skipped. One without an id may be that of an earlier request, written once
    // more.
    return !send_->isKept || head.header(gateway_.settings_.headers.attemptId) != nullptr;
}

void ForwardedRequest::dropDoubtfulConnection()
{
    logEvent(LogLevel::Warning, "answer_doubtful",
             {{"id", attemptId_},
              {"server", send_->start.server.name()},
              {"status", std::to_string(send_->head->status)},
              {"has_id", send_->head->header(gateway_.settings_.headers.attemptId) == nullptr ? "no" : "yes"},
              {"kept", send_->isKept ? "yes" : "no"}});
    gateway_.metrics_.addToCounter("answers_doubtful_total");
    // The request's own answer may still come on it.
    send_->connection->cancel();
}

void ForwardedRequest::handleRejection()
{
    const auto status = send_->head->status;
    const auto *named = send_->head->header(gateway_.settings_.headers.faultyServer);
    const std::string faulty = named == nullptr ? "" : *named;
    logEvent(LogLevel::Info, "request_rejected",
             {{"id", attemptId_},
              {"server", send_->start.server.name()},
              {"status", std::to_string(status)},
              {"faulty", faulty}});
    // A rank that rejects a request because of a server elsewhere speaks for its whole group. One that names itself is
    // full or cut off itself.
    auto &backends = gateway_.backends_;
    if (status != statusMisdirected && !faulty.empty() && faulty != send_->start.address) {
        backends.onRankLost(send_->start.server, send_->groupEpoch, now());
    } else if (status == statusUnavailable && send_->head->header("Retry-After") == nullptr) {
        // One that names a time speaks for itself, not for a group that stalls.
        backends.onRankTurnedAway(send_->start.server, send_->groupEpoch, now());
    }
    const bool isGroupClosed = backends.isInClosedGroup(send_->start.server, now());
    endSend(status == statusMisdirected ? BackendOutcome::Misdirected : BackendOutcome::Rejected);
    retryOrRefuse(isGroupClosed ? GatewayRefusal::GroupBroken : GatewayRefusal::RetriesUsedUp);
}

void ForwardedRequest::deliverAnswer()
{
    const auto status = send_->head->status;
    if (!hasCallerLeft_) {
        answers_.deliver(*send_);
    }
    // Errors come fast; only work that was done tells how fast the server is.
    if (status / 100 == 2 && route_->kind != RequestKind::Stream) {
        gateway_.serverLimits_.onAnswered(send_->start.server, send_->start.incarnation, send_->startedAt,
                                          send_->inFlightAtStart);
    }
    endSend(BackendOutcome::Served);
    finish("answered_" + std::to_string(status));
}

void ForwardedRequest::endStream()
{
    // The framing cannot be trusted: a server that fails may close its connection, or end its chunks, inside an event.
    // An answer whose only end is that of the connection has begun only with its first event.
    const auto &events = answers_.events();
    const bool isEmpty = events.completeEvents() == 0 && endsWithConnection(*send_->head);
    if (!events.partialEvent().empty() || isEmpty) {
        reportFailedSend(Http1CallEnd::BrokenOff);
        handleBrokenOff();
        return;
    }
    finishStream();
}

void ForwardedRequest::finishStream()
{
    gateway_.crashes_.onAnswerBegun(number_, attemptId_, traits_);
    gateway_.queues_.paces().onStreamEnded(send_->paceUnit, answers_.events().completeEvents());
    if (!hasCallerLeft_) {
        answers_.finishStream(*send_);
    }
    endSend(BackendOutcome::Served);
    finish("streamed");
}

bool ForwardedRequest::mayRepeat() const
{
    return route_->kind == RequestKind::Idempotent || (route_->kind == RequestKind::Stream && route_->isResumable);
}

void ForwardedRequest::retryOrRefuse(GatewayRefusal reason)
{
    const bool mayRunAgain = runs_ == 0 || (mayRepeat() && runs_ < route_->maxAttempts);
    const bool isWorthwhile = !hasCallerLeft_ && now() < deadline_ && sends_ < maxSends;
    if (mayRunAgain && isWorthwhile && gateway_.queues_.of(service_).retries.takeRetry(now())) {
        dispatch(false);
        return;
    }
    refuse(reason);
}

void ForwardedRequest::endSend(BackendOutcome outcome)
{
    if (!send_) {
        return;
    }
    const auto &start = send_->start;
    const auto unanswered = unansweredAt(start.server);
    if (unanswered && outcome == BackendOutcome::Cancelled) {
        gateway_.crashes_.detector().onGivenUp(start, *unanswered);
    }
    auto sending = std::move(*send_);
    send_.reset();
    answers_.dropSend();
    gateway_.backends_.onEnded(sending.start.server, outcome, now());
    if (outcome == BackendOutcome::Served || outcome == BackendOutcome::Failed
        || outcome == BackendOutcome::Cancelled) {
        gateway_.queues_.onPlaceFreed(service_, now() - sending.startedAt);
    }
    gateway_.peers_.markChanged();
    gateway_.pool_.release(sending.start.server, sending.start.address, std::move(sending.connection));
    // On the next turn, so that a chain of ends does not nest.
    gateway_.loop_.post([&gateway = gateway_, service = service_] { gateway.queues_.serve(service); });
}

void ForwardedRequest::refuse(GatewayRefusal refusal)
{
    if (hasCallerLeft_ || exchange_->isClosed()) {
        finish("caller_left");
        return;
    }
    if (exchange_->isStreaming()) {
        exchange_->abort();
        finish("stream_cut");
        return;
    }
    // Status 503 states that the request has not run.
    if (runs_ > 0 && statusOf(refusal) == statusUnavailable) {
        refusal = GatewayRefusal::ServerFailed;
    }
    if (const auto status = refusal == GatewayRefusal::ServerFailed ? answers_.deliverFailure() : std::nullopt) {
        finish("answered_" + std::to_string(*status));
        return;
    }
    HttpHeaders headers;
    const auto status = statusOf(refusal);
    if (status == statusUnavailable) {
        headers.emplace_back("Retry-After", formatSeconds(retryAfter(refusal)));
    }
    headers.emplace_back("Content-Type", "text/plain");
    exchange_->reply(status, headers, std::string(toString(refusal)) + "\n");
    finish(toString(refusal));
}

Duration ForwardedRequest::retryAfter(GatewayRefusal refusal)
{
    switch (refusal) {
    case GatewayRefusal::Quarantined:
        return gateway_.crashes_.quarantineOf(traits_).left;
    case GatewayRefusal::OverShare:
        return shareRetryAfter_;
    default:
        return gateway_.queues_.drawRetryAfter(refusal, service_);
    }
}

void ForwardedRequest::onTimeout()
{
    giveUp(GatewayRefusal::TimedOutWaiting, GatewayRefusal::TimedOut);
}

void ForwardedRequest::onCutOff()
{
    if (!isFinished_) {
        giveUp(GatewayRefusal::Stopping, GatewayRefusal::CutOffByStop);
    }
}

void ForwardedRequest::giveUp(GatewayRefusal beforeSending, GatewayRefusal atServer)
{
    const auto self = shared_from_this();
    if (wait_->isWaiting() || isHeld_) {
        wait_->leave();
        refuse(runs_ > 0 ? GatewayRefusal::ServerFailed : beforeSending);
        return;
    }
    if (send_ && atServer == GatewayRefusal::TimedOut && route_->kind != RequestKind::Stream) {
        gateway_.serverLimits_.onTimedOut(send_->start.server, send_->start.incarnation, send_->startedAt,
                                          send_->inFlightAtStart);
    }
    endSend(BackendOutcome::Cancelled);
    refuse(atServer);
}

void ForwardedRequest::onCallerLeft()
{
    hasCallerLeft_ = true;
    const auto self = shared_from_this();
    wait_->leave();
    // An order that a server has may be carried out to its end; all else is work that nobody waits for.
    if (send_ && route_->kind == RequestKind::NonIdempotent) {
        return;
    }
    endSend(BackendOutcome::Cancelled);
    finish("caller_left");
}

void ForwardedRequest::finish(std::string_view outcome)
{
    if (std::exchange(isFinished_, true)) {
        return;
    }
    timer_.stop();
    isHeld_ = false;
    gateway_.crashes_.onRequestEnded(number_);
    // The object lives on to the next turn, maybe longer than the gateway.
    answers_.clear();
    if (wait_) {
        wait_->leave();
    }
    const auto total = now() - arrivedAt_;
    gateway_.countOutcome(outcome, total);
    logRequestDone({.attemptId = attemptId_,
                    .route = route_ == nullptr ? "" : route_->name.name(),
                    .team = team_ == nullptr ? "" : team_->name.name(),
                    .service = service_.name(),
                    .version = table_ ? std::optional(table_->version()) : std::nullopt,
                    .server = tried_.empty() ? "" : tried_.back().name(),
                    .sends = sends_,
                    .timeLeft = deadline_ - arrivedAt_,
                    .priority = wait_ ? std::optional(wait_->priority()) : std::nullopt,
                    .isLate = wait_ && wait_->isLate(),
                    .events = answers_.events().completeEvents(),
                    .firstByte = firstByteAt_ == TimePoint{} ? std::nullopt : std::optional(firstByteAt_ - arrivedAt_),
                    .longestPause = longestPause_,
                    .total = total,
                    .outcome = outcome});
    gateway_.forget(this);
}

} // namespace hornbeamlane
