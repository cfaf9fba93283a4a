#include "hornbeamlane_dispatch/queue/AdmissionQueue.h"

namespace hornbeamlane {

TicketNumber AdmissionQueue::add(std::uint32_t priority, TimePoint latestStart)
{
    last_ = last_.next();
    tickets_.emplace(Key{.priority = priority, .number = last_}, latestStart);
    priorities_.emplace(last_, priority);
    return last_;
}

void AdmissionQueue::remove(TicketNumber number)
{
    const auto found = priorities_.find(number);
    if (found == priorities_.end()) {
        return;
    }
    tickets_.erase(Key{.priority = found->second, .number = number});
    priorities_.erase(found);
}

std::optional<AdmissionQueue::Ticket> AdmissionQueue::front() const
{
    if (tickets_.empty()) {
        return std::nullopt;
    }
    const auto &[key, latestStart] = *tickets_.begin();
    return Ticket{.number = key.number, .priority = key.priority, .latestStart = latestStart};
}

std::vector<AdmissionQueue::Ticket> AdmissionQueue::takeExpired(TimePoint now)
{
    std::vector<Ticket> expired;
    for (const auto &[key, latestStart] : tickets_) {
        if (latestStart <= now) {
            expired.push_back({.number = key.number, .priority = key.priority, .latestStart = latestStart});
        }
    }
    for (const auto &ticket : expired) {
        remove(ticket.number);
    }
    return expired;
}

std::optional<TimePoint> AdmissionQueue::nextExpiry() const
{
    std::optional<TimePoint> next;
    for (const auto &[key, latestStart] : tickets_) {
        if (!next || latestStart < *next) {
            next = latestStart;
        }
    }
    return next;
}

} // namespace hornbeamlane
