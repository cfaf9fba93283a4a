/**
    The edge of the system: the event loop, timers, HTTP, links between processes and the table client.

    Turns bytes into typed messages and actions into bytes; decides nothing. Depends on hornbeamlane_membership and
    hornbeamlane_messages; wraps libevent and websocketpp, which its public headers do not include.
*/
#pragma once

#include "hornbeamlane_network/loop/EventLoop.h"
#include "hornbeamlane_network/loop/Timer.h"
