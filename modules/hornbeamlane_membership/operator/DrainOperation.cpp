#include "hornbeamlane_membership/operator/DrainOperation.h"

namespace hornbeamlane {

std::string_view toString(DrainStatus status)
{
    switch (status) {
    case DrainStatus::Stored:
        return "stored";
    case DrainStatus::NothingToDo:
        return "nothing_to_do";
    case DrainStatus::Unavailable:
        return "unavailable";
    case DrainStatus::OutcomeUnknown:
        return "outcome_unknown";
    case DrainStatus::MalformedRow:
        return "malformed_row";
    }
    HORNBEAMLANE_ASSERT(false);
    return {};
}

DrainOperation::DrainOperation(Options options)
    : options_(std::move(options))
{
}

std::optional<TableStep> DrainOperation::next() const
{
    if (outcome_) {
        return std::nullopt;
    }
    if (write_) {
        return *write_;
    }
    return ReadRow{.key = drainsRowKey};
}

void DrainOperation::onReply(const TableReply &reply)
{
    HORNBEAMLANE_ASSERT(!outcome_);
    if (reply.status == TableStatus::Unavailable || reply.status == TableStatus::NoReply) {
        mayHaveWritten_ = mayHaveWritten_ || (write_ && reply.status == TableStatus::NoReply);
        write_.reset();
        if (++failures_ >= options_.maxFailures) {
            outcome_ = mayHaveWritten_ ? DrainStatus::OutcomeUnknown : DrainStatus::Unavailable;
        }
    } else if (!write_) {
        onRead(reply);
    } else if (reply.status == TableStatus::Ok) {
        outcome_ = DrainStatus::Stored;
    } else {
        write_.reset();
    }
}

void DrainOperation::onRead(const TableReply &reply)
{
    std::optional<DrainSet> row = DrainSet();
    if (reply.status == TableStatus::Ok && reply.row) {
        row = DrainSet::fromRowValue(reply.row->value);
    }
    if (!row) {
        outcome_ = mayHaveWritten_ ? DrainStatus::OutcomeUnknown : DrainStatus::MalformedRow;
        return;
    }
    const auto existing = row->find(options_.record.scope, options_.record.name);
    if (options_.isRemoval) {
        for (const auto &id : existing) {
            change_.remove(id);
        }
        ids_ = change_.toUpdate().removed;
    } else if (existing.empty() || mayHaveWritten_) {
        change_.add(options_.record);
        ids_ = {options_.record.id};
    }
    if (row->contains(change_)) {
        outcome_ = mayHaveWritten_ ? DrainStatus::Stored : DrainStatus::NothingToDo;
        return;
    }
    row->merge(change_);
    write_ = WriteRow{.write = {.key = drainsRowKey,
                                .expectedVersion = reply.row ? reply.row->version : RowVersion(),
                                .value = row->toRowValue()}};
}

} // namespace hornbeamlane
