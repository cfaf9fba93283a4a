#pragma once

#include "hornbeamlane_observability/hornbeamlane_observability.h"

#include <array>
#include <utility>

namespace hornbeamlane::detail {

/** Values of the setting logLevel. */
inline constexpr std::array<std::pair<const char *, LogLevel>, 4> logLevelNames = {
    {{"debug", LogLevel::Debug}, {"info", LogLevel::Info}, {"warning", LogLevel::Warning}, {"error", LogLevel::Error}}};

} // namespace hornbeamlane::detail
