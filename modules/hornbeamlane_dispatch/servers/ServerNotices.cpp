#include "hornbeamlane_dispatch/servers/ServerNotices.h"

#include <algorithm>

namespace hornbeamlane {

ServerNotices::ServerNotices()
    : ServerNotices(Options())
{
}

ServerNotices::ServerNotices(Options options)
    : options_(options)
{
}

ServerNotices::Notice &ServerNotices::findOrAdd(const Start &start, TimePoint now)
{
    if (!notices_.contains(start) && notices_.size() >= options_.maxStarts) {
        const auto isOlder = [](const auto &a, const auto &b) { return a.second.heardAt < b.second.heardAt; };
        notices_.erase(std::min_element(notices_.begin(), notices_.end(), isOlder));
    }
    auto &notice = notices_[start];
    notice.heardAt = now;
    return notice;
}

bool ServerNotices::onLeaving(const ServerId &server, std::uint64_t incarnation, TimePoint now)
{
    return !std::exchange(findOrAdd({server, incarnation}, now).isLeaving, true);
}

bool ServerNotices::isLeaving(const ServerId &server, std::uint64_t incarnation) const
{
    const auto found = notices_.find({server, incarnation});
    return found != notices_.end() && found->second.isLeaving;
}

void ServerNotices::expire(TimePoint now)
{
    std::erase_if(notices_, [this, now](const auto &entry) { return now - entry.second.heardAt >= options_.memory; });
}

} // namespace hornbeamlane
