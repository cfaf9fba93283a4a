#include "hornbeamlane_gateway/request/AnswerRelay.h"

#include "hornbeamlane_gateway/request/RequestHeaders.h"

#include <utility>

namespace hornbeamlane {

namespace {

/** A caller that reads slowly stops the server once so many bytes wait for it. */
constexpr std::size_t maxBufferedBytes = 256 * 1024;
constexpr std::size_t maxBufferedWhenShort = 16 * 1024;

/** Answers that are not streams are collected up to this size; up to the second one, if all requests together have
   collected too much. */
constexpr std::size_t maxCollectedBytes = 8 * 1024 * 1024;
constexpr std::size_t maxCollectedWhenShort = 256 * 1024;

/** Bytes that all requests together may have collected of answers and of events; well below the memory of an entry
 * host. */
constexpr std::size_t maxCollectedInSum = 24 * 1024 * 1024;

std::string contentTypeOf(const Http1ResponseHead &head)
{
    const auto *type = head.header("Content-Type");
    return type == nullptr ? "" : *type;
}

} // namespace

AnswerRelay::AnswerRelay(std::shared_ptr<Http1Exchange> exchange, std::size_t &collectedBytes)
    : exchange_(std::move(exchange))
    , collectedBytes_(collectedBytes)
{
}

AnswerRelay::~AnswerRelay()
{
    clear();
}

void AnswerRelay::clear()
{
    failedHead_.reset();
    failedBody_.clear();
    dropSend();
}

AnswerRelay::Progress AnswerRelay::collect(detail::BackendSend &send, std::string_view bytes)
{
    send.body.append(bytes);
    return mayCollect(send) ? Progress::None : Progress::TooLarge;
}

AnswerRelay::Progress AnswerRelay::passEvents(detail::BackendSend &send, std::string_view bytes)
{
    const auto whole = events_.push(bytes);
    if (events_.isEventTooLong() || !mayCollect(send)) {
        return Progress::TooLarge;
    }
    if (whole.empty() || exchange_->isClosed()) {
        return Progress::None;
    }
    if (!exchange_->isStreaming()) {
        startStream(*send.head);
    }
    exchange_->sendPiece(whole);
    return Progress::Passed;
}

void AnswerRelay::startStream(const Http1ResponseHead &head)
{
    streamType_ = contentTypeOf(head);
    exchange_->startStream(head.status, endToEndHeaders(head.headers));
}

bool AnswerRelay::mayGoOnWith(const Http1ResponseHead &head) const
{
    return !exchange_->isStreaming() || contentTypeOf(head) == streamType_;
}

bool AnswerRelay::mayCollect(const detail::BackendSend &send)
{
    const auto waiting = waitingBytes(send);
    count(waiting);
    const bool isShort = collectedBytes_ > maxCollectedInSum || exchange_->isMemoryShort();
    return waiting <= (isShort ? maxCollectedWhenShort : maxCollectedBytes);
}

void AnswerRelay::count(std::size_t ofPresentAnswer)
{
    const auto bytes = failedBody_.size() + ofPresentAnswer;
    if (bytes == countedBytes_) {
        return;
    }
    collectedBytes_ -= std::exchange(countedBytes_, bytes);
    collectedBytes_ += bytes;
    exchange_->setCollectedBytes(bytes);
}

bool AnswerRelay::isCallerSlow() const
{
    return exchange_->bufferedBytes() > (exchange_->isMemoryShort() ? maxBufferedWhenShort : maxBufferedBytes);
}

void AnswerRelay::deliver(detail::BackendSend &send)
{
    const auto body = std::move(send.body);
    count(0);
    exchange_->reply(send.head->status, endToEndHeaders(send.head->headers), body);
}

void AnswerRelay::finishStream(const detail::BackendSend &send)
{
    if (!exchange_->isStreaming()) {
        startStream(*send.head);
    }
    exchange_->finishStream();
}

void AnswerRelay::keepFailure(detail::BackendSend &send)
{
    failedHead_ = std::move(send.head);
    failedBody_ = std::move(send.body);
    count(0);
}

std::optional<int> AnswerRelay::deliverFailure()
{
    if (!failedHead_) {
        return std::nullopt;
    }
    exchange_->reply(failedHead_->status, endToEndHeaders(failedHead_->headers), failedBody_);
    return failedHead_->status;
}

void AnswerRelay::dropSend()
{
    events_.dropPartialEvent();
    count(0);
}

} // namespace hornbeamlane
