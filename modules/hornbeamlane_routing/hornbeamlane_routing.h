/**
    Choice of a backend server for each request, spillover between data centres and quarantine of requests that crash
    servers.

    An entry feeds ServerView and PrefixCacheView from its links. For each request, SpillPolicy names a data centre,
    ServerChooser a server in it, and CrashQuarantine whether the request may go there. CrashEvidence judges requests by
    what they share with those that were at servers when these crashed. Depends on hornbeamlane_catalogue and
    hornbeamlane_messages; does no input or output and reads no clock.
*/
#pragma once

#include "hornbeamlane_routing/choice/ChoicePolicies.h"
#include "hornbeamlane_routing/choice/RoutingRequest.h"
#include "hornbeamlane_routing/choice/ServerChooser.h"
#include "hornbeamlane_routing/crashes/CrashEvidence.h"
#include "hornbeamlane_routing/crashes/FailedSends.h"
#include "hornbeamlane_routing/crashes/SuspectTrials.h"
#include "hornbeamlane_routing/departure/SpillPolicy.h"
#include "hornbeamlane_routing/prefix/PrefixCacheView.h"
#include "hornbeamlane_routing/prefix/PrefixHasher.h"
#include "hornbeamlane_routing/quarantine/CrashQuarantine.h"
#include "hornbeamlane_routing/view/ServerState.h"
#include "hornbeamlane_routing/view/ServerView.h"
