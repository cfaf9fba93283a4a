#include "hornbeamlane_daemon/hornbeamlane_daemon.h"
#include "hornbeamlane_entry/hornbeamlane_entry.h"

#include <gflags/gflags.h>

#include <cstdio>

DEFINE_string(settings, "", "JSON file with the settings");
DEFINE_string(name, "", "Overrides the setting name");
DEFINE_string(data_centre, "", "Overrides the setting dataCentre");
DEFINE_string(http_address, "", "Overrides the setting httpAddress");
DEFINE_string(link_address, "", "Overrides the setting linkAddress");
DEFINE_string(platform_address, "", "Overrides the setting platformAddress");
DEFINE_string(log_level, "", "Overrides the setting logLevel: debug, info, warning or error");
DEFINE_bool(print_settings, false, "Print the settings in force and exit");

int main(int argc, char **argv)
{
    using namespace hornbeamlane;
    gflags::SetVersionString(HORNBEAMLANE_VERSION);
    gflags::SetUsageMessage("Serves callers and sends their requests to backend servers.\n"
                            "  hornbeamlane-entry --settings entry.json");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    DocumentFaults faults;
    std::string text;
    const auto settings = readEntrySettings(FLAGS_settings,
                                            {{"name", FLAGS_name},
                                             {"dataCentre", FLAGS_data_centre},
                                             {"httpAddress", FLAGS_http_address},
                                             {"linkAddress", FLAGS_link_address},
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
    return runProcess<Entry>("entry/" + settings->name.name(), *settings, settings->httpAddress);
}
