#include "hornbeamlane_gateway/request/BackendExchange.h"

#include "hornbeamlane_gateway/Gateway.h"
#include "hornbeamlane_gateway/request/RequestHeaders.h"
#include "hornbeamlane_gateway/request/RequestLog.h"

#include <algorithm>
#include <utility>

namespace hornbeamlane {

BackendExchange::BackendExchange(Gateway &gateway, const std::shared_ptr<Http1Exchange> &caller, AnswerRelay &answers,
                                 Options options, Hooks hooks)
    : gateway_(gateway)
    , caller_(caller)
    , answers_(answers)
    , options_(std::move(options))
    , hooks_(std::move(hooks))
{
}

TimePoint BackendExchange::now() const
{
    return gateway_.loop_.now();
}

void BackendExchange::send(const ServerId &server, const HttpHeaders &headers, bool isRepeat)
{
    const auto *backend = gateway_.backends_.find(server);
    const auto &request = caller_->request();
    send_ = std::make_shared<detail::BackendSend>();
    auto &sending = *send_;
    sending.start = {.server = server, .incarnation = backend->spec.incarnation, .address = backend->spec.address};
    sending.groupEpoch = gateway_.backends_.groupEpochOf(server);
    sending.paceUnit = backend->paceUnit;
    sending.startedAt = now();
    sending.connection = gateway_.pool_.acquire(server, sending.start.address);
    sending.isKept = sending.connection->isReusable();
    gateway_.crashes_.onSent(options_.number, server);
    gateway_.backends_.onSent(server, sending.startedAt);
    sending.inFlightAtStart = backend->inFlight();
    gateway_.rateLimits_.onSent(sending.start, isRepeat);
    gateway_.queues_.of(options_.service).starts.count(sending.startedAt);
    gateway_.peers_.markChanged();
    // This outlives the connection, which it owns; the callbacks end with the connection. A reference held by them
    // would keep both for good when the gateway ends with requests running.
    sending.connection->call(
        {.method = request.method, .target = request.target, .headers = headers, .body = request.body},
        {.head = [this](const Http1ResponseHead &head) { return handleHead(head); },
         .data = [this](std::string_view bytes) { handleData(bytes); },
         .end = [this](Http1CallEnd end) { handleEnd(end); }});
}

std::optional<LostRequest> BackendExchange::unansweredAt(const ServerId &server) const
{
    if (!isUnanswered() || send_->start.server != server) {
        return std::nullopt;
    }
    return LostRequest{.candidate = {.traits = options_.traits, .hadHead = send_->head.has_value()},
                       .sentAt = send_->startedAt,
                       .lostAt = now()};
}

void BackendExchange::cancel()
{
    end(BackendOutcome::Cancelled);
}

void BackendExchange::noteTimeout()
{
    if (isActive() && options_.route->kind != RequestKind::Stream) {
        gateway_.serverLimits_.onTimedOut(send_->start.server, send_->start.incarnation, send_->startedAt,
                                          send_->inFlightAtStart);
    }
}

bool BackendExchange::handleHead(const Http1ResponseHead &head)
{
    const auto &names = gateway_.settings_.headers;
    const auto *echoed = head.header(names.attemptId);
    if (echoed != nullptr && *echoed != options_.attemptId) {
        logEvent(LogLevel::Warning, "answer_of_other_request",
                 {{"id", options_.attemptId}, {"server", send_->start.server.name()}, {"answered", *echoed}});
        return false;
    }
    if (const auto left = parseMilliseconds(head.header(names.warmup))) {
        gateway_.backends_.onWarmup(send_->start.server, *left, now());
    }
    const bool isOwn = isOwnAnswer(head);
    gateway_.crashes_.onServerAnswered(send_->start, send_->startedAt, head.status == statusMisdirected && isOwn);
    if (head.status != statusMisdirected && isOwn) {
        gateway_.notices_.onAnswer(options_.attemptId, send_->start, head);
    }
    gateway_.rateLimits_.onAnswer(options_.attemptId, send_->start, send_->startedAt, head);
    send_->head = head;
    send_->isStreamed = options_.route->kind == RequestKind::Stream && head.status == 200 && isValidSuccess(head, names)
        && answers_.mayGoOnWith(head);
    if (!firstByteAt_) {
        firstByteAt_ = now();
    }
    return true;
}

void BackendExchange::handleData(std::string_view bytes)
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

void BackendExchange::failAsTooLarge()
{
    logEvent(LogLevel::Warning, "answer_too_large",
             {{"id", options_.attemptId},
              {"server", send_->start.server.name()},
              {"bytes", std::to_string(answers_.waitingBytes(*send_))},
              {"of_all_requests", std::to_string(gateway_.collectedBytes_)}});
    failAfterRun();
}

void BackendExchange::failAfterRun()
{
    hooks_.mayHaveRun();
    end(BackendOutcome::Failed);
    hooks_.failed(GatewayRefusal::ServerFailed);
}

void BackendExchange::noteEvents()
{
    notePace();
    if (gateway_.backends_.onProgress(send_->start.server)) {
        gateway_.groupHasFormed(send_->start.server);
    }
    if (!answers_.isCallerSlow()) {
        return;
    }
    send_->connection->pauseReading();
    caller_->onDrained([weak = std::weak_ptr(send_)] {
        if (const auto sending = weak.lock()) {
            sending->connection->resumeReading();
        }
    });
}

void BackendExchange::notePace()
{
    const auto time = now();
    auto &queues = gateway_.queues_;
    if (send_->lastEventAt == TimePoint{}) {
        queues.onFirstEvent(options_.service, time - send_->startedAt);
        gateway_.crashes_.onAnswerBegun(options_.number, options_.attemptId, options_.traits);
    } else {
        const auto pause = time - send_->lastEventAt;
        longestPause_ = std::max(longestPause_, pause);
        queues.paces().onPause(send_->paceUnit, pause, options_.route->pauseTarget, time);
    }
    send_->lastEventAt = time;
}

void BackendExchange::reportFailedSend(Http1CallEnd end) const
{
    const auto *backend = gateway_.backends_.find(send_->start.server);
    logFailedSend(*send_,
                  {.attemptId = options_.attemptId,
                   .end = end,
                   .events = answers_.events().completeEvents(),
                   .sinceSent = now() - send_->startedAt,
                   .inFlight = backend == nullptr ? std::nullopt : std::optional(backend->inFlight()),
                   .parts = caller_->request().header(gateway_.settings_.headers.promptParts),
                   .traits = options_.traits});
    gateway_.metrics_.addToCounter("sends_failed_total", {{"reason", std::string(toString(end))}});
}

void BackendExchange::handleEnd(Http1CallEnd end)
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
        failAfterRun();
        return;
    }
}

void BackendExchange::handleBrokenOff()
{
    hooks_.mayHaveRun();
    const auto start = send_->start;
    const auto unanswered = unansweredAt(start.server);
    end(BackendOutcome::Failed);
    if (!unanswered) {
        hooks_.failed(GatewayRefusal::ServerFailed);
        return;
    }
    hooks_.brokenOff(start, *unanswered);
}

void BackendExchange::handleUnreachable()
{
    auto &backends = gateway_.backends_;
    backends.onRankTurnedAway(send_->start.server, send_->groupEpoch, now());
    const bool isGroupClosed = backends.isInClosedGroup(send_->start.server, now());
    end(BackendOutcome::Unreachable);
    hooks_.failed(isGroupClosed ? GatewayRefusal::GroupBroken : GatewayRefusal::NoServer);
}

void BackendExchange::handleCompleteAnswer()
{
    const auto &head = *send_->head;
    if (send_->isStreamed) {
        endStream();
        return;
    }
    if (isNotRun(head, gateway_.settings_.headers) && isOwnAnswer(head)) {
        handleRejection();
        return;
    }
    if (!isTrustworthy(head)) {
        dropDoubtfulConnection();
        failAfterRun();
        return;
    }
    if (isServerError(head.status)) {
        // A server that fails may not have looked at the request, so that proves nothing for it.
        answers_.keepFailure(*send_);
        failAfterRun();
        return;
    }
    hooks_.mayHaveRun();
    gateway_.crashes_.onAnswerBegun(options_.number, options_.attemptId, options_.traits);
    if (!caller_->isStreaming()) {
        deliverAnswer();
        return;
    }
    // The rest of a stream cannot be continued by an answer of another kind.
    end(BackendOutcome::Failed);
    hooks_.unusable();
}

bool BackendExchange::isOwnAnswer(const Http1ResponseHead &head) const
{
    // Answers with another id have been skipped. One without an id may be that of an earlier request, written once
    // more.
    return !send_->isKept || head.header(gateway_.settings_.headers.attemptId) != nullptr;
}

bool BackendExchange::isTrustworthy(const Http1ResponseHead &head) const
{
    const auto &names = gateway_.settings_.headers;
    // Another program may listen at the address that an entry names, and answer any status.
    const bool isProven = head.header(names.attemptId) != nullptr || head.header(names.signature) != nullptr;
    const bool isSuccess = head.status / 100 == 2;
    return isProven && (!isSuccess || isValidSuccess(head, names)) && !isPromiseOfNotRun(head.status);
}

void BackendExchange::dropDoubtfulConnection()
{
    logEvent(LogLevel::Warning, "answer_doubtful",
             {{"id", options_.attemptId},
              {"server", send_->start.server.name()},
              {"status", std::to_string(send_->head->status)},
              {"has_id", send_->head->header(gateway_.settings_.headers.attemptId) == nullptr ? "no" : "yes"},
              {"kept", send_->isKept ? "yes" : "no"}});
    gateway_.metrics_.addToCounter("answers_doubtful_total");
    // The request's own answer may still come on it.
    send_->connection->cancel();
}

void BackendExchange::handleRejection()
{
    const auto status = send_->head->status;
    const auto *named = send_->head->header(gateway_.settings_.headers.faultyServer);
    const std::string faulty = named == nullptr ? "" : *named;
    logEvent(LogLevel::Info, "request_rejected",
             {{"id", options_.attemptId},
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
    end(status == statusMisdirected ? BackendOutcome::Misdirected : BackendOutcome::Rejected);
    hooks_.failed(isGroupClosed ? GatewayRefusal::GroupBroken : GatewayRefusal::RetriesUsedUp);
}

void BackendExchange::deliverAnswer()
{
    const auto status = send_->head->status;
    if (!caller_->isClosed()) {
        answers_.deliver(*send_);
    }
    // Errors come fast; only work that was done tells how fast the server is.
    if (status / 100 == 2 && options_.route->kind != RequestKind::Stream) {
        gateway_.serverLimits_.onAnswered(send_->start.server, send_->start.incarnation, send_->startedAt,
                                          send_->inFlightAtStart);
    }
    end(BackendOutcome::Served);
    hooks_.served("answered_" + std::to_string(status));
}

void BackendExchange::endStream()
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

void BackendExchange::finishStream()
{
    gateway_.crashes_.onAnswerBegun(options_.number, options_.attemptId, options_.traits);
    gateway_.queues_.paces().onStreamEnded(send_->paceUnit, answers_.events().completeEvents());
    if (!caller_->isClosed()) {
        answers_.finishStream(*send_);
    }
    end(BackendOutcome::Served);
    hooks_.served("streamed");
}

void BackendExchange::end(BackendOutcome outcome)
{
    if (!isActive()) {
        return;
    }
    const auto unanswered = unansweredAt(send_->start.server);
    if (unanswered && outcome == BackendOutcome::Cancelled) {
        gateway_.crashes_.detector().onGivenUp(send_->start, *unanswered);
    }
    const auto sending = std::exchange(send_, nullptr);
    answers_.dropSend();
    gateway_.backends_.onEnded(sending->start.server, outcome, now());
    // A server that fails at once would make the usual time look short, and the capacity large.
    if (outcome == BackendOutcome::Served || outcome == BackendOutcome::Cancelled) {
        gateway_.queues_.onPlaceFreed(options_.service, now() - sending->startedAt);
    }
    gateway_.peers_.markChanged();
    gateway_.pool_.release(sending->start.server, sending->start.address, std::move(sending->connection));
    // On the next turn, so that a chain of ends does not nest.
    gateway_.loop_.post([&gateway = gateway_, service = options_.service] { gateway.queues_.serve(service); });
}

} // namespace hornbeamlane
