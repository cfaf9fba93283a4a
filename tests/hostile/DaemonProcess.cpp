#include "hostile/DaemonProcess.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace hornbeamlane {

namespace {

/** Freed memory goes back at once, so that the peak is what the daemon held and not what the sanitizer kept. */
constexpr const char *sanitizerOptions = "quarantine_size_mb=0:thread_local_quarantine_size_kb=0:detect_leaks=0:"
                                         "allocator_release_to_os_interval_ms=100";

} // namespace

DaemonProcess::DaemonProcess(const std::string &program, const std::string &settings)
{
    std::string path = (std::filesystem::temp_directory_path() / "hostile-XXXXXX").string();
    directory_ = mkdtemp(path.data());
    const auto settingsFile = directory_ + "/settings";
    const auto outputFile = directory_ + "/output";
    std::ofstream(settingsFile) << settings;
    pid_ = fork();
    if (pid_ == 0) {
        const int file = open(outputFile.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
        dup2(file, STDOUT_FILENO);
        dup2(file, STDERR_FILENO);
        setenv("ASAN_OPTIONS", sanitizerOptions, 1);
        execl(program.c_str(), program.c_str(), "--settings", settingsFile.c_str(), nullptr);
        _exit(127);
    }
}

DaemonProcess::~DaemonProcess()
{
    if (isAlive()) {
        kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
    }
    std::error_code error;
    std::filesystem::remove_all(directory_, error);
}

bool DaemonProcess::isAlive()
{
    if (!hasEnded_ && waitpid(pid_, nullptr, WNOHANG) != 0) {
        hasEnded_ = true;
    }
    return !hasEnded_;
}

std::size_t DaemonProcess::residentBytes() const
{
    return statusField("VmRSS:");
}

std::size_t DaemonProcess::peakBytes() const
{
    return statusField("VmHWM:");
}

std::size_t DaemonProcess::openDescriptors() const
{
    std::error_code error;
    const std::filesystem::directory_iterator files("/proc/" + std::to_string(pid_) + "/fd", error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

std::string DaemonProcess::output() const
{
    std::ifstream file(directory_ + "/output");
    return {std::istreambuf_iterator<char>(file), {}};
}

std::size_t DaemonProcess::statusField(const std::string &name) const
{
    std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
    for (std::string word; file >> word;) {
        if (word == name) {
            std::size_t kilobytes = 0;
            file >> kilobytes;
            return kilobytes * 1024;
        }
    }
    return 0;
}

} // namespace hornbeamlane
