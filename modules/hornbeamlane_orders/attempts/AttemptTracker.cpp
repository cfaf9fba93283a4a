#include "hornbeamlane_orders/attempts/AttemptTracker.h"

#include <algorithm>
#include <utility>

namespace hornbeamlane {

AttemptTracker::AttemptTracker(Options options)
    : options_(std::move(options))
{
}

void AttemptTracker::begin(const AttemptId &attempt)
{
    attempts_.push_back(Attempt{.id = attempt});
}

AttemptTracker::Attempt *AttemptTracker::findOpen(const AttemptId &attempt)
{
    const auto found = std::find_if(attempts_.begin(), attempts_.end(), [&attempt](const Attempt &candidate) {
        return candidate.id == attempt && candidate.isOpen;
    });
    return found == attempts_.end() ? nullptr : &*found;
}

void AttemptTracker::advance(const AttemptId &attempt, AttemptProgress progress)
{
    auto *open = findOpen(attempt);
    if (open == nullptr || progress <= open->progress) {
        return;
    }
    open->progress = progress;
    // A sent attempt may already be executing, whatever was last heard of it.
    if (progress >= AttemptProgress::Sent) {
        open->execution = progress == AttemptProgress::Executing ? ExecutionState::Running : ExecutionState::Unknown;
    }
}

void AttemptTracker::end(const AttemptId &attempt, AttemptEnd how)
{
    auto *open = findOpen(attempt);
    if (open == nullptr) {
        return;
    }
    open->isOpen = false;
    switch (how) {
    case AttemptEnd::Refused:
    case AttemptEnd::Voided:
        // A refusal after the start of execution contradicts itself; the later progress is believed.
        open->execution =
            open->progress == AttemptProgress::Executing ? ExecutionState::Unknown : ExecutionState::NotRun;
        break;
    case AttemptEnd::Completed:
        open->execution = ExecutionState::Done;
        break;
    case AttemptEnd::Lost:
        open->execution = open->progress < AttemptProgress::Sent ? ExecutionState::NotRun : ExecutionState::Unknown;
        break;
    }
}

ExecutionState AttemptTracker::execution() const
{
    const auto has = [this](ExecutionState state) {
        return std::any_of(attempts_.begin(), attempts_.end(),
                           [state](const Attempt &attempt) { return attempt.execution == state; });
    };
    for (const auto state : {ExecutionState::Done, ExecutionState::Running, ExecutionState::Unknown}) {
        if (has(state)) {
            return state;
        }
    }
    return ExecutionState::NotRun;
}

bool AttemptTracker::takeRetry(TimePoint now)
{
    const bool hasOpen =
        std::any_of(attempts_.begin(), attempts_.end(), [](const Attempt &attempt) { return attempt.isOpen; });
    const auto state = execution();
    const bool isSafe = options_.isRetrySafe
        ? options_.isRetrySafe(state, options_.isRepeatable)
        : state == ExecutionState::NotRun || (options_.isRepeatable && state != ExecutionState::Done);
    return !hasOpen && isSafe && now < options_.deadline && (!options_.takeRetry || options_.takeRetry(now));
}

} // namespace hornbeamlane
