#pragma once

#include "hornbeamlane_membership/drains/DrainSet.h"
#include "hornbeamlane_membership/operator/TableStep.h"

#include <functional>
#include <optional>
#include <string>

namespace hornbeamlane {

enum class DrainStatus {
    Stored,
    NothingToDo, ///< Already drained, or no drain to remove.
    Unavailable, ///< The table service could not be used; the row is as before.
    OutcomeUnknown, ///< The last write may have taken effect or may yet.
    MalformedRow, ///< The row `drains` was not written by this release; it is as before.
};

std::string_view toString(DrainStatus status);

/** Adds a drain to the row `drains` or removes all drains of a scope and name from it. */
class DrainOperation final
{
public:
    struct Options
    {
        /** The id is unique for each drain; it is not used for a removal. */
        DrainRecord record;
        bool isRemoval = false;
        /** Requests that may fail or stay without reply before the operation gives up. */
        int maxFailures = 5;
    };

    explicit DrainOperation(Options options);

    /** The request to perform; empty when the operation has ended. */
    std::optional<TableStep> next() const;

    void onReply(const TableReply &reply);

    /** The result; empty while the operation goes on. */
    std::optional<DrainStatus> outcome() const
    {
        return outcome_;
    }

    /** Ids that were added or removed. */
    const std::vector<DrainId> &ids() const
    {
        return ids_;
    }

private:
    void onRead(const TableReply &reply);

    Options options_;
    /** What the row must contain; known after the first read. */
    DrainSet change_;
    std::vector<DrainId> ids_;
    std::optional<WriteRow> write_;
    bool mayHaveWritten_ = false;
    int failures_ = 0;
    std::optional<DrainStatus> outcome_;
};

} // namespace hornbeamlane
