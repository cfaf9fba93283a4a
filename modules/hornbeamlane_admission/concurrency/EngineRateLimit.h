#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"

#include <cstddef>
#include <optional>

namespace hornbeamlane {

/** Requests a second that the engine takes, as long as it names such a limit in its answers. */
class EngineRateLimit final
{
public:
    EngineRateLimit() = default;
    explicit EngineRateLimit(RateBucket::Options options);

    /** An answer to a request of that time names a limit, or none. Returns true if that is a change. */
    bool onAnswer(std::optional<double> perSecond, TimePoint sentAt, TimePoint now);

    /** Requests a second; empty if the engine takes as many as it can. */
    std::optional<double> perSecond() const
    {
        return perSecond_;
    }

    bool mayStart(TimePoint now);
    void onStarted();

    /** Time until so many requests may have been started; zero without a limit. */
    Duration timeUntil(std::size_t requests, TimePoint now);

    /** When the next request may be started; empty if one could be at the last question. */
    std::optional<TimePoint> nextStart() const;

private:
    void fill(TimePoint now);

    RateBucket::Options options_;
    std::optional<double> perSecond_;
    /** When an answer came that named the limit. */
    TimePoint namedAt_;
    RateBucket bucket_;
    TimePoint filledAt_;
};

} // namespace hornbeamlane
