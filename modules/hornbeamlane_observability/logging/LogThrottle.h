#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"

#include <cstdint>
#include <optional>
#include <utility>

namespace hornbeamlane {

/** Bounds the rate of a log line whose cause others decide. */
class LogThrottle final
{
public:
    /** Allows a burst of lines, and one more after each interval. */
    LogThrottle(std::uint32_t burst, Duration interval)
        : burst_(burst)
        , interval_(interval)
    {
    }

    /** Number of lines left out since the last one, if a line may be written now; empty if it has to be left out. */
    std::optional<std::uint64_t> tryWrite(TimePoint now)
    {
        if (now - windowStart_ >= interval_ || windowStart_ == TimePoint{}) {
            windowStart_ = now;
            written_ = 0;
        }
        if (written_ >= burst_) {
            ++leftOut_;
            return std::nullopt;
        }
        ++written_;
        return std::exchange(leftOut_, 0);
    }

private:
    std::uint32_t burst_;
    Duration interval_;
    TimePoint windowStart_;
    std::uint32_t written_ = 0;
    std::uint64_t leftOut_ = 0;
};

} // namespace hornbeamlane
