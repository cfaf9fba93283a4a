#include "hornbeamlane_gateway/state/UnnamedServers.h"

#include <algorithm>
#include <utility>

namespace hornbeamlane {

UnnamedServers::UnnamedServers(std::size_t limit)
    : limit_(limit)
{
}

bool UnnamedServers::keep(const BackendSpec &spec, TimePoint now)
{
    if (!servers_.contains(spec.id) && servers_.size() >= limit_) {
        return false;
    }
    servers_[spec.id] = {.spec = spec, .toldAt = now};
    return true;
}

void UnnamedServers::drop(const ServerId &server)
{
    servers_.erase(server);
}

void UnnamedServers::retainOnly(const std::set<ServerId> &listed)
{
    std::erase_if(servers_, [&listed](const auto &server) { return !listed.contains(server.first); });
}

std::vector<BackendSpec> UnnamedServers::takeNamed(const std::function<bool(const ServiceId &)> &isNamed, TimePoint now)
{
    std::vector<BackendSpec> named;
    for (auto it = servers_.begin(); it != servers_.end();) {
        auto &[spec, toldAt] = it->second;
        if (!isNamed(spec.service)) {
            ++it;
            continue;
        }
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - toldAt);
        spec.warmupLeft = std::max(std::chrono::milliseconds(0), spec.warmupLeft - age);
        named.push_back(std::move(spec));
        it = servers_.erase(it);
    }
    return named;
}

} // namespace hornbeamlane
