#include "hornbeamlane_gateway/state/DataCentreReturns.h"

#include <algorithm>
#include <utility>

namespace hornbeamlane {

void DataCentreReturns::onReturned(const DataCentreId &dataCentre, const TableVersion &at)
{
    returned_[dataCentre] = at;
}

void DataCentreReturns::onEvacuated(const DataCentreId &dataCentre)
{
    returned_.erase(dataCentre);
}

std::optional<TableVersion> DataCentreReturns::awaited() const
{
    const auto last = std::max_element(returned_.begin(), returned_.end(), [](const auto &a, const auto &b) {
        return std::pair(a.second.era, a.second.version) < std::pair(b.second.era, b.second.version);
    });
    return last == returned_.end() ? std::nullopt : std::optional(last->second);
}

std::vector<DataCentreId> DataCentreReturns::confirm(const TableVersion &known)
{
    std::vector<DataCentreId> confirmed;
    std::erase_if(returned_, [&](const auto &returned) {
        const auto &[dataCentre, at] = returned;
        if (known.era == at.era && known.version >= at.version) {
            confirmed.push_back(dataCentre);
            return true;
        }
        // Versions of another era cannot be compared: the rows come from an older copy and may miss what was written
        // before the return.
        return known.era > at.era;
    });
    return confirmed;
}

} // namespace hornbeamlane
