#include "hornbeamlane_dispatch/ratelimits/ServerRateLimits.h"

#include <utility>

namespace hornbeamlane {

ServerStartHash hashOfStart(const ServerId &server, std::uint64_t incarnation)
{
    return static_cast<ServerStartHash>(hash64(server.name(), incarnation));
}

ServerRateLimits::ServerRateLimits()
    : ServerRateLimits(Options())
{
}

ServerRateLimits::ServerRateLimits(Options options)
    : options_(options)
{
}

ServerRateLimits::Change ServerRateLimits::onNamed(ServerStartHash server, double perSecond, TimePoint now)
{
    const auto found = records_.find(server);
    if (found == records_.end()) {
        if (records_.size() >= options_.maxServers) {
            return Change::None;
        }
        records_.emplace(server, Record{.perSecond = perSecond, .shownAt = now});
        return Change::Named;
    }
    auto &record = found->second;
    const auto before = std::exchange(record.perSecond, perSecond);
    record.shownAt = now;
    if (!before) {
        return Change::Named;
    }
    return *before == perSecond ? Change::None : Change::Changed;
}

ServerRateLimits::Change ServerRateLimits::onNoneNamed(ServerStartHash server, TimePoint sentAt)
{
    const auto found = records_.find(server);
    // The answer to an earlier request may have been written before the limit was named.
    if (found == records_.end() || !found->second.perSecond || sentAt <= found->second.shownAt) {
        return Change::None;
    }
    found->second = {.perSecond = std::nullopt, .shownAt = sentAt};
    return Change::Lifted;
}

std::optional<double> ServerRateLimits::limitOf(ServerStartHash server) const
{
    const auto found = records_.find(server);
    return found == records_.end() ? std::nullopt : found->second.perSecond;
}

void ServerRateLimits::sweep(TimePoint now)
{
    std::erase_if(records_, [this, now](const auto &entry) { return now - entry.second.shownAt > options_.memory; });
}

} // namespace hornbeamlane
