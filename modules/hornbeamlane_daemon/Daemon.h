#pragma once

#include "hornbeamlane_catalogue/reading/DocumentFault.h"
#include "hornbeamlane_network/loop/EventLoop.h"
#include "hornbeamlane_observability/hornbeamlane_observability.h"

#include <chrono>
#include <cstdlib>
#include <functional>
#include <string>
#include <utility>

namespace hornbeamlane {

/** Exit status of a daemon whose settings are faulty. */
constexpr int exitBadSettings = 2;

struct DaemonOptions
{
    /** Starts a planned stop and calls `done` when nothing is running any more. */
    std::function<void(std::function<void()> done)> shutDown;
    /** The process ends after this time even if something is still running, and logs that it cut it off. */
    std::chrono::milliseconds shutdownBound{600'000};
};

/** Runs the loop. SIGTERM and SIGINT start a planned stop; SIGUSR1 and SIGUSR2 make the log more or less detailed. */
void runDaemon(EventLoop &loop, DaemonOptions options);

/** Prints every fault to standard error and returns the exit status. */
int reportFaults(const std::string &file, const DocumentFaults &faults);

/** Prints that the address cannot be bound and returns the exit status. */
int reportBindFailure(const std::string &address);

/** Runs one entry or agent until its planned stop is over and returns the exit status. */
template <class Process, class Settings>
int runProcess(const std::string &name, const Settings &settings, const std::string &listenAddress)
{
    startLog(name, settings.logLevel);
    EventLoop loop;
    auto random = RandomSource::fromEntropy();
    Process process(loop, random, settings);
    if (!process.start()) {
        return reportBindFailure(listenAddress);
    }
    runDaemon(loop,
              {.shutDown = [&process](std::function<void()> done) { process.shutDown(std::move(done)); },
               .shutdownBound = settings.shutdownBound});
    return EXIT_SUCCESS;
}

} // namespace hornbeamlane
