#pragma once

#include "ctl/ExitCode.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hornbeamlane::ctl {

/** What the operator asks for. */
struct CommandLine
{
    std::string command;
    std::vector<std::string> arguments;
    std::string table;
    std::string entry;
    std::optional<std::uint64_t> base;
    bool isDryRun = false;
    bool waits = false;
    bool isLocal = false;
    bool printsJson = false;
    std::chrono::milliseconds timeout{0};
    std::chrono::seconds waitLimit{0};
};

/**
    Reads the arguments. Flag names may be written with dashes or underscores, before or after the command.

    Returns nothing if there is no command to run, because help or version were printed or the usage is wrong;
    `exitCode` then says which.
*/
std::optional<CommandLine> readCommandLine(const std::vector<std::string> &arguments, ExitCode &exitCode);

} // namespace hornbeamlane::ctl
