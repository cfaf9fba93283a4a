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
            return {.status = TableStatus::NotFound, .row = std::nullopt};
        }
        return {.status = TableStatus::Ok, .row = row->second};
    }

    TableReply write(const TableWrite &write)
    {
        auto &row = rows_[write.key];
        if (row.version != write.expectedVersion) {
            return {.status = TableStatus::Conflict, .row = std::nullopt};
        }
        row = {.key = write.key, .version = RowVersion(++lastVersion_), .value = write.value};
        return {.status = TableStatus::Ok, .row = TableRow{.key = row.key, .version = row.version, .value = {}}};
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

private:
    std::map<std::string, TableRow> rows_;
    std::uint64_t lastVersion_ = 0;
};

} // namespace hornbeamlane::testing
