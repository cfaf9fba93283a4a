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

std::vector<CrashCandidate> FailedSends::take(CrashId server)
{
    auto candidates = since(server, TimePoint());
    servers_.erase(server);
    return candidates;
}

std::vector<CrashCandidate> FailedSends::since(CrashId server, TimePoint start) const
{
    std::vector<CrashCandidate> candidates;
    const auto found = servers_.find(server);
    if (found == servers_.end()) {
        return candidates;
    }
    for (const auto &send : found->second) {
        if (send.at >= start) {
            candidates.push_back(send.candidate);
        }
    }
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
