#include "hornbeamlane_entry/DirectFlow.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hornbeamlane {

namespace {

using namespace std::chrono_literals;

/** Servers that are tried for one request; bounds the work for a request that each of them refuses. */
constexpr std::size_t maxTries = 4;

constexpr auto waitForServer = 100ms;

Refusal noServer()
{
    return {.reason = RefusalReason::NoServerAvailable,
            .execution = ExecutionState::NotRun,
            .retryAfter = 1s,
            .detail = "no backend server can take the request"};
}

/** The request with the position at which its stream goes on. */
std::string withResumePosition(const std::string &body, std::size_t position)
{
    auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object()) {
        return body;
    }
    json["resume_from"] = position;
    return json.dump();
}

} // namespace

DirectFlow::DirectFlow(CallerRequest request, CallerReply reply, Hooks hooks)
    : request_(std::move(request))
    , reply_(std::move(reply))
    , hooks_(std::move(hooks))
    , tracker_({.isRepeatable = request_.dispatch.isRepeatable,
                .deadline = hooks_.now() + request_.dispatch.remainingDeadline,
                .takeRetry = hooks_.takeRetry})
    , deadline_(hooks_.now() + request_.dispatch.remainingDeadline)
    , lastRefusal_(noServer())
{
}

void DirectFlow::start()
{
    tryNextServer(noServer());
}

void DirectFlow::tryNextServer(const Refusal &lastRefusal)
{
    NoTarget none{.refusal = lastRefusal};
    const auto target = tried_.size() < maxTries ? hooks_.chooseTarget(request_, tried_, none) : std::nullopt;
    if (target) {
        dispatchTo(*target, lastRefusal);
        return;
    }
    lastRefusal_ = tried_.empty() ? none.refusal : lastRefusal;
    if (none.isTemporary && hooks_.now() < deadline_) {
        retryAt_ = hooks_.now() + waitForServer;
        return;
    }
    refuse(lastRefusal_);
}

void DirectFlow::dispatchTo(const Target &target, const Refusal &lastRefusal)
{
    const auto now = hooks_.now();
    tried_.push_back(target.server);
    dispatch_ = request_.dispatch;
    dispatch_.attempt = hooks_.nextAttempt();
    dispatch_.targetIncarnation = target.incarnation;
    dispatch_.validUntil = target.agentTime + 10s;
    dispatch_.remainingDeadline = std::chrono::duration_cast<std::chrono::milliseconds>(deadline_ - now);
    if (reply_.passedEvents() > 0) {
        dispatch_.body = withResumePosition(dispatch_.body, reply_.passedEvents());
    }
    reply_.restart();
    target_ = target;
    unpassedBytes_ = 0;
    assembler_.emplace(ResponseAssembler::Options{.attempt = dispatch_.attempt});
    tracker_.begin(dispatch_.attempt);
    if (!hooks_.send(target, dispatch_)) {
        tracker_.end(dispatch_.attempt, AttemptEnd::Lost);
        target_.reset();
        tryNextServer(lastRefusal);
        return;
    }
    tracker_.advance(dispatch_.attempt, AttemptProgress::Sent);
    hooks_.dispatched(target, dispatch_, request_);
}

void DirectFlow::onMessage(const ServerId &, Incarnation sender, const Message &message)
{
    // A frame of an earlier incarnation of the agent belongs to an attempt that has already been given up.
    if (isOver_ || !target_ || sender != target_->incarnation) {
        return;
    }
    if (const auto *head = std::get_if<ResponseHead>(&message)) {
        tracker_.advance(dispatch_.attempt, AttemptProgress::Executing);
        const auto result = assembler_->onHead(*head);
        if (result == ResponseAssembler::Result::Accepted && !reply_.mayGoOnWith(head->status, head->contentType)) {
            hooks_.send(*target_, Cancel{.attempt = dispatch_.attempt});
            handleBroken("the rest of a stream was answered in another way");
            return;
        }
        if (result == ResponseAssembler::Result::Accepted) {
            status_ = head->status;
            reply_.setHead(head->status, head->contentType, dispatch_.isStream);
        }
        applyResult(result);
    } else if (const auto *data = std::get_if<ResponseData>(&message)) {
        const auto result = assembler_->onData(*data);
        if (result == ResponseAssembler::Result::Accepted) {
            unpassedBytes_ += data->bytes.size();
            reply_.addData(data->bytes);
            if (reply_.isEventTooLong()) {
                hooks_.send(*target_, Cancel{.attempt = dispatch_.attempt});
                handleBroken("an event of the stream has no end");
                return;
            }
            grantCredit();
        }
        applyResult(result);
    } else if (const auto *end = std::get_if<ResponseEnd>(&message)) {
        applyResult(assembler_->onEnd(*end));
    } else if (const auto *rejected = std::get_if<Rejected>(&message)) {
        if (rejected->attempt == dispatch_.attempt) {
            handleRejected(*rejected);
        }
    }
}

void DirectFlow::applyResult(ResponseAssembler::Result result)
{
    if (result == ResponseAssembler::Result::Completed && reply_.endsInsideEvent()) {
        handleBroken("the stream ended inside an event");
    } else if (result == ResponseAssembler::Result::Completed) {
        endAttempt(AttemptEnd::Completed, !isServerError(status_));
        reply_.complete();
        isOver_ = true;
    } else if (result == ResponseAssembler::Result::Failed) {
        hooks_.send(*target_, Cancel{.attempt = dispatch_.attempt});
        handleBroken("frames of the response were lost or repeated");
    }
}

void DirectFlow::handleRejected(const Rejected &rejected)
{
    const bool hasNotRun = rejected.refusal.execution == ExecutionState::NotRun;
    // Before the attempt ends, so that it counts among the requests that were running at the loss.
    if (!hasNotRun && rejected.refusal.reason == RefusalReason::ServerLost && dispatch_.kind == WorkKind::Model) {
        hooks_.engineLost(*target_, rejected.engineLoss);
    }
    endAttempt(hasNotRun ? AttemptEnd::Refused : AttemptEnd::Lost, false);
    retryOrRefuse(rejected.refusal);
}

void DirectFlow::handleBroken(const char *detail)
{
    endAttempt(AttemptEnd::Lost, false);
    retryOrRefuse({.reason = RefusalReason::ServerLost, .execution = ExecutionState::Unknown, .detail = detail});
}

bool DirectFlow::canResume() const
{
    return dispatch_.kind == WorkKind::Model && dispatch_.isStream;
}

void DirectFlow::retryOrRefuse(const Refusal &refusal)
{
    const bool mayGoOn = !reply_.hasBegun() || canResume();
    if (mayGoOn && tracker_.takeRetry(hooks_.now())) {
        tryNextServer(refusal);
    } else {
        refuse(refusal);
    }
}

void DirectFlow::onLinkLost(const ServerId &server, Incarnation incarnation)
{
    if (!isOver_ && target_ && target_->server == server && target_->incarnation == incarnation) {
        handleBroken("the link to the backend server ended");
    }
}

void DirectFlow::onTime()
{
    if (isOver_) {
        return;
    }
    if (hooks_.now() >= deadline_) {
        if (target_) {
            hooks_.send(*target_, Cancel{.attempt = dispatch_.attempt});
            endAttempt(AttemptEnd::Lost, false);
        }
        refuse({.reason = RefusalReason::DeadlineExceeded, .detail = "the deadline of the request has passed"});
    } else if (retryAt_ && hooks_.now() >= *retryAt_) {
        retryAt_.reset();
        tryNextServer(lastRefusal_);
    }
}

std::optional<TimePoint> DirectFlow::nextWakeUp() const
{
    return retryAt_ ? std::min(*retryAt_, deadline_) : deadline_;
}

void DirectFlow::onCallerGone()
{
    if (isOver_) {
        return;
    }
    if (target_) {
        hooks_.send(*target_, Cancel{.attempt = dispatch_.attempt});
        endAttempt(AttemptEnd::Lost, false);
    }
    isOver_ = true;
}

void DirectFlow::onCallerDrained()
{
    grantCredit();
}

void DirectFlow::grantCredit()
{
    if (!target_ || unpassedBytes_ == 0 || reply_.isBackedUp()) {
        return;
    }
    const auto credit = assembler_->passToCaller(std::exchange(unpassedBytes_, 0));
    if (credit > 0) {
        hooks_.send(*target_, Credit{.attempt = dispatch_.attempt, .bytes = credit});
    }
}

void DirectFlow::endAttempt(AttemptEnd how, bool isAnswered)
{
    tracker_.end(dispatch_.attempt, how);
    hooks_.ended(*target_, dispatch_, isAnswered);
    target_.reset();
}

void DirectFlow::refuse(const Refusal &refusal)
{
    auto truthful = refusal;
    truthful.execution = tracker_.execution();
    reply_.refuse(truthful);
    isOver_ = true;
}

bool DirectFlow::isFinished() const
{
    return isOver_;
}

} // namespace hornbeamlane
