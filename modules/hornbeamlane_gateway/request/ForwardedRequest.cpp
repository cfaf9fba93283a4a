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
    // What has been sent and not begun can still be spared the server. It must not become the one that is tried: a
    // claim of a request that is not sent again would keep all others waiting.
    if (backend_ && backend_->isUnanswered() && gateway_.crashes_.isQuarantined(traits_)) {
        ++runs_;
        backend_->cancel();
        refuseAsQuarantined();
    }
}

std::optional<LostRequest> ForwardedRequest::unansweredAt(const ServerId &server) const
{
    return backend_ ? backend_->unansweredAt(server) : std::nullopt;
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
                                     .team = team_ == nullptr ? TeamId() : team_->name,
                                     .kind = route_->kind,
                                     .latencyTarget = route_->latencyTarget,
                                     .priority = match->priority(),
                                     .arrivedAt = arrivedAt_,
                                     .deadline = deadline_,
                                     .isLate = stated && gateway_.returningCallers_.isReturning(*route_, *stated)});
    if (const auto *position = request.header(names.lastEventId)) {
        answers_.events().setLastEventId(*position);
    }
    backend_.emplace(
        gateway_, exchange_, answers_,
        BackendExchange::Options{
            .number = number_, .attemptId = attemptId_, .route = route_, .service = service_, .traits = traits_},
        backendHooks());
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
    tried_.push_back(server);
    ++sends_;
    holdsUntil_.reset();
    backend_->send(server, requestHeaders(server), sends_ > 1);
}

BackendExchange::Hooks ForwardedRequest::backendHooks()
{
    return {.mayHaveRun = [this] { ++runs_; },
            .failed = [this](GatewayRefusal reason) { retryOrRefuse(reason); },
            .brokenOff = [this](const ServerStart &start,
                                const LostRequest &request) { retryUnlessCrashed(start, request); },
            .served = [this](const std::string &outcome) { finish(outcome); },
            .unusable = [this] { refuse(GatewayRefusal::ServerFailed); }};
}

void ForwardedRequest::retryUnlessCrashed(const ServerStart &start, const LostRequest &request)
{
    gateway_.crashes_.detector().onBrokenOff(start, request, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && !self->isFinished_) {
            self->retryOrRefuse(GatewayRefusal::ServerFailed);
        }
    });
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
    if (atServer == GatewayRefusal::TimedOut) {
        backend_->noteTimeout();
    }
    backend_->cancel();
    refuse(atServer);
}

void ForwardedRequest::onCallerLeft()
{
    hasCallerLeft_ = true;
    const auto self = shared_from_this();
    wait_->leave();
    // An order that a server has may be carried out to its end; all else is work that nobody waits for.
    if (backend_->isActive() && route_->kind == RequestKind::NonIdempotent) {
        return;
    }
    backend_->cancel();
    finish("caller_left");
}

std::optional<Duration> ForwardedRequest::timeToFirstByte() const
{
    const auto firstByteAt = backend_ ? backend_->firstByteAt() : std::nullopt;
    return firstByteAt ? std::optional(*firstByteAt - arrivedAt_) : std::nullopt;
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
                    .firstByte = timeToFirstByte(),
                    .longestPause = backend_ ? backend_->longestPause() : Duration::zero(),
                    .total = total,
                    .outcome = outcome});
    gateway_.forget(this);
}

} // namespace hornbeamlane
