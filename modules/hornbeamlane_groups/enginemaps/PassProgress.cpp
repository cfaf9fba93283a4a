#include "hornbeamlane_groups/enginemaps/PassProgress.h"

#include <algorithm>

namespace hornbeamlane {

namespace {

/** A pass is assumed to take at least this long, so that a pass ahead is not chosen needlessly far. */
constexpr std::chrono::milliseconds shortestPass{15};
constexpr std::chrono::milliseconds longestPass{400};

} // namespace

bool PassProgress::note(StepNumber step, TimePoint seenAt)
{
    const bool isKnown = newestAt_ != TimePoint{};
    if (isKnown && step <= newest_) {
        return false;
    }
    // Reports are older than other answers, so a newer pass can have been seen earlier; that tells nothing of the pace.
    if (isKnown && newest_ != StepNumber() && seenAt > newestAt_) {
        const auto passes = static_cast<Duration::rep>(step.value() - newest_.value());
        const auto time = std::clamp<Duration>((seenAt - newestAt_) / passes, shortestPass, longestPass);
        passTime_ = passTime_ * 3 / 4 + time / 4;
    }
    newest_ = step;
    newestAt_ = seenAt;
    return true;
}

void PassProgress::noteBegun(StepNumber step, TimePoint now)
{
    newest_ = std::max(newest_, step);
    newestAt_ = now;
}

void PassProgress::restart()
{
    newest_ = StepNumber();
    newestAt_ = {};
}

StepNumber PassProgress::ahead(std::uint64_t passes, TimePoint now) const
{
    const auto since = std::max<Duration::rep>(0, (now - newestAt_) / passTime_);
    return StepNumber(newest_.value() + static_cast<std::uint64_t>(since) + passes);
}

} // namespace hornbeamlane
