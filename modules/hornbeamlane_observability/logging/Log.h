#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hornbeamlane {

enum class LogLevel { Debug, Info, Warning, Error };

/** Inverse of the level names "debug", "info", "warning", "error". */
std::optional<LogLevel> logLevelFromString(std::string_view text);

/** Sends the log to standard output, or nowhere while that cannot take a line. Call once at start. */
void startLog(const std::string &processName, LogLevel level);

/** Changes the level while the process runs. */
void setLogLevel(LogLevel level);

LogLevel logLevel();

/** Named value of a log line. */
using LogField = std::pair<std::string_view, std::string>;

/** Writes one line "time level process event name=value ..."; values with blanks are quoted. */
void logEvent(LogLevel level, std::string_view event, const std::vector<LogField> &fields = {});

} // namespace hornbeamlane
