/**
    The edge of the system: the event loop, timers, HTTP, links between processes and the table client.

    Turns bytes into typed messages and actions into bytes; decides nothing. Depends on hornbeamlane_membership and
    hornbeamlane_messages; wraps libevent and websocketpp, which its public headers do not include.
*/
#pragma once

#include "hornbeamlane_network/http/HttpCall.h"
#include "hornbeamlane_network/http/HttpMessages.h"
#include "hornbeamlane_network/http/HttpServer.h"
#include "hornbeamlane_network/link/Link.h"
#include "hornbeamlane_network/link/LinkConnector.h"
#include "hornbeamlane_network/link/LinkListener.h"
#include "hornbeamlane_network/loop/EventLoop.h"
#include "hornbeamlane_network/loop/Timer.h"
#include "hornbeamlane_network/table/HttpTableClient.h"
