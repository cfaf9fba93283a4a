#pragma once

#include <optional>
#include <string_view>

namespace hornbeamlane {

/** What is known about the execution of a request. */
enum class ExecutionState {
    NotRun, ///< No byte of it reached an executor, and none will.
    Running,
    Done,
    Unknown, ///< It may or may not have run.
};

/** Name used on the wire, in rows and in answers to callers: "not_run", "running", "done", "unknown". */
std::string_view toString(ExecutionState state);

/** Inverse of toString(); empty for any other text. */
std::optional<ExecutionState> executionStateFromString(std::string_view text);

} // namespace hornbeamlane
