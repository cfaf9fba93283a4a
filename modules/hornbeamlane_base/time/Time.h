#pragma once

#include <chrono>

namespace hornbeamlane {

/** Monotonic clock. Core classes never read it; they take a TimePoint as an argument. */
using Clock = std::chrono::steady_clock;

/** A point on the local monotonic clock; not comparable between hosts. */
using TimePoint = Clock::time_point;

/** A span of time on the monotonic clock. */
using Duration = Clock::duration;

} // namespace hornbeamlane
