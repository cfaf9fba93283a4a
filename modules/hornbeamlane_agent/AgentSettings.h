#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"
#include "hornbeamlane_daemon/settings/SettingsFile.h"
#include "hornbeamlane_observability/hornbeamlane_observability.h"

#include <chrono>
#include <optional>
#include <string>

namespace hornbeamlane {

/** Settings of one agent process. */
struct AgentSettings
{
    /** Name of the backend server in the catalogue. */
    ServerId server;
    HostId host;
    DataCentreId dataCentre;
    /** "<ip>:<port>" that entries dial. */
    std::string linkAddress = "127.0.0.1:0";
    /** "<ip>:<port>" of the engine or service. */
    std::string engineAddress;
    LogLevel logLevel = LogLevel::Info;
    std::chrono::milliseconds engineStatusInterval{200};
    std::chrono::milliseconds loadReportInterval{200};
    /** Longest wait for running requests at a planned stop. */
    std::chrono::milliseconds shutdownBound{600'000};
};

/** Reads and checks the settings; empty with all faults if there is any. `text` receives the settings in force. */
std::optional<AgentSettings> readAgentSettings(const std::string &path, const SettingsOverrides &overrides,
                                               std::string &text, DocumentFaults &faults);

} // namespace hornbeamlane
