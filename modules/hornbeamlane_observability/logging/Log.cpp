#include "hornbeamlane_observability/logging/Log.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <algorithm>
#include <array>
#include <climits>
#include <cstdint>
#include <ostream>
#include <streambuf>
#include <utility>

#include <poll.h>
#include <unistd.h>

namespace hornbeamlane {

namespace {

/**
    Writes whole lines to standard output and drops them while it cannot take any.

    A reader of the log that stands still must not stop the process.
*/
class DroppingOutput final : public std::streambuf
{
protected:
    int_type overflow(int_type character) override
    {
        if (character != traits_type::eof()) {
            line_ += static_cast<char>(character);
        }
        return character;
    }

    std::streamsize xsputn(const char *text, std::streamsize size) override
    {
        line_.append(text, static_cast<std::size_t>(size));
        return size;
    }

    int sync() override
    {
        pollfd output{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
        if (poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0) {
            if (dropped_ > 0) {
                line_ = "warning log_lines_dropped count=" + std::to_string(std::exchange(dropped_, 0)) + "\n" + line_;
            }
            // A pipe that polls as writable takes a line of this size at once.
            if (write(STDOUT_FILENO, line_.data(), std::min(line_.size(), maxLineBytes)) < 0) {
                ++dropped_;
            }
        } else {
            ++dropped_;
        }
        line_.clear();
        return 0;
    }

private:
    static constexpr std::size_t maxLineBytes = PIPE_BUF;

    std::string line_;
    std::uint64_t dropped_ = 0;
};

constexpr std::array<std::string_view, 4> levelNames = {"debug", "info", "warning", "error"};

struct LogState
{
    std::string processName = "hornbeamlane";
    LogLevel level = LogLevel::Info;
    boost::log::sources::severity_logger<LogLevel> logger;
};

LogState &state()
{
    static LogState instance;
    return instance;
}

std::ostream &output()
{
    static DroppingOutput buffer;
    static std::ostream stream(&buffer);
    return stream;
}

bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \t\r\n\"=\\") != std::string_view::npos;
}

void appendValue(std::string &line, std::string_view value)
{
    if (!needsQuotes(value)) {
        line += value;
        return;
    }
    line += '"';
    for (const char character : value) {
        // A caller's text must not be able to start a line of its own.
        if (character == '\n' || character == '\r') {
            line += ' ';
            continue;
        }
        if (character == '"' || character == '\\') {
            line += '\\';
        }
        line += character;
    }
    line += '"';
}

} // namespace

std::optional<LogLevel> logLevelFromString(std::string_view text)
{
    for (std::size_t i = 0; i < levelNames.size(); ++i) {
        if (levelNames[i] == text) {
            return static_cast<LogLevel>(i);
        }
    }
    return std::nullopt;
}

void startLog(const std::string &processName, LogLevel level)
{
    state().processName = processName;
    boost::log::add_common_attributes();
    namespace expressions = boost::log::expressions;
    boost::log::add_console_log(
        output(), boost::log::keywords::auto_flush = true,
        boost::log::keywords::format = expressions::stream
            << expressions::format_date_time<boost::posix_time::ptime>("TimeStamp", "%Y-%m-%dT%H:%M:%S.%f") << ' '
            << expressions::smessage);
    setLogLevel(level);
}

void setLogLevel(LogLevel level)
{
    state().level = level;
}

LogLevel logLevel()
{
    return state().level;
}

void logEvent(LogLevel level, std::string_view event, const std::vector<LogField> &fields)
{
    auto &log = state();
    // Checked before the line is built: most debug lines are never written.
    if (level < log.level) {
        return;
    }
    std::string line(levelNames[static_cast<std::size_t>(level)]);
    line += ' ';
    line += log.processName;
    line += ' ';
    line += event;
    for (const auto &[name, value] : fields) {
        line += ' ';
        line += name;
        line += '=';
        appendValue(line, value);
    }
    BOOST_LOG_SEV(log.logger, level) << line;
}

} // namespace hornbeamlane
