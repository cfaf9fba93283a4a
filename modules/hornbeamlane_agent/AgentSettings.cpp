#include "hornbeamlane_agent/AgentSettings.h"

#include "hornbeamlane_catalogue/reading/ObjectReader.h"
#include "hornbeamlane_daemon/settings/LogLevelNames.h"

namespace hornbeamlane {

using namespace std::chrono_literals;

std::optional<AgentSettings> readAgentSettings(const std::string &path, const SettingsOverrides &overrides,
                                               std::string &text, DocumentFaults &faults)
{
    AgentSettings settings;
    const auto json = readSettingsFile(
        path, overrides,
        [&settings](detail::ObjectReader &reader) {
            reader.required("server", settings.server);
            reader.required("host", settings.host);
            reader.required("dataCentre", settings.dataCentre);
            reader.optional("linkAddress", settings.linkAddress);
            reader.required("engineAddress", settings.engineAddress);
            reader.optional("logLevel", settings.logLevel, detail::logLevelNames);
            reader.optional("engineStatusIntervalMilliseconds", settings.engineStatusInterval, 10ms, 1min);
            reader.optional("loadReportIntervalMilliseconds", settings.loadReportInterval, 10ms, 1min);
            reader.optional("shutdownBoundMilliseconds", settings.shutdownBound, 1ms, 24h);
        },
        faults);
    if (!json) {
        return std::nullopt;
    }
    text = *json;
    return settings;
}

} // namespace hornbeamlane
