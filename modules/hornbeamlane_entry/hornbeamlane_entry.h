/**
    The entry: takes callers' HTTP requests, chooses a backend server and passes the answer on.

    Wires routing, claims and membership of the core to HTTP and to the links of agents. Depends on hornbeamlane_daemon,
    hornbeamlane_routing, hornbeamlane_orders and hornbeamlane_membership.
*/
#pragma once

#include "hornbeamlane_entry/Entry.h"
#include "hornbeamlane_entry/EntrySettings.h"
