#include "hornbeamlane_routing/crashes/FailedSends.h"

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

void FailedSends::add(CrashId server, CrashCandidate candidate, TimePoint now)
{
    auto &sends = servers_[server];
    if (sends.size() >= options_.maxPerServer) {
        sends.erase(sends.begin());
    }
    sends.push_back({.candidate = std::move(candidate), .at = now});
}

std::vector<CrashCandidate> FailedSends::take(CrashId server, TimePoint now)
{
    expire(now);
    std::vector<CrashCandidate> candidates;
    const auto found = servers_.find(server);
    if (found == servers_.end()) {
        return candidates;
    }
    for (auto &send : found->second) {
        candidates.push_back(std::move(send.candidate));
    }
    servers_.erase(found);
    return candidates;
}

bool FailedSends::hasAny(CrashId server) const
{
    return servers_.contains(server);
}

void FailedSends::expire(TimePoint now)
{
    for (auto &[server, sends] : servers_) {
        std::erase_if(sends, [this, now](const FailedSend &send) { return now - send.at >= options_.memory; });
    }
    std::erase_if(servers_, [](const auto &entry) { return entry.second.empty(); });
}

} // namespace hornbeamlane
