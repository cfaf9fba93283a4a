#pragma once

#include "hornbeamlane_dispatch/servers/Backend.h"

#include <unordered_map>
#include <vector>

namespace hornbeamlane {

/** Servers by service and by pace unit, in the order of their ids. Keeps pointers, which its owner keeps valid. */
class BackendIndex final
{
public:
    void add(Backend &backend);

    /** To be called with the service and the unit under which the server was added. */
    void remove(const Backend &backend);

    const std::vector<Backend *> &ofService(const ServiceId &service) const;
    const std::vector<Backend *> &ofUnit(const PaceUnitId &unit) const;

private:
    std::unordered_map<ServiceId, std::vector<Backend *>> services_;
    std::unordered_map<PaceUnitId, std::vector<Backend *>> units_;
};

} // namespace hornbeamlane
