#include "hornbeamlane_dispatch/servers/ServerNotices.h"

#include <algorithm>
#include <utility>

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

bool ServerNotices::onPause(const ServerId &server, std::uint64_t incarnation, TimePoint until, TimePoint now)
{
    auto &notice = findOrAdd({server, incarnation}, now);
    // Each pause holds to its end, also if a shorter one is asked for later.
    const bool isLonger = until > notice.pausedUntil;
    notice.pausedUntil = std::max(notice.pausedUntil, until);
    return isLonger;
}

TimePoint ServerNotices::pausedUntil(const ServerId &server, std::uint64_t incarnation) const
{
    const auto found = notices_.find({server, incarnation});
    return found == notices_.end() ? TimePoint() : found->second.pausedUntil;
}

void ServerNotices::expire(TimePoint now)
{
    std::erase_if(notices_, [this, now](const auto &entry) {
        const auto &notice = entry.second;
        return now - notice.heardAt >= options_.memory && now >= notice.pausedUntil;
    });
}

} // namespace hornbeamlane
