#include "hornbeamlane_membership/operator/ApplyOperation.h"

namespace hornbeamlane {

std::string_view toString(ApplyStatus status)
{
    switch (status) {
    case ApplyStatus::Accepted:
        return "accepted";
    case ApplyStatus::Conflict:
        return "conflict";
    case ApplyStatus::Unavailable:
        return "unavailable";
    case ApplyStatus::OutcomeUnknown:
        return "outcome_unknown";
    case ApplyStatus::MalformedHead:
        return "malformed_head";
    }
    HORNBEAMLANE_ASSERT(false);
    return {};
}

ApplyOperation::ApplyOperation(Options options)
    : options_(std::move(options))
    , candidate_(options_.base.next())
{
}

std::optional<TableStep> ApplyOperation::next() const
{
    if (outcome_) {
        return std::nullopt;
    }
    switch (state_) {
    case State::ReadHead:
    case State::ReadHeadBack:
        return ReadRow{.key = catalogueHeadKey};
    case State::WriteDocument:
        return WriteRow{.write = {.key = catalogueRowKey(candidate_), .value = options_.document}};
    case State::ReadDocument:
        return ReadRow{.key = catalogueRowKey(candidate_)};
    case State::WriteHead: {
        auto head = head_;
        head.accept(candidate_);
        return WriteRow{.write = {.key = catalogueHeadKey, .expectedVersion = headRow_, .value = head.toRowValue()}};
    }
    }
    return std::nullopt;
}

void ApplyOperation::onReply(const TableReply &reply)
{
    HORNBEAMLANE_ASSERT(!outcome_);
    switch (state_) {
    case State::ReadHead:
        return onHeadRead(reply);
    case State::WriteDocument:
        return onDocumentWritten(reply);
    case State::ReadDocument:
        return onDocumentRead(reply);
    case State::WriteHead:
        return onHeadWritten(reply);
    case State::ReadHeadBack:
        return onHeadReadBack(reply);
    }
}

void ApplyOperation::finish(ApplyStatus status)
{
    const bool hasVersion = status == ApplyStatus::Accepted || status == ApplyStatus::OutcomeUnknown;
    outcome_ = {.status = status, .version = hasVersion ? candidate_ : CatalogueVersion(), .newest = newest_};
}

bool ApplyOperation::isFailure(const TableReply &reply)
{
    if (reply.status != TableStatus::Unavailable && reply.status != TableStatus::NoReply) {
        return false;
    }
    if (++failures_ >= options_.maxFailures) {
        finish(mayHaveMovedHead_ ? ApplyStatus::OutcomeUnknown : ApplyStatus::Unavailable);
    }
    return true;
}

std::optional<CatalogueHead> ApplyOperation::headOf(const TableReply &reply)
{
    if (reply.status == TableStatus::NotFound) {
        return CatalogueHead();
    }
    if (reply.status != TableStatus::Ok || !reply.row) {
        return std::nullopt;
    }
    return CatalogueHead::fromRowValue(reply.row->value);
}

void ApplyOperation::onHeadRead(const TableReply &reply)
{
    if (isFailure(reply)) {
        return;
    }
    const auto head = headOf(reply);
    if (!head) {
        finish(ApplyStatus::MalformedHead);
        return;
    }
    head_ = *head;
    headRow_ = reply.row ? reply.row->version : RowVersion();
    newest_ = head->version();
    if (newest_ != options_.base) {
        finish(ApplyStatus::Conflict);
        return;
    }
    state_ = State::WriteDocument;
}

void ApplyOperation::onDocumentWritten(const TableReply &reply)
{
    if (reply.status == TableStatus::Ok) {
        state_ = State::WriteHead;
        return;
    }
    if (reply.status == TableStatus::NoReply) {
        mayHaveWrittenDocument_ = true;
    }
    if (!isFailure(reply) || reply.status == TableStatus::NoReply) {
        state_ = State::ReadDocument;
    }
}

void ApplyOperation::onDocumentRead(const TableReply &reply)
{
    if (isFailure(reply)) {
        return;
    }
    if (reply.status == TableStatus::NotFound) {
        state_ = State::WriteDocument;
    } else if (mayHaveWrittenDocument_ && reply.row && reply.row->value == options_.document) {
        state_ = State::WriteHead;
    } else {
        // The number belongs to another operator, who may be about to move the head to it. Overwriting the row would
        // put this document in force in that operator's name.
        candidate_ = candidate_.next();
        mayHaveWrittenDocument_ = false;
        state_ = State::WriteDocument;
    }
}

void ApplyOperation::onHeadWritten(const TableReply &reply)
{
    if (reply.status == TableStatus::Ok) {
        newest_ = candidate_;
        finish(ApplyStatus::Accepted);
        return;
    }
    if (reply.status == TableStatus::NoReply) {
        if (!options_.readsBack()) {
            finish(ApplyStatus::Unavailable);
            return;
        }
        mayHaveMovedHead_ = true;
    }
    if (!isFailure(reply) || reply.status == TableStatus::NoReply) {
        state_ = State::ReadHeadBack;
    }
}

void ApplyOperation::onHeadReadBack(const TableReply &reply)
{
    if (isFailure(reply)) {
        return;
    }
    const auto head = headOf(reply);
    if (!head) {
        finish(mayHaveMovedHead_ ? ApplyStatus::OutcomeUnknown : ApplyStatus::MalformedHead);
        return;
    }
    newest_ = head->version();
    const auto wasAccepted = head->wasAccepted(candidate_);
    const auto row = reply.row ? reply.row->version : RowVersion();
    if (!wasAccepted) {
        finish(mayHaveMovedHead_ ? ApplyStatus::OutcomeUnknown : ApplyStatus::Conflict);
    } else if (*wasAccepted) {
        finish(ApplyStatus::Accepted);
    } else if (row == headRow_ || !options_.conditionsHeadWrite()) {
        // The same condition again: a first write that is still under way makes this one conflict.
        headRow_ = row;
        state_ = State::WriteHead;
    } else {
        finish(ApplyStatus::Conflict);
    }
}

} // namespace hornbeamlane
