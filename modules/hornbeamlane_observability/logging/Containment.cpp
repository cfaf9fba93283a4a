#include "hornbeamlane_observability/logging/Containment.h"

#include "hornbeamlane_observability/logging/Log.h"

#include <exception>

namespace hornbeamlane {

namespace {

/** Bytes of a subject's name that are logged; names come from outside as well. */
constexpr std::size_t loggedBytes = 200;

} // namespace

bool runContained(std::string_view event, const std::string &subject, const std::function<void()> &handler)
{
    // Above this are the C frames of the event loop, through which no exception can pass.
    try {
        handler();
        return true;
    } catch (const std::exception &error) {
        logEvent(LogLevel::Error, event, {{"subject", subject.substr(0, loggedBytes)}, {"error", error.what()}});
        return false;
    }
}

} // namespace hornbeamlane
