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

ServerRateLimits::Record *ServerRateLimits::find(ServerStartHash server)
{
    const auto found = records_.find(server);
    return found == records_.end() ? nullptr : &found->second;
}

ServerRateLimits::Record *ServerRateLimits::findOrAdd(ServerStartHash server)
{
    if (auto *record = find(server); record != nullptr || records_.size() >= options_.maxServers) {
        return record;
    }
    return &records_[server];
}

ServerRateLimits::Change ServerRateLimits::setLimit(Record &record, std::optional<double> perSecond, TimePoint shownAt,
                                                    TimePoint now)
{
    record.shownAt = shownAt;
    const auto before = std::exchange(record.perSecond, perSecond);
    if (before == perSecond) {
        return Change::None;
    }
    record.newsAt = now;
    if (!perSecond) {
        return Change::Lifted;
    }
    if (!before) {
        record.rate = SharedRate(options_.rate);
    }
    record.rate.setRate(*perSecond);
    return before ? Change::Changed : Change::Named;
}

ServerRateLimits::Change ServerRateLimits::onNamed(ServerStartHash server, double perSecond, TimePoint now)
{
    auto *record = findOrAdd(server);
    return record == nullptr ? Change::None : setLimit(*record, perSecond, now, now);
}

ServerRateLimits::Change ServerRateLimits::onNoneNamed(ServerStartHash server, TimePoint sentAt, TimePoint now)
{
    auto *record = find(server);
    // The answer to an earlier request may have been written before the limit was named.
    if (record == nullptr || !record->perSecond || sentAt <= record->shownAt) {
        return Change::None;
    }
    return setLimit(*record, std::nullopt, sentAt, now);
}

ServerRateLimits::Change ServerRateLimits::onReport(Incarnation sender, const RateLimitReport &report, TimePoint now)
{
    auto *record = find(report.server);
    // That a server names no limit is the normal case, of which nothing is kept.
    if (now - report.shownAt > options_.memory || (record == nullptr && !report.perSecond)) {
        return Change::None;
    }
    record = record == nullptr ? findOrAdd(report.server) : record;
    if (record == nullptr) {
        return Change::None;
    }
    auto change = Change::None;
    // Without the tolerance two entries would make a report younger each time they tell it to each other.
    if (report.shownAt > record->shownAt + options_.timeTolerance) {
        change = setLimit(*record, report.perSecond, report.shownAt, now);
    }
    countSendings(*record, sender, report.sent, now);
    return change;
}

void ServerRateLimits::countSendings(Record &record, Incarnation sender, std::uint32_t sent, TimePoint now)
{
    auto &known = record.senders[sender];
    // A silent entry had its part of the rate for itself; what it has sent meanwhile is not owed by the others.
    const bool wasHeard = known.heardAt != TimePoint{} && now - known.heardAt < options_.silence;
    if (wasHeard && sent > known.sent) {
        record.rate.onTakenByOthers(sent - known.sent);
    }
    known = {.sent = sent, .heardAt = now};
}

std::optional<double> ServerRateLimits::limitOf(ServerStartHash server) const
{
    const auto found = records_.find(server);
    return found == records_.end() ? std::nullopt : found->second.perSecond;
}

bool ServerRateLimits::maySend(ServerStartHash server, const SharedRate::Share &share, TimePoint now,
                               RandomSource &random)
{
    auto *record = find(server);
    return record == nullptr || !record->perSecond || record->rate.mayTake(share, now, random);
}

void ServerRateLimits::onSent(ServerStartHash server, TimePoint now)
{
    if (auto *record = find(server); record != nullptr && record->perSecond) {
        record->rate.onTaken();
        ++record->sent;
        record->newsAt = now;
    }
}

std::vector<RateLimitReport> ServerRateLimits::reports(std::optional<TimePoint> newsSince) const
{
    std::vector<RateLimitReport> reports;
    for (const auto &[server, record] : records_) {
        if (!newsSince || record.newsAt >= *newsSince) {
            reports.push_back(
                {.server = server, .perSecond = record.perSecond, .shownAt = record.shownAt, .sent = record.sent});
        }
    }
    return reports;
}

void ServerRateLimits::sweep(TimePoint now)
{
    std::erase_if(records_, [this, now](const auto &entry) { return now - entry.second.shownAt > options_.memory; });
    for (auto &[server, record] : records_) {
        std::erase_if(record.senders,
                      [this, now](const auto &entry) { return now - entry.second.heardAt > options_.silence; });
    }
}

} // namespace hornbeamlane
