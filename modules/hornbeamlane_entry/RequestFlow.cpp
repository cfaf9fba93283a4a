#include "hornbeamlane_entry/RequestFlow.h"

#include "hornbeamlane_entry/RefusalReply.h"

namespace hornbeamlane {

namespace {

constexpr std::size_t maxAttempts = 3;

/** Bytes waiting for the caller above which no further credit goes to the agent. */
constexpr std::size_t callerBufferBytes = 64 * 1024;

} // namespace

RequestFlow::RequestFlow(CallerRequest request, std::shared_ptr<HttpExchange> exchange, Hooks hooks)
    : request_(std::move(request))
    , exchange_(std::move(exchange))
    , hooks_(std::move(hooks))
{
    exchange_->onClosed([this] { handleCallerGone(); });
    exchange_->onDrained([this] { grantCredit(); });
}

void RequestFlow::start()
{
    tryNextServer({.reason = RefusalReason::NoServerAvailable,
                   .execution = ExecutionState::NotRun,
                   .retryAfter = std::chrono::seconds(1),
                   .detail = "no backend server can take the request"});
}

void RequestFlow::tryNextServer(const Refusal &lastRefusal)
{
    const auto server = tried_.size() < maxAttempts ? hooks_.chooseServer(request_, tried_) : std::nullopt;
    const auto attempt = server ? hooks_.beginAttempt(*server) : std::nullopt;
    if (!attempt) {
        refuse(lastRefusal);
        return;
    }
    tried_.push_back(*server);
    server_ = *server;
    attempt_ = *attempt;
    nextSequence_ = 0;
    auto dispatch = request_.dispatch;
    dispatch.attempt = attempt_;
    if (!hooks_.send(server_, dispatch)) {
        tryNextServer(lastRefusal);
    }
}

void RequestFlow::onMessage(const Message &message)
{
    if (isOver_) {
        return;
    }
    if (const auto *head = std::get_if<ResponseHead>(&message)) {
        handleHead(*head);
    } else if (const auto *data = std::get_if<ResponseData>(&message)) {
        handleData(*data);
    } else if (std::holds_alternative<ResponseEnd>(message)) {
        handleEnd();
    } else if (const auto *rejected = std::get_if<Rejected>(&message)) {
        handleRejected(*rejected);
    }
}

void RequestFlow::handleHead(const ResponseHead &head)
{
    response_.status = head.status;
    response_.contentType = head.contentType;
    if (request_.dispatch.isStream) {
        exchange_->startStream(response_);
    }
}

void RequestFlow::handleData(const ResponseData &data)
{
    uncreditedBytes_ += data.bytes.size();
    if (request_.dispatch.isStream) {
        exchange_->sendChunk(data.bytes);
    } else {
        response_.body += data.bytes;
    }
    grantCredit();
}

void RequestFlow::grantCredit()
{
    if (isOver_ || uncreditedBytes_ == 0 || exchange_->bufferedBytes() > callerBufferBytes) {
        return;
    }
    hooks_.send(server_, Credit{.attempt = attempt_, .bytes = uncreditedBytes_});
    uncreditedBytes_ = 0;
}

void RequestFlow::handleEnd()
{
    if (request_.dispatch.isStream) {
        exchange_->finishStream();
    } else {
        exchange_->reply(response_);
    }
    finish();
}

void RequestFlow::handleRejected(const Rejected &rejected)
{
    const bool mayRetry = rejected.refusal.execution == ExecutionState::NotRun || request_.dispatch.isRepeatable;
    if (mayRetry && !exchange_->isStreaming()) {
        tryNextServer(rejected.refusal);
        return;
    }
    refuse(rejected.refusal);
}

void RequestFlow::onServerLost(const ServerId &server)
{
    if (!isOver_ && server == server_) {
        handleRejected({.attempt = attempt_,
                        .refusal = {.reason = RefusalReason::ServerLost,
                                    .execution = ExecutionState::Unknown,
                                    .detail = "the link to the backend server ended"}});
    }
}

void RequestFlow::refuse(const Refusal &refusal)
{
    if (exchange_->isStreaming()) {
        exchange_->sendChunk(makeRefusalEvent(refusal));
        exchange_->abortStream();
    } else {
        exchange_->reply(makeRefusalReply(refusal));
    }
    finish();
}

void RequestFlow::handleCallerGone()
{
    if (!isOver_) {
        hooks_.send(server_, Cancel{.attempt = attempt_});
        finish();
    }
}

void RequestFlow::finish()
{
    if (!isOver_) {
        isOver_ = true;
        hooks_.finished(attempt_);
    }
}

} // namespace hornbeamlane
