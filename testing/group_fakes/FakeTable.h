#pragma once

#include "hornbeamlane_membership/hornbeamlane_membership.h"

#include <map>
#include <string>

namespace hornbeamlane::testing {

/** Rows of the table service with conditional writes; each call takes effect at once. */
class FakeTable final
{
public:
    TableReply read(const std::string &key) const
    {
        const auto row = rows_.find(key);
        if (row == rows_.end()) {
            return {.status = TableStatus::NotFound, .row = std::nullopt, .era = era_};
        }
        return {.status = TableStatus::Ok, .row = row->second, .era = era_};
    }

    TableReply write(const TableWrite &write)
    {
        auto &row = rows_[write.key];
        if (row.version != write.expectedVersion) {
            return {.status = TableStatus::Conflict, .row = std::nullopt, .era = era_};
        }
        row = {.key = write.key, .version = RowVersion(++lastVersion_), .value = write.value};
        return {.status = TableStatus::Ok,
                .row = TableRow{.key = row.key, .version = row.version, .value = {}},
                .era = era_};
    }

    TableReply apply(const LeaseRequest &request)
    {
        return request.write ? write(*request.write) : read(request.key);
    }

    /** The same, with the time on the service's clock in the reply. */
    TableReply apply(const LeaseRequest &request, std::chrono::milliseconds serviceTime)
    {
        auto reply = apply(request);
        reply.serviceTime = serviceTime;
        return reply;
    }

    /** Tells an era in all replies from now on. */
    void startEra(TableEra era)
    {
        era_ = era;
    }

    /** Comes back from an older copy in the next era: later writes are lost, their versions are given out again. */
    void restore(const FakeTable &copy)
    {
        rows_ = copy.rows_;
        lastVersion_ = copy.lastVersion_;
        era_ = era_.value_or(0) + 1;
    }

private:
    std::map<std::string, TableRow> rows_;
    std::uint64_t lastVersion_ = 0;
    std::optional<TableEra> era_;
};

} // namespace hornbeamlane::testing
