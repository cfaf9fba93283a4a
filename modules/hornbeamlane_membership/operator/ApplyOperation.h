#pragma once

#include "hornbeamlane_membership/catalogue/CatalogueHead.h"
#include "hornbeamlane_membership/operator/TableStep.h"

#include <functional>
#include <optional>
#include <string>

namespace hornbeamlane {

enum class ApplyStatus {
    Accepted,
    Conflict, ///< Another version than the base is the newest; nothing was accepted.
    Unavailable, ///< The table service could not be used; nothing was accepted.
    OutcomeUnknown, ///< The last write may have been accepted or may be yet.
    MalformedHead, ///< The row `catalogue/head` was not written by this release; nothing was accepted.
};

std::string_view toString(ApplyStatus status);

struct ApplyOutcome
{
    ApplyStatus status = ApplyStatus::Unavailable;
    /** The version of the document, if it was or may have been accepted. */
    CatalogueVersion version;
    /** The newest accepted version as last read. */
    CatalogueVersion newest;
};

/**
    Stores a catalogue document as the successor of a named base version.

    Writes the document under a number that no other operator has used, then moves the head from the base to it. An
    operator that stops in between leaves a document that is never in force, and its number is skipped.
    Usage: while next() has a value, perform it and call onReply().
*/
class ApplyOperation final
{
public:
    struct Options
    {
        CatalogueVersion base;
        /** Canonical document. */
        std::string document;
        /** Requests that may fail or stay without reply before the operation gives up. */
        int maxFailures = 5;
        /** Whether the head moves only from the base that was read. */
        std::function<bool()> conditionsHeadWrite = [] { return true; };
        /** Whether a lost reply is resolved by reading the row. */
        std::function<bool()> readsBack = [] { return true; };
    };

    explicit ApplyOperation(Options options);

    /** The request to perform; empty when the operation has ended. */
    std::optional<TableStep> next() const;

    void onReply(const TableReply &reply);

    /** The result; empty while the operation goes on. */
    const std::optional<ApplyOutcome> &outcome() const
    {
        return outcome_;
    }

private:
    enum class State { ReadHead, WriteDocument, ReadDocument, WriteHead, ReadHeadBack };

    void onHeadRead(const TableReply &reply);
    void onDocumentWritten(const TableReply &reply);
    void onDocumentRead(const TableReply &reply);
    void onHeadWritten(const TableReply &reply);
    void onHeadReadBack(const TableReply &reply);
    bool isFailure(const TableReply &reply);
    std::optional<CatalogueHead> headOf(const TableReply &reply);
    void finish(ApplyStatus status);

    Options options_;
    State state_ = State::ReadHead;
    CatalogueHead head_;
    RowVersion headRow_;
    CatalogueVersion candidate_;
    CatalogueVersion newest_;
    bool mayHaveWrittenDocument_ = false;
    bool mayHaveMovedHead_ = false;
    int failures_ = 0;
    std::optional<ApplyOutcome> outcome_;
};

} // namespace hornbeamlane
