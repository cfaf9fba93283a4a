#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"

#include <cstdint>
#include <deque>

namespace hornbeamlane {

/**
    This entry's share of the retries that all entries together may send to one service within a sliding window.

    A share of its own requests, which sums up over the entries by itself, and an equal part of the fixed allowance.
*/
class RetryAllowance final
{
public:
    struct Options
    {
        /** Retries for each request that callers sent. */
        double ratio = 0.2;
        /** Retries in one window beside those, of all entries together. */
        double allowance = 0;
        std::chrono::milliseconds window{10000};
        /** Entries that share the allowance. */
        std::uint32_t entryCount = 16;
    };

    explicit RetryAllowance(const Options &options);

    void setEntryCount(std::uint32_t count);

    void countRequest(TimePoint now);

    /** Takes one retry; false if the share of the window that ends now is used up. */
    bool takeRetry(TimePoint now);

private:
    void forget(TimePoint now);
    double limit() const;

    Options options_;
    std::deque<TimePoint> requests_;
    std::deque<TimePoint> retries_;
};

} // namespace hornbeamlane
