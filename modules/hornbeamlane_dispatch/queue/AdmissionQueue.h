#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace hornbeamlane {

/** Number of a request that waits. */
using TicketNumber = Number<struct TicketTag>;

/** Requests that wait for a place at a server: the most urgent first, among equals the oldest. */
class AdmissionQueue final
{
public:
    struct Ticket
    {
        TicketNumber number;
        std::uint32_t priority = 5;
        /** When waiting longer makes no sense. */
        TimePoint latestStart;
    };

    /** Adds a request and returns its number. */
    TicketNumber add(std::uint32_t priority, TimePoint latestStart);

    void remove(TicketNumber number);

    /** The next request to serve; stays in the queue. */
    std::optional<Ticket> front() const;

    /** Takes out all requests whose latest start has passed. */
    std::vector<Ticket> takeExpired(TimePoint now);

    /** The earliest latest start of all requests. */
    std::optional<TimePoint> nextExpiry() const;

    std::size_t size() const
    {
        return tickets_.size();
    }

private:
    struct Key
    {
        std::uint32_t priority = 0;
        TicketNumber number;

        auto operator<=>(const Key &) const = default;
    };

    std::map<Key, TimePoint> tickets_;
    std::map<TicketNumber, std::uint32_t> priorities_;
    TicketNumber last_;
};

} // namespace hornbeamlane
