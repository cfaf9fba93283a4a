/**
    What the daemons share: settings files with overrides from the command line, start-up and signals.

    Depends on hornbeamlane_catalogue, hornbeamlane_network and hornbeamlane_observability.
*/
#pragma once

#include "hornbeamlane_daemon/Daemon.h"
#include "hornbeamlane_daemon/settings/SettingsFile.h"
