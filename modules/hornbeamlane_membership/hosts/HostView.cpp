#include "hornbeamlane_membership/hosts/HostView.h"

namespace hornbeamlane {

void HostView::update(const std::vector<HostRecord> &hosts, TimePoint now)
{
    hosts_.clear();
    for (const auto &host : hosts) {
        hosts_[host.name] = host;
    }
    updated_ = now;
}

std::optional<Duration> HostView::age(TimePoint now) const
{
    if (!updated_) {
        return std::nullopt;
    }
    return now - *updated_;
}

const HostRecord *HostView::find(const HostId &host) const
{
    const auto match = hosts_.find(host);
    return match == hosts_.end() ? nullptr : &match->second;
}

std::vector<HostRecord> HostView::entries(const DataCentreId &dataCentre) const
{
    std::vector<HostRecord> entries;
    for (const auto &[name, host] : hosts_) {
        if (host.role == HostRole::Entry && host.dataCentre == dataCentre) {
            entries.push_back(host);
        }
    }
    return entries;
}

} // namespace hornbeamlane
