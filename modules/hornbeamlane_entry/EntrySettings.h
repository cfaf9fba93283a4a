#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"
#include "hornbeamlane_daemon/settings/SettingsFile.h"
#include "hornbeamlane_observability/hornbeamlane_observability.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace hornbeamlane {

/** Settings of one entry process. */
struct EntrySettings
{
    EntryHostId name;
    DataCentreId dataCentre;
    /** "<ip>:<port>" for callers. */
    std::string httpAddress = "127.0.0.1:0";
    /** "<ip>:<port>" that other entries dial. */
    std::string linkAddress = "127.0.0.1:0";
    /** "<ip>:<port>" of the platform's table service and host list. */
    std::string platformAddress;
    LogLevel logLevel = LogLevel::Info;
    /** Memory of the host, in megabytes; memoryLimitOf() says how much of it may be held for callers. */
    std::uint32_t hostMemoryMegabytes = 260;
    /** Connections of callers that are open at the same time. */
    std::uint32_t maxConnections = 3000;
    /** Time between the failing /readyz and the end of accepting at a planned stop. */
    std::chrono::milliseconds shutdownDelay{5'000};
    /** Longest wait for running requests at a planned stop. */
    std::chrono::milliseconds shutdownBound{600'000};
};

/** Reads and checks the settings; empty with all faults if there is any. `text` receives the settings in force. */
std::optional<EntrySettings> readEntrySettings(const std::string &path, const SettingsOverrides &overrides,
                                               std::string &text, DocumentFaults &faults);

} // namespace hornbeamlane
