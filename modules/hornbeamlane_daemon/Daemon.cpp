#include "hornbeamlane_daemon/Daemon.h"

#include "hornbeamlane_network/loop/Timer.h"
#include "hornbeamlane_observability/hornbeamlane_observability.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>

namespace hornbeamlane {

namespace {

void shiftLogLevel(int by)
{
    const auto shifted = std::clamp(static_cast<int>(logLevel()) + by, static_cast<int>(LogLevel::Debug),
                                    static_cast<int>(LogLevel::Error));
    setLogLevel(static_cast<LogLevel>(shifted));
}

} // namespace

void runDaemon(EventLoop &loop, DaemonOptions options)
{
    bool isStopping = false;
    Timer bound(loop, [&loop] {
        logEvent(LogLevel::Error, "shutdown_bound_reached", {{"effect", "running work is cut off"}});
        loop.stop();
    });
    const auto beginStop = [&] {
        // A second signal must not shorten a planned stop.
        if (isStopping) {
            return;
        }
        isStopping = true;
        logEvent(LogLevel::Info, "shutdown_started");
        bound.startOnce(options.shutdownBound);
        options.shutDown([&loop] {
            logEvent(LogLevel::Info, "shutdown_finished");
            loop.stop();
        });
    };
    loop.onSignal(SIGTERM, beginStop);
    loop.onSignal(SIGINT, beginStop);
    loop.onSignal(SIGUSR1, [] { shiftLogLevel(-1); });
    loop.onSignal(SIGUSR2, [] { shiftLogLevel(1); });
    logEvent(LogLevel::Info, "started");
    loop.run();
}

int reportFaults(const std::string &file, const DocumentFaults &faults)
{
    for (const auto &fault : faults) {
        std::fprintf(stderr, "%s%s\n", file.empty() ? "" : (file + ": ").c_str(), fault.toString().c_str());
    }
    return exitBadSettings;
}

int reportBindFailure(const std::string &address)
{
    std::fprintf(stderr, "cannot listen on %s\n", address.c_str());
    return EXIT_FAILURE;
}

} // namespace hornbeamlane
