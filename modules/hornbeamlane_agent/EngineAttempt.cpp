#include "hornbeamlane_agent/EngineAttempt.h"

#include <algorithm>

namespace hornbeamlane {

namespace {

/** Body bytes that an agent may send before the first Credit message. */
constexpr std::uint64_t initialCreditBytes = 64 * 1024;

/** Largest piece of a body in one message, well under maxFrameBytes. */
constexpr std::size_t maxDataBytes = 32 * 1024;

/** Tokens in a piece of an event stream; engines send one event for each token. */
std::uint32_t countTokens(std::string_view bytes)
{
    constexpr std::string_view eventStart = "data: {";
    std::uint32_t tokens = 0;
    for (auto at = bytes.find(eventStart); at != std::string_view::npos; at = bytes.find(eventStart, at + 1)) {
        ++tokens;
    }
    return tokens;
}

} // namespace

EngineAttempt::EngineAttempt(EventLoop &loop, Options options, Dispatch dispatch, Callbacks callbacks)
    : loop_(loop)
    , options_(std::move(options))
    , dispatch_(std::move(dispatch))
    , callbacks_(std::move(callbacks))
    , credit_(initialCreditBytes)
{
    start();
}

void EngineAttempt::start()
{
    HttpHeaders headers = {{"X-Request-Id", dispatch_.attempt.toString()},
                           {"X-Priority", std::to_string(dispatch_.priority)}};
    if (!dispatch_.contentType.empty()) {
        headers.emplace_back("Content-Type", dispatch_.contentType);
    }
    if (!dispatch_.idempotencyKey.empty()) {
        headers.emplace_back("Idempotency-Key", dispatch_.idempotencyKey);
    }
    HttpCall::Callbacks callbacks;
    callbacks.head = [this](const HttpResponse &head) { handleHead(head); };
    callbacks.data = [this](std::string_view bytes) { handleData(bytes); };
    callbacks.end = [this](HttpCallEnd end) { handleEnd(end); };
    call_ = std::make_unique<HttpCall>(loop_,
                                       HttpCall::Options{.address = options_.engineAddress,
                                                         .method = dispatch_.method,
                                                         .target = dispatch_.path,
                                                         .headers = std::move(headers),
                                                         .body = std::move(dispatch_.body),
                                                         .timeout = options_.timeout},
                                       std::move(callbacks));
}

const Dispatch &EngineAttempt::dispatch() const
{
    return dispatch_;
}

void EngineAttempt::handleHead(const HttpResponse &head)
{
    result_.status = head.status;
    result_.contentType = head.contentType;
    callbacks_.head(head);
    if (!isDetached_) {
        callbacks_.message(ResponseHead{.attempt = dispatch_.attempt,
                                        .sequence = sequence_++,
                                        .status = head.status,
                                        .contentType = head.contentType});
    }
}

void EngineAttempt::handleData(std::string_view bytes)
{
    if (!hasFirstByte_) {
        hasFirstByte_ = true;
        callbacks_.firstByte();
    }
    if (const auto tokens = countTokens(bytes); tokens > 0) {
        callbacks_.tokens(tokens);
    }
    if (options_.isResultKept && !result_.isBodyOmitted) {
        result_.isBodyOmitted = result_.body.size() + bytes.size() > options_.maxKeptBytes;
        if (!result_.isBodyOmitted) {
            result_.body += bytes;
        }
    }
    if (!isDetached_) {
        pending_ += bytes;
        sendPending();
    }
}

void EngineAttempt::sendPending()
{
    while (!pending_.empty() && credit_ > 0) {
        const auto size = std::min({pending_.size(), static_cast<std::size_t>(credit_), maxDataBytes});
        callbacks_.message(
            ResponseData{.attempt = dispatch_.attempt, .sequence = sequence_++, .bytes = pending_.substr(0, size)});
        pending_.erase(0, size);
        credit_ -= size;
    }
    if (call_ && !isInputComplete_) {
        if (pending_.empty()) {
            call_->resumeReading();
        } else {
            call_->pauseReading();
        }
    }
}

void EngineAttempt::addCredit(std::uint64_t bytes)
{
    credit_ += std::min(bytes, initialCreditBytes);
    sendPending();
    finishIfDone();
}

void EngineAttempt::detach()
{
    isDetached_ = true;
    pending_.clear();
    if (call_ && !isInputComplete_) {
        call_->resumeReading();
    }
    finishIfDone();
}

void EngineAttempt::handleEnd(HttpCallEnd end)
{
    if (end == HttpCallEnd::Complete) {
        isInputComplete_ = true;
        finishIfDone();
        return;
    }
    result_.refusal = refusalOf(end);
    const auto finished = std::move(callbacks_.finished);
    finished(result_);
}

void EngineAttempt::finishIfDone()
{
    if (!isInputComplete_ || !pending_.empty() || !callbacks_.finished) {
        return;
    }
    if (!isDetached_) {
        callbacks_.message(ResponseEnd{.attempt = dispatch_.attempt, .sequence = sequence_++});
    }
    result_.isComplete = true;
    if (result_.isBodyOmitted) {
        result_.body.clear();
    }
    const auto finished = std::move(callbacks_.finished);
    finished(result_);
}

Refusal EngineAttempt::refusalOf(HttpCallEnd end) const
{
    if (end == HttpCallEnd::ConnectFailed) {
        return {.reason = RefusalReason::ServerLost,
                .execution = ExecutionState::NotRun,
                .detail = "the engine refused the connection"};
    }
    return {.reason = RefusalReason::ServerLost,
            .execution = ExecutionState::Unknown,
            .detail = "the engine broke the response off"};
}

} // namespace hornbeamlane
