#pragma once

namespace hornbeamlane::ctl {

/** Exit codes of hornbeamlanectl; scripts rely on them, so a value never changes its meaning. */
enum class ExitCode {
    Done = 0,
    FaultyCatalogue = 1,
    Usage = 2,
    Conflict = 3, ///< Another operator was first; nothing was changed.
    Unavailable = 4, ///< The platform or the entry cannot be reached; nothing was changed.
    OutcomeUnknown = 5, ///< The change may or may not take effect.
    NotConfirmed = 6, ///< The change was accepted, and not every process confirmed it in time.
    MalformedRow = 7, ///< A row or an answer has a form that this release does not know; nothing was changed.
    Findings = 8, ///< The catalogue is valid, but entries in it have no effect or contradict each other.
};

} // namespace hornbeamlane::ctl
