#include "hornbeamlane_base/failure/ExecutionState.h"

#include "hornbeamlane_base/failure/Assertions.h"

namespace hornbeamlane {

std::string_view toString(ExecutionState state)
{
    switch (state) {
    case ExecutionState::NotRun:
        return "not_run";
    case ExecutionState::Running:
        return "running";
    case ExecutionState::Done:
        return "done";
    case ExecutionState::Unknown:
        return "unknown";
    }
    HORNBEAMLANE_ASSERT(false);
    return "unknown";
}

std::optional<ExecutionState> executionStateFromString(std::string_view text)
{
    for (const auto state :
         {ExecutionState::NotRun, ExecutionState::Running, ExecutionState::Done, ExecutionState::Unknown}) {
        if (toString(state) == text) {
            return state;
        }
    }
    return std::nullopt;
}

} // namespace hornbeamlane
