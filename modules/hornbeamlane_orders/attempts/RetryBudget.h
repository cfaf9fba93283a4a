#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"

#include <array>
#include <cstdint>

namespace hornbeamlane {

/** Bounds the retries of a process to a share of its recent requests. */
class RetryBudget final
{
public:
    struct Options
    {
        double share = 0.1;
        /** Retries that are always allowed, so that a process with few requests can retry at all. */
        double minimumPerSecond = 1;
    };

    explicit RetryBudget(const Options &options);
    RetryBudget();

    void countRequest(TimePoint now);

    /** Takes one retry; false if the budget of the last 10 s is used up. */
    bool takeRetry(TimePoint now);

private:
    struct Slot
    {
        std::int64_t second = -1;
        std::uint64_t requests = 0;
        std::uint64_t retries = 0;
    };

    /** One slot for each second of the window. */
    static constexpr std::size_t slotCount = 10;

    Slot &slotAt(std::int64_t second);

    Options options_;
    std::array<Slot, slotCount> slots_;
};

} // namespace hornbeamlane
