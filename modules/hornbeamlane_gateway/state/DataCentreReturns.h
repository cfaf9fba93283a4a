#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"
#include "hornbeamlane_membership/table/TableClient.h"

#include <map>
#include <optional>
#include <vector>

namespace hornbeamlane {

/** Data centres that have been taken back into service while the rows of their servers may be older than that. */
class DataCentreReturns final
{
public:
    /** The data centre was in service again at that version of the store. */
    void onReturned(const DataCentreId &dataCentre, const TableVersion &at);

    void onEvacuated(const DataCentreId &dataCentre);

    /** Version up to which the rows of servers have to be known; empty if there is nothing to wait for. */
    std::optional<TableVersion> awaited() const;

    /** The rows of servers are known up to this version; returns the data centres for which that is enough. */
    std::vector<DataCentreId> confirm(const TableVersion &known);

private:
    std::map<DataCentreId, TableVersion> returned_;
};

} // namespace hornbeamlane
