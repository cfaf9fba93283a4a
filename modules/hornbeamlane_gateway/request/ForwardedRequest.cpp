#include "hornbeamlane_gateway/request/ForwardedRequest.h"

#include "hornbeamlane_gateway/Gateway.h"
#include "hornbeamlane_gateway/request/RequestHeaders.h"

#include <algorithm>
#include <utility>

namespace hornbeamlane {

namespace {

using std::chrono::milliseconds;

/** Longest wait of a request that has missed its target; callers give up two seconds after their request. */
constexpr milliseconds lateWait{1400};

/** Wait for a place for the rest of a stream that broke off; callers give up after a pause of about two seconds. */
constexpr milliseconds resumeWait{1200};

/** Sendings of one request in all, also those that servers rejected without running it. */
constexpr std::uint32_t maxSends = 4;

/** A caller that reads slowly stops the server once so many bytes wait for it. */
constexpr std::size_t maxBufferedBytes = 256 * 1024;

/** Answers that are not streams are collected up to this size. */
constexpr std::size_t maxCollectedBytes = 8 * 1024 * 1024;

/** Characters of the list of prompt parts in a log line. */
constexpr std::size_t maxLoggedParts = 160;

std::string formatMilliseconds(Duration time)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(time).count());
}

/** Whether a place is expected soon, so that waiting for it makes sense. */
bool isWorthWaiting(BackendBook::NoChoice failure)
{
    return failure == BackendBook::NoChoice::AllFull || failure == BackendBook::NoChoice::GroupForming;
}

} // namespace

ForwardedRequest::ForwardedRequest(Gateway &gateway, std::shared_ptr<Http1Exchange> exchange)
    : gateway_(gateway)
    , exchange_(std::move(exchange))
    , timer_(gateway.loop_, [this] { onTimeout(); })
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
    gateway_.stateOf(service_).retries.countRequest(arrivedAt_);
    dispatch(true);
}

bool ForwardedRequest::admit()
{
    const auto &request = exchange_->request();
    const auto &names = gateway_.settings_.headers;
    if (const auto *id = request.header(names.attemptId)) {
        attemptId_ = *id;
    }
    if (!table_) {
        refuse(GatewayRefusal::NotReady);
        return false;
    }
    const auto *host = request.header("Host");
    if (host == nullptr || !request.target.starts_with('/')) {
        refuse(GatewayRefusal::BadRequest);
        return false;
    }
    route_ = table_->findRoute(*host, request.path());
    if (route_ == nullptr || route_->services.empty()) {
        refuse(GatewayRefusal::NoRoute);
        return false;
    }
    if (table_->hasTeams()) {
        const auto *key = request.header(names.key);
        team_ = key == nullptr ? nullptr : table_->findTeam(*key);
        if (team_ == nullptr && !route_->isPublic) {
            refuse(GatewayRefusal::UnknownKey);
            return false;
        }
    }
    priority_ = team_ != nullptr && team_->priority ? *team_->priority : route_->priority;
    service_ = chooseService(*route_, gateway_.random_);
    const auto stated = parseMilliseconds(request.header(names.timeLeft));
    isLate_ = stated && gateway_.isShortened(*route_, *stated);
    deadline_ = arrivedAt_ + std::min(stated.value_or(route_->timeout), route_->timeout);
    if (const auto *position = request.header(names.lastEventId)) {
        events_.setLastEventId(*position);
    }
    return true;
}

void ForwardedRequest::dispatch(bool mayQueue)
{
    auto &state = gateway_.stateOf(service_);
    const auto time = now();
    // Those that wait already come first, unless they have missed their target and this one has not.
    const auto first = state.queue.front();
    const bool isBehindOthers = mayQueue && first && first->priority <= queueRank();
    const bool isLimited = mayQueue && route_->kind == RequestKind::Stream && gateway_.isAtLimit(service_, isLate_);
    const auto server = chooseServer();
    if (!server && !isWorthWaiting(gateway_.backends_.lastFailure())) {
        refuse(refusalFor(gateway_.backends_.lastFailure()));
        return;
    }
    if (server && !isBehindOthers && !isLimited) {
        send(*server);
        return;
    }
    const auto wait = longestWait(time);
    if (!isLate_ && wait > Duration::zero()) {
        joinQueue(time + wait);
        return;
    }
    if (!queueAsLate(time)) {
        refuse(GatewayRefusal::Overloaded);
    }
}

std::optional<ServerId> ForwardedRequest::chooseServer()
{
    return gateway_.backends_.choose(
        {.service = service_, .dataCentre = gateway_.settings_.dataCentre, .excluded = &tried_}, now(),
        gateway_.random_);
}

std::uint32_t ForwardedRequest::queueRank() const
{
    // A stream that has begun comes first: its caller has waited longest and its place was counted already.
    if (exchange_->isStreaming()) {
        return 0;
    }
    return 1 + priority_ * 2 + (isLate_ ? 1 : 0);
}

void ForwardedRequest::joinQueue(TimePoint latestStart)
{
    auto &state = gateway_.stateOf(service_);
    ticket_ = state.queue.add(queueRank(), std::min(latestStart, deadline_));
    state.waiting.emplace(*ticket_, weak_from_this());
    gateway_.armWaitTimer();
}

bool ForwardedRequest::queueAsLate(TimePoint time)
{
    const auto latest = arrivedAt_ + std::min<Duration>(lateWait, (deadline_ - arrivedAt_) / 3);
    if (time >= latest || route_->kind != RequestKind::Stream || gateway_.isBacklogTooLong(service_)) {
        return false;
    }
    isLate_ = true;
    joinQueue(latest);
    return true;
}

Duration ForwardedRequest::longestWait(TimePoint time)
{
    if (exchange_->isStreaming()) {
        return resumeWait;
    }
    // A request that cannot be on time any more leaves its place to one that can.
    const Duration target = route_->latencyTarget;
    const auto atServer =
        route_->kind == RequestKind::Stream ? gateway_.stateOf(service_).governor.firstEventLatency() : target / 2;
    return std::max<Duration>(target - atServer, target / 8) - (time - arrivedAt_);
}

bool ForwardedRequest::tryLeaveQueue()
{
    const auto server = chooseServer();
    if (!server && isWorthWaiting(gateway_.backends_.lastFailure())) {
        return false;
    }
    if (server && route_->kind == RequestKind::Stream && !exchange_->isStreaming()
        && gateway_.isAtLimit(service_, isLate_)) {
        return false;
    }
    leaveQueue();
    if (server) {
        send(*server);
    } else {
        refuse(refusalFor(gateway_.backends_.lastFailure()));
    }
    return true;
}

void ForwardedRequest::onWaitExpired()
{
    leaveQueue();
    if (!isLate_ && !exchange_->isStreaming() && queueAsLate(now())) {
        return;
    }
    refuse(GatewayRefusal::Overloaded);
}

void ForwardedRequest::leaveQueue()
{
    if (!ticket_) {
        return;
    }
    auto &state = gateway_.stateOf(service_);
    state.queue.remove(*ticket_);
    state.waiting.erase(*ticket_);
    ticket_.reset();
}

HttpHeaders ForwardedRequest::requestHeaders(const ServerId &server) const
{
    const auto &names = gateway_.settings_.headers;
    auto headers = callerHeaders(exchange_->request().headers, names);
    headers.emplace_back(names.timeLeft, formatMilliseconds(std::max(Duration::zero(), deadline_ - now())));
    headers.emplace_back(names.expectedServer, server.name());
    if (team_ != nullptr) {
        headers.emplace_back(names.team, team_->name.name());
    }
    if (events_.lastEventId()) {
        headers.emplace_back(names.lastEventId, *events_.lastEventId());
    }
    return headers;
}

void ForwardedRequest::send(const ServerId &server)
{
    const auto *backend = gateway_.backends_.find(server);
    const auto &request = exchange_->request();
    auto &sending = send_.emplace();
    sending.server = server;
    sending.address = backend->spec.address;
    sending.groupEpoch = backend->spec.group ? backend->spec.group->epoch : 0;
    sending.startedAt = now();
    sending.connection = gateway_.pool_.acquire(server, sending.address);
    tried_.push_back(server);
    ++sends_;
    gateway_.backends_.onSent(server);
    gateway_.stateOf(service_).starts.count(sending.startedAt);
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
                 {{"id", attemptId_}, {"server", send_->server.name()}, {"answered", *echoed}});
        return false;
    }
    if (const auto left = parseMilliseconds(head.header(names.warmup))) {
        gateway_.backends_.onWarmup(send_->server, *left, now());
    }
    send_->head = head;
    send_->isStreamed = route_->kind == RequestKind::Stream && head.status == 200 && isValidSuccess(head, names);
    if (firstByteAt_ == TimePoint{}) {
        firstByteAt_ = now();
    }
    return true;
}

void ForwardedRequest::handleData(std::string_view bytes)
{
    if (send_->isStreamed) {
        forwardEvents(bytes);
        return;
    }
    if (send_->body.size() + bytes.size() <= maxCollectedBytes) {
        send_->body.append(bytes);
        return;
    }
    logEvent(LogLevel::Warning, "answer_too_large", {{"id", attemptId_}, {"server", send_->server.name()}});
    endSend(BackendOutcome::Failed);
    refuse(GatewayRefusal::ServerFailed);
}

void ForwardedRequest::forwardEvents(std::string_view bytes)
{
    const auto whole = events_.push(bytes);
    if (whole.empty() || hasCallerLeft_) {
        return;
    }
    // The answer starts with its first event: until then another server can still give all of it.
    if (!exchange_->isStreaming()) {
        exchange_->startStream(send_->head->status, endToEndHeaders(send_->head->headers));
    }
    notePace();
    gateway_.backends_.onProgress(send_->server);
    exchange_->sendPiece(whole);
    if (exchange_->bufferedBytes() > maxBufferedBytes) {
        send_->connection->pauseReading();
        exchange_->onDrained([weak = weak_from_this()] {
            const auto self = weak.lock();
            if (self && self->send_) {
                self->send_->connection->resumeReading();
            }
        });
    }
}

void ForwardedRequest::notePace()
{
    const auto time = now();
    auto &governor = gateway_.stateOf(service_).governor;
    if (send_->lastEventAt == TimePoint{}) {
        governor.onFirstEvent(time - send_->startedAt);
    } else {
        longestPause_ = std::max(longestPause_, time - send_->lastEventAt);
        governor.onPause(time - send_->lastEventAt, route_->pauseTarget, time);
    }
    send_->lastEventAt = time;
}

void ForwardedRequest::logFailedSend(Http1CallEnd end) const
{
    const auto *parts = exchange_->request().header(gateway_.settings_.headers.promptParts);
    const auto *backend = gateway_.backends_.find(send_->server);
    logEvent(LogLevel::Info, "send_failed",
             {{"id", attemptId_},
              {"server", send_->server.name()},
              {"address", send_->address},
              {"reason", std::string(toString(end))},
              {"has_head", send_->head ? "yes" : "no"},
              {"events", std::to_string(events_.completeEvents())},
              {"sent_ms_ago", formatMilliseconds(now() - send_->startedAt)},
              {"in_flight", backend == nullptr ? "-" : std::to_string(backend->inFlight())},
              {"parts", parts == nullptr ? "-" : parts->substr(0, maxLoggedParts)}});
    gateway_.metrics_.addToCounter("sends_failed_total", {{"reason", std::string(toString(end))}});
}

void ForwardedRequest::handleEnd(Http1CallEnd end)
{
    if (end != Http1CallEnd::Complete) {
        logFailedSend(end);
    }
    switch (end) {
    case Http1CallEnd::Complete:
        handleCompleteAnswer();
        return;
    case Http1CallEnd::NotSent:
        handleUnreachable();
        return;
    case Http1CallEnd::BrokenOff:
    case Http1CallEnd::BadResponse:
        ++runs_;
        endSend(BackendOutcome::Failed);
        events_.dropPartialEvent();
        retryOrRefuse(GatewayRefusal::ServerFailed);
        return;
    }
}

void ForwardedRequest::handleUnreachable()
{
    auto &backends = gateway_.backends_;
    backends.onRankTurnedAway(send_->server, send_->groupEpoch, now());
    const bool isGroupClosed = backends.isInClosedGroup(send_->server, now());
    endSend(BackendOutcome::Unreachable);
    retryOrRefuse(isGroupClosed ? GatewayRefusal::GroupBroken : GatewayRefusal::NoServer);
}

void ForwardedRequest::handleCompleteAnswer()
{
    const auto &names = gateway_.settings_.headers;
    const auto &head = *send_->head;
    if (send_->isStreamed) {
        finishStream();
        return;
    }
    if (isNotRun(head, names)) {
        handleRejection();
        return;
    }
    ++runs_;
    const bool isSuccess = head.status / 100 == 2;
    if ((isSuccess && !isValidSuccess(head, names)) || isPromiseOfNotRun(head.status)) {
        endSend(BackendOutcome::Failed);
        retryOrRefuse(GatewayRefusal::ServerFailed);
        return;
    }
    if (head.status >= 500) {
        failedHead_ = std::move(send_->head);
        failedBody_ = std::move(send_->body);
        endSend(BackendOutcome::Failed);
        retryOrRefuse(GatewayRefusal::ServerFailed);
        return;
    }
    if (!exchange_->isStreaming()) {
        deliverAnswer();
        return;
    }
    // The rest of a stream cannot be continued by an answer of another kind.
    endSend(BackendOutcome::Failed);
    refuse(GatewayRefusal::ServerFailed);
}

void ForwardedRequest::handleRejection()
{
    const auto status = send_->head->status;
    const auto *named = send_->head->header(gateway_.settings_.headers.faultyServer);
    const std::string faulty = named == nullptr ? "" : *named;
    logEvent(
        LogLevel::Info, "request_rejected",
        {{"id", attemptId_}, {"server", send_->server.name()}, {"status", std::to_string(status)}, {"faulty", faulty}});
    // A rank that rejects a request because of a server elsewhere speaks for its whole group. One that names itself is
    // full or cut off itself.
    auto &backends = gateway_.backends_;
    if (status != statusMisdirected && !faulty.empty() && faulty != send_->address) {
        backends.onRankLost(send_->server, send_->groupEpoch, now());
    } else if (status == statusUnavailable) {
        backends.onRankTurnedAway(send_->server, send_->groupEpoch, now());
    }
    const bool isGroupClosed = backends.isInClosedGroup(send_->server, now());
    endSend(status == statusMisdirected ? BackendOutcome::Misdirected : BackendOutcome::Rejected);
    retryOrRefuse(isGroupClosed ? GatewayRefusal::GroupBroken : GatewayRefusal::RetriesUsedUp);
}

void ForwardedRequest::deliverAnswer()
{
    const auto status = send_->head->status;
    const auto headers = endToEndHeaders(send_->head->headers);
    const auto body = std::move(send_->body);
    endSend(BackendOutcome::Served);
    if (!hasCallerLeft_) {
        exchange_->reply(status, headers, body);
    }
    finish("answered_" + std::to_string(status));
}

void ForwardedRequest::finishStream()
{
    const std::string rest(events_.partialEvent());
    if (!hasCallerLeft_) {
        if (!exchange_->isStreaming()) {
            exchange_->startStream(send_->head->status, endToEndHeaders(send_->head->headers));
        }
        exchange_->sendPiece(rest);
    }
    endSend(BackendOutcome::Served);
    if (!hasCallerLeft_) {
        exchange_->finishStream();
    }
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
    if (mayRunAgain && isWorthwhile && gateway_.stateOf(service_).retries.takeRetry(now())) {
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
    auto sending = std::move(*send_);
    send_.reset();
    gateway_.backends_.onEnded(sending.server, outcome, now());
    gateway_.peers_.markChanged();
    gateway_.pool_.release(sending.server, sending.address, std::move(sending.connection));
    // On the next turn, so that a chain of ends does not nest.
    gateway_.loop_.post([&gateway = gateway_, service = service_] { gateway.serveQueue(service); });
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
    if (failedHead_ && refusal == GatewayRefusal::ServerFailed) {
        exchange_->reply(failedHead_->status, endToEndHeaders(failedHead_->headers), failedBody_);
        finish("answered_" + std::to_string(failedHead_->status));
        return;
    }
    HttpHeaders headers;
    const auto status = statusOf(refusal);
    if (status == statusUnavailable) {
        headers.emplace_back("Retry-After", gateway_.retryAfter(refusal));
    }
    headers.emplace_back("Content-Type", "text/plain");
    exchange_->reply(status, headers, std::string(toString(refusal)) + "\n");
    finish(toString(refusal));
}

void ForwardedRequest::onTimeout()
{
    const auto self = shared_from_this();
    if (ticket_) {
        leaveQueue();
        refuse(runs_ > 0 ? GatewayRefusal::ServerFailed : GatewayRefusal::TimedOutWaiting);
        return;
    }
    endSend(BackendOutcome::Cancelled);
    refuse(GatewayRefusal::TimedOut);
}

void ForwardedRequest::onCallerLeft()
{
    hasCallerLeft_ = true;
    const auto self = shared_from_this();
    leaveQueue();
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
    const auto time = now();
    gateway_.countOutcome(outcome, time - arrivedAt_);
    logEvent(LogLevel::Info, "request_done",
             {{"id", attemptId_},
              {"route", route_ == nullptr ? "-" : route_->name.name()},
              {"team", team_ == nullptr ? "-" : team_->name.name()},
              {"service", service_.name().empty() ? "-" : service_.name()},
              {"version", table_ ? std::to_string(table_->version().value()) : "-"},
              {"server", tried_.empty() ? "-" : tried_.back().name()},
              {"sends", std::to_string(sends_)},
              {"time_left_ms", formatMilliseconds(deadline_ - arrivedAt_)},
              {"late", isLate_ ? "yes" : "no"},
              {"events", std::to_string(events_.completeEvents())},
              {"first_ms", firstByteAt_ == TimePoint{} ? "-" : formatMilliseconds(firstByteAt_ - arrivedAt_)},
              {"pause_ms", formatMilliseconds(longestPause_)},
              {"total_ms", formatMilliseconds(time - arrivedAt_)},
              {"outcome", std::string(outcome)}});
    gateway_.forget(this);
}

} // namespace hornbeamlane
