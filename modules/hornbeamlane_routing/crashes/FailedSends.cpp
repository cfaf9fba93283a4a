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

std::vector<LostRequest> FailedSends::take(ServerStartKey server, std::optional<TimeOfDay> nextStart)
{
    const auto found = servers_.find(server);
    if (found == servers_.end()) {
        return {};
    }
    auto requests = std::move(found->second);
    servers_.erase(found);
    std::erase_if(requests, [this, nextStart](const LostRequest &request) {
        return request.listenedAt && (!nextStart || *nextStart > *request.listenedAt + options_.clockTolerance);
    });
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
                 [start](const LostRequest &request) { return request.lostAt >= start && !request.listenedAt; });
    return requests;
}

void FailedSends::noteListening(ServerStartKey server, TimePoint at, TimeOfDay timeOfDay)
{
    const auto found = servers_.find(server);
    if (found == servers_.end()) {
        return;
    }
    for (auto &request : found->second) {
        if (request.hasBrokenOff && request.lostAt <= at && !request.listenedAt) {
            request.listenedAt = timeOfDay;
        }
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
