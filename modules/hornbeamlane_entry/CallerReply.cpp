#include "hornbeamlane_entry/CallerReply.h"

#include "hornbeamlane_entry/RefusalReply.h"

#include <algorithm>

namespace hornbeamlane {

namespace {

/** A whole response above this size is streamed, so that the memory for one request stays bounded. */
constexpr std::size_t maxCollectedBytes = 256 * 1024;

/** Bytes waiting for the caller above which no further credit goes to the agent. */
constexpr std::size_t callerBufferBytes = 64 * 1024;

constexpr std::size_t maxEventBytes = 1024 * 1024;

constexpr std::string_view eventEnd = "\n\n";

} // namespace

CallerReply::CallerReply(std::shared_ptr<HttpExchange> exchange, Hooks hooks)
    : exchange_(std::move(exchange))
    , hooks_(std::move(hooks))
{
}

void CallerReply::setHead(int status, const std::string &contentType, bool isStream)
{
    // A resumed stream goes on under the head that the caller already has.
    if (hasBegun()) {
        return;
    }
    response_.status = status;
    response_.contentType = contentType;
    isEventStream_ = isStream && status == 200;
    if (isEventStream_) {
        beginStream();
    }
}

bool CallerReply::mayGoOnWith(int status, const std::string &contentType) const
{
    return !hasBegun() || (status == response_.status && contentType == response_.contentType);
}

void CallerReply::beginStream()
{
    exchange_->startStream(response_);
}

void CallerReply::addData(std::string_view bytes)
{
    if (isOver_) {
        return;
    }
    if (!hasFirstByte_) {
        hasFirstByte_ = true;
        hooks_.firstByte();
    }
    if (isEventStream_) {
        partialEvent_ += bytes;
        passEvents();
        return;
    }
    if (hasBegun()) {
        exchange_->sendChunk(bytes);
        return;
    }
    response_.body += bytes;
    if (response_.body.size() > maxCollectedBytes) {
        beginStream();
        exchange_->sendChunk(response_.body);
        response_.body.clear();
    }
}

void CallerReply::passEvents()
{
    const auto end = partialEvent_.rfind(eventEnd);
    if (end == std::string::npos) {
        return;
    }
    const std::string_view events(partialEvent_.data(), end + eventEnd.size());
    std::size_t count = 0;
    for (auto at = events.find(eventEnd); at != std::string_view::npos; at = events.find(eventEnd, at + 1)) {
        ++count;
    }
    passedEvents_ += count;
    hooks_.tokens(count);
    exchange_->sendChunk(events);
    partialEvent_.erase(0, events.size());
}

void CallerReply::complete(bool isReplay)
{
    if (isOver_) {
        return;
    }
    isOver_ = true;
    if (hasBegun()) {
        exchange_->finishStream();
        return;
    }
    if (isReplay) {
        response_.headers.emplace_back("Idempotent-Replayed", "true");
    }
    exchange_->reply(response_);
}

void CallerReply::refuse(const Refusal &refusal)
{
    if (isOver_) {
        return;
    }
    isOver_ = true;
    hooks_.refused(refusal);
    if (!hasBegun()) {
        exchange_->reply(makeRefusalReply(refusal));
        return;
    }
    if (isEventStream_) {
        exchange_->sendChunk(makeRefusalEvent(refusal));
    }
    exchange_->abortStream();
}

bool CallerReply::endsInsideEvent() const
{
    return !partialEvent_.empty();
}

bool CallerReply::isEventTooLong() const
{
    return partialEvent_.size() > maxEventBytes;
}

bool CallerReply::hasBegun() const
{
    return exchange_->isStreaming();
}

void CallerReply::restart()
{
    response_.body.clear();
    partialEvent_.clear();
}

std::size_t CallerReply::passedEvents() const
{
    return passedEvents_;
}

bool CallerReply::isBackedUp() const
{
    return exchange_->bufferedBytes() > callerBufferBytes;
}

bool CallerReply::isOver() const
{
    return isOver_;
}

} // namespace hornbeamlane
