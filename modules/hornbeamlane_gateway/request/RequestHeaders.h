#pragma once

#include "hornbeamlane_network/http1/Http1Messages.h"

#include <chrono>
#include <optional>
#include <string>

namespace hornbeamlane {

/** The headers that are passed on: all but those that concern one connection only. */
HttpHeaders endToEndHeaders(const HttpHeaders &headers);

/** A time in whole milliseconds; empty if the header is missing or no such time. */
std::optional<std::chrono::milliseconds> parseMilliseconds(const std::string *text);

} // namespace hornbeamlane
