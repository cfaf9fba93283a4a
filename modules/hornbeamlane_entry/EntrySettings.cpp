#include "hornbeamlane_entry/EntrySettings.h"

#include "hornbeamlane_catalogue/reading/ObjectReader.h"
#include "hornbeamlane_daemon/settings/LogLevelNames.h"

namespace hornbeamlane {

using namespace std::chrono_literals;

std::optional<EntrySettings> readEntrySettings(const std::string &path, const SettingsOverrides &overrides,
                                               std::string &text, DocumentFaults &faults)
{
    EntrySettings settings;
    const auto json = readSettingsFile(
        path, overrides,
        [&settings](detail::ObjectReader &reader) {
            reader.required("name", settings.name);
            reader.required("dataCentre", settings.dataCentre);
            reader.optional("httpAddress", settings.httpAddress);
            reader.optional("linkAddress", settings.linkAddress);
            reader.required("platformAddress", settings.platformAddress);
            reader.optional("logLevel", settings.logLevel, detail::logLevelNames);
            reader.optional("hostMemoryMegabytes", settings.hostMemoryMegabytes, 64, 1024 * 1024);
            reader.optional("maxConnections", settings.maxConnections, 1, 1024 * 1024);
            reader.optional("shutdownDelayMilliseconds", settings.shutdownDelay, 0ms, 10min);
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
