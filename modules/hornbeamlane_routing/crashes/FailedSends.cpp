#include "hornbeamlane_routing/crashes/FailedSends.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hornbeamlane {

FailedSends::FailedSends()
    : FailedSends(Options())
{
}

FailedSends::FailedSends(Options options)
    : options_(options)
{
}

void FailedSends::add(ServerStartKey server, LostRequest request)
{
    auto &requests = servers_[server];
    if (requests.size() >= options_.maxPerServer) {
        requests.erase(requests.begin());
    }
    requests.push_back(std::move(request));
}

std::vector<LostRequest> FailedSends::take(ServerStartKey server)
{
    auto requests = since(server, TimePoint());
    servers_.erase(server);
    return requests;
}

std::vector<LostRequest> FailedSends::since(ServerStartKey server, TimePoint start) const
{
    std::vector<LostRequest> requests;
    const auto found = servers_.find(server);
    if (found == servers_.end()) {
        return requests;
    }
    std::copy_if(found->second.begin(), found->second.end(), std::back_inserter(requests),
                 [start](const LostRequest &request) { return request.lostAt >= start; });
    return requests;
}

void FailedSends::dropBrokenOff(ServerStartKey server, TimePoint livedAt)
{
    const auto found = servers_.find(server);
    if (found == servers_.end()) {
        return;
    }
    std::erase_if(found->second,
                  [livedAt](const LostRequest &request) { return request.hasBrokenOff && request.lostAt <= livedAt; });
    if (found->second.empty()) {
        servers_.erase(found);
    }
}

bool FailedSends::hasAny(ServerStartKey server) const
{
    return servers_.contains(server);
}

void FailedSends::expire(TimePoint now)
{
    for (auto &[server, requests] : servers_) {
        std::erase_if(requests,
                      [this, now](const LostRequest &request) { return now - request.lostAt >= options_.memory; });
    }
    std::erase_if(servers_, [](const auto &entry) { return entry.second.empty(); });
}

} // namespace hornbeamlane
