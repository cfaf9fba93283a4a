#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"

#include <functional>
#include <vector>

namespace hornbeamlane {

/** How far an attempt went; each value includes the possibility of all earlier ones. */
enum class AttemptProgress {
    NotSent,
    Queued, ///< In a buffer of this process.
    Sent, ///< A byte may have reached the agent.
    Admitted, ///< The agent has accepted it.
    Executing, ///< A byte may have reached the executor.
};

enum class AttemptEnd {
    Refused, ///< The agent refused it before executing and will never accept it.
    Voided, ///< The agent never received it and will never accept it.
    Completed, ///< The whole response arrived.
    Lost, ///< No more will be heard of it.
};

/** Records the attempts of one request, and says what is known of its execution and whether it may be retried. */
class AttemptTracker final
{
public:
    struct Options
    {
        bool isRepeatable = false;
        TimePoint deadline = TimePoint::max();
        /** Takes a retry from the retry budget; empty allows each. */
        std::function<bool(TimePoint)> takeRetry;
        /** Replaces the rule that only a request that has not run, or is repeatable, is retried. */
        std::function<bool(ExecutionState, bool isRepeatable)> isRetrySafe;
    };

    explicit AttemptTracker(Options options);

    void begin(const AttemptId &attempt);

    /** Progress never goes back; unknown and ended attempts are ignored. */
    void advance(const AttemptId &attempt, AttemptProgress progress);

    /** Ends the attempt. One that was never sent counts as not run, even if it is lost. */
    void end(const AttemptId &attempt, AttemptEnd how);

    /** What may be said about the request over all its attempts. */
    ExecutionState execution() const;

    /** Whether a further attempt may begin now; takes a retry from the budget if so. */
    bool takeRetry(TimePoint now);

private:
    struct Attempt
    {
        AttemptId id;
        AttemptProgress progress = AttemptProgress::NotSent;
        bool isOpen = true;
        ExecutionState execution = ExecutionState::NotRun;
    };

    Attempt *findOpen(const AttemptId &attempt);

    Options options_;
    std::vector<Attempt> attempts_;
};

} // namespace hornbeamlane
