#include "ctl/CommandLine.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <cstdio>

DEFINE_string(table, "127.0.0.1:7400", "Address of the platform's table service, <ip>:<port>");
DEFINE_string(entry, "", "Address of an entry's administration port, <ip>:<port>");
DEFINE_int64(base, -1, "Version that the change is based on; 0 if none was ever applied");
DEFINE_bool(dry_run, false, "Show what would change, and change nothing");
DEFINE_bool(wait, false, "Wait until every process has confirmed the version");
DEFINE_bool(local, false, "Give the drain to the entry named by --entry instead of the table service");
DEFINE_string(output, "table", "Form of the output, table or json");
DEFINE_int32(timeout_seconds, 5, "Longest wait for one reply");
DEFINE_int32(wait_seconds, 30, "Longest wait for confirmations with --wait");
DECLARE_bool(help);
DECLARE_bool(version);

namespace hornbeamlane::ctl {

namespace {

struct CommandHelp
{
    const char *name;
    std::size_t arguments;
    const char *usage;
    const char *text;
};

constexpr std::array commands = {
    CommandHelp{"validate", 1, "validate DIR",
                "Checks all *.json files of the directory and names every fault with file, path and rule.\n"
                "Examples:\n"
                "  hornbeamlanectl validate examples/catalogue\n"
                "  hornbeamlanectl validate --output json examples/catalogue\n"},
    CommandHelp{
        "check", 1, "check DIR [--table HOST:PORT]",
        "Checks the directory before an apply: its faults, entries that can never match, limits that contradict\n"
        "each other, and what differs from the newest version. Without a table service the last is left out.\n"
        "Examples:\n"
        "  hornbeamlanectl check examples/catalogue --table 127.0.0.1:7400\n"
        "  hornbeamlanectl check --output json examples/catalogue\n"},
    CommandHelp{"diff", 1, "diff DIR [--table HOST:PORT]",
                "Lists the entries that an apply of the directory would add, remove or change.\n"
                "Example:\n"
                "  hornbeamlanectl diff examples/catalogue --table 127.0.0.1:7400\n"},
    CommandHelp{"apply", 1, "apply DIR --base N [--dry-run] [--wait]",
                "Makes the directory the successor of version N. Refused if N is not the newest version.\n"
                "Examples:\n"
                "  hornbeamlanectl apply examples/catalogue --base 0 --dry-run\n"
                "  hornbeamlanectl apply examples/catalogue --base 0 --wait --wait-seconds 30\n"},
    CommandHelp{"status", 0, "status [--entry HOST:PORT]",
                "Lists versions in force, who has confirmed the newest one and who has not, and the drains.\n"
                "Examples:\n"
                "  hornbeamlanectl status --output json\n"
                "  hornbeamlanectl status --entry 127.0.0.1:7500\n"},
    CommandHelp{"drain", 2, "drain SCOPE NAME [--local --entry HOST:PORT]",
                "Takes a data-centre, host or backend-server out of service.\n"
                "Examples:\n"
                "  hornbeamlanectl drain backend-server north-1\n"
                "  hornbeamlanectl drain data-centre north --local --entry 127.0.0.1:7500\n"},
    CommandHelp{"undrain", 2, "undrain SCOPE NAME [--local --entry HOST:PORT]",
                "Returns it to service.\n"
                "Example:\n"
                "  hornbeamlanectl undrain backend-server north-1\n"},
};

constexpr const char *exitCodesText = "Exit codes:\n"
                                      "  0 done\n"
                                      "  1 the catalogue has faults\n"
                                      "  2 wrong usage\n"
                                      "  3 another operator was first; nothing was changed\n"
                                      "  4 the platform or the entry cannot be reached; nothing was changed\n"
                                      "  5 the change may or may not take effect; see status\n"
                                      "  6 accepted, but not confirmed everywhere in time\n"
                                      "  7 a stored row or an answer has an unknown form; nothing was changed\n"
                                      "  8 the catalogue is valid, but entries in it have no effect or contradict\n"
                                      "    each other\n";

constexpr std::array ownFlags = {"table",  "entry",           "base",         "dry_run", "wait",   "local",
                                 "output", "timeout_seconds", "wait_seconds", "help",    "version"};

const CommandHelp *findCommand(const std::string &name)
{
    const auto match =
        std::find_if(commands.begin(), commands.end(), [&name](const auto &command) { return name == command.name; });
    return match == commands.end() ? nullptr : &*match;
}

void printHelp(const CommandHelp *command)
{
    if (command != nullptr) {
        std::printf("hornbeamlanectl %s\n%s\n", command->usage, command->text);
    } else {
        std::printf("hornbeamlanectl COMMAND [FLAGS]: changes the catalogue and the drains.\n\n");
        for (const auto &each : commands) {
            std::printf("%s\n%s\n", each.usage, each.text);
        }
    }
    std::printf("Flags, with dashes or underscores:\n");
    for (const char *name : ownFlags) {
        const auto flag = gflags::GetCommandLineFlagInfoOrDie(name);
        if (flag.name != "help" && flag.name != "version") {
            std::printf("  --%s: %s (default %s)\n", flag.name.c_str(), flag.description.c_str(),
                        flag.default_value.empty() ? "none" : flag.default_value.c_str());
        }
    }
    std::printf("  --help, --version\n\n%s", exitCodesText);
}

/** Sets one flag; takes its value from the next argument where needed. */
bool readFlag(const std::vector<std::string> &arguments, std::size_t &position)
{
    const auto &argument = arguments[position];
    const auto equals = argument.find('=');
    auto name = argument.substr(2, equals == std::string::npos ? equals : equals - 2);
    std::replace(name.begin(), name.end(), '-', '_');
    if (std::find(ownFlags.begin(), ownFlags.end(), name) == ownFlags.end()) {
        std::fprintf(stderr, "hornbeamlanectl: unknown flag '%s'; --help lists the flags\n", argument.c_str());
        return false;
    }
    std::string value = "true";
    if (equals != std::string::npos) {
        value = argument.substr(equals + 1);
    } else if (gflags::GetCommandLineFlagInfoOrDie(name.c_str()).type != "bool") {
        if (position + 1 == arguments.size()) {
            std::fprintf(stderr, "hornbeamlanectl: flag '%s' needs a value\n", argument.c_str());
            return false;
        }
        value = arguments[++position];
    }
    if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty()) {
        std::fprintf(stderr, "hornbeamlanectl: '%s' is not a value of flag '--%s'\n", value.c_str(), name.c_str());
        return false;
    }
    return true;
}

const char *usageFault(const CommandLine &line, const CommandHelp &command)
{
    if (line.arguments.size() != command.arguments) {
        return "wrong number of arguments";
    }
    if (FLAGS_output != "table" && FLAGS_output != "json") {
        return "--output must be table or json";
    }
    if (FLAGS_timeout_seconds < 1 || FLAGS_wait_seconds < 1) {
        return "--timeout_seconds and --wait_seconds must be at least 1";
    }
    if (line.command == "apply" && !line.base) {
        return "--base is required and must be at least 0; 'status' shows the newest version";
    }
    if (line.isLocal && line.entry.empty()) {
        return "--local needs --entry";
    }
    if (!line.entry.empty() && !line.isLocal && line.command != "status") {
        return "--entry is used with --local";
    }
    return nullptr;
}

} // namespace

std::optional<CommandLine> readCommandLine(const std::vector<std::string> &arguments, ExitCode &exitCode)
{
    exitCode = ExitCode::Usage;
    CommandLine line;
    for (std::size_t i = 0; i < arguments.size(); ++i) {
        if (arguments[i].starts_with("--")) {
            if (!readFlag(arguments, i)) {
                return std::nullopt;
            }
        } else if (line.command.empty()) {
            line.command = arguments[i];
        } else {
            line.arguments.push_back(arguments[i]);
        }
    }
    const auto *command = findCommand(line.command);
    if (FLAGS_version || FLAGS_help) {
        exitCode = ExitCode::Done;
        if (FLAGS_version) {
            std::printf("hornbeamlanectl %s\n", HORNBEAMLANE_VERSION);
        } else {
            printHelp(command);
        }
        return std::nullopt;
    }
    if (command == nullptr) {
        std::fprintf(stderr, "hornbeamlanectl: %s; --help lists the commands\n",
                     line.command.empty() ? "no command" : ("unknown command '" + line.command + "'").c_str());
        return std::nullopt;
    }
    line.table = FLAGS_table;
    line.entry = FLAGS_entry;
    if (FLAGS_base >= 0) {
        line.base = static_cast<std::uint64_t>(FLAGS_base);
    }
    line.isDryRun = FLAGS_dry_run;
    line.waits = FLAGS_wait;
    line.isLocal = FLAGS_local;
    line.printsJson = FLAGS_output == "json";
    line.timeout = std::chrono::seconds(FLAGS_timeout_seconds);
    line.waitLimit = std::chrono::seconds(FLAGS_wait_seconds);
    if (const char *fault = usageFault(line, *command)) {
        std::fprintf(stderr, "hornbeamlanectl: %s\nUsage: hornbeamlanectl %s\n", fault, command->usage);
        return std::nullopt;
    }
    return line;
}

} // namespace hornbeamlane::ctl
