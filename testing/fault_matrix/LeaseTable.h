#pragma once

#include "hornbeamlane_admission/hornbeamlane_admission.h"

#include <map>
#include <string>

namespace hornbeamlane::testing {

/** Rows of the table service in memory, enough for team leases. */
class LeaseTable final
{
public:
    explicit LeaseTable(bool checksConditions = true)
        : checksConditions_(checksConditions)
    {
    }

    TableReply read(const std::string &key) const
    {
        const auto row = rows_.find(key);
        if (row == rows_.end()) {
            return {.status = TableStatus::NotFound};
        }
        return {.status = TableStatus::Ok, .row = row->second};
    }

    TableReply write(const TableWrite &write)
    {
        auto &row = rows_[write.key];
        if (checksConditions_ && row.version != write.expectedVersion) {
            return {.status = TableStatus::Conflict};
        }
        row = {.key = write.key, .version = row.version.next(), .value = write.value};
        return {.status = TableStatus::Ok, .row = TableRow{.key = row.key, .version = row.version}};
    }

private:
    bool checksConditions_;
    std::map<std::string, TableRow> rows_;
};

} // namespace hornbeamlane::testing
