#include "hornbeamlane_agent/hornbeamlane_agent.h"
#include "hornbeamlane_daemon/hornbeamlane_daemon.h"

#include <gflags/gflags.h>

#include <cstdio>

DEFINE_string(settings, "", "JSON file with the settings");
DEFINE_string(server, "", "Overrides the setting server");
DEFINE_string(host, "", "Overrides the setting host");
DEFINE_string(data_centre, "", "Overrides the setting dataCentre");
DEFINE_string(link_address, "", "Overrides the setting linkAddress");
DEFINE_string(engine_address, "", "Overrides the setting engineAddress");
DEFINE_string(platform_address, "", "Overrides the setting platformAddress");
DEFINE_string(log_level, "", "Overrides the setting logLevel: debug, info, warning or error");
DEFINE_bool(print_settings, false, "Print the settings in force and exit");

int main(int argc, char **argv)
{
    using namespace hornbeamlane;
    gflags::SetVersionString(HORNBEAMLANE_VERSION);
    gflags::SetUsageMessage("Runs beside one engine or service and admits its work.\n"
                            "  hornbeamlane-agent --settings agent.json");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    DocumentFaults faults;
    std::string text;
    const auto settings = readAgentSettings(FLAGS_settings,
                                            {{"server", FLAGS_server},
                                             {"host", FLAGS_host},
                                             {"dataCentre", FLAGS_data_centre},
                                             {"linkAddress", FLAGS_link_address},
                                             {"engineAddress", FLAGS_engine_address},
                                             {"platformAddress", FLAGS_platform_address},
                                             {"logLevel", FLAGS_log_level}},
                                            text, faults);
    if (!settings) {
        return reportFaults(FLAGS_settings, faults);
    }
    if (FLAGS_print_settings) {
        std::printf("%s\n", text.c_str());
        return EXIT_SUCCESS;
    }
    return runProcess<Agent>("agent/" + settings->server.name(), *settings, settings->linkAddress);
}
