#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include <sys/types.h>

namespace hornbeamlane {

/** A daemon of the build that a test starts with its own settings and ends with SIGKILL. */
class DaemonProcess final
{
public:
    /** Starts the program with `--settings` and a file that holds these settings. */
    DaemonProcess(const std::string &program, const std::string &settings);
    ~DaemonProcess();

    DaemonProcess(const DaemonProcess &) = delete;
    DaemonProcess &operator=(const DaemonProcess &) = delete;

    bool isAlive();

    /** Memory in use, and the most that has been in use, in bytes. */
    std::size_t residentBytes() const;
    std::size_t peakBytes() const;

    std::size_t openDescriptors() const;

    /** What it has written so far; the log of the process. */
    std::string output() const;

private:
    std::size_t statusField(const std::string &name) const;

    std::string directory_;
    pid_t pid_ = -1;
    bool hasEnded_ = false;
};

} // namespace hornbeamlane
