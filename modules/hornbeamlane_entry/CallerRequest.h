#pragma once

#include "hornbeamlane_catalogue/hornbeamlane_catalogue.h"
#include "hornbeamlane_messages/hornbeamlane_messages.h"
#include "hornbeamlane_network/http/HttpMessages.h"
#include "hornbeamlane_routing/crashes/SuspectTrials.h"

#include <optional>
#include <string>
#include <vector>

namespace hornbeamlane {

/** A caller's request after all checks that need no server. */
struct CallerRequest
{
    /** Everything but attempt, incarnation and window, which belong to one attempt. */
    Dispatch dispatch;
    KeyPolicy keyPolicy = KeyPolicy::Optional;
    /** Digest of team, target, method, path and body; the same for a resend. */
    Hash128 digest;
    /** Text whose prefixes an engine may have cached. */
    std::string prompt;
    /** Messages of a chat that other requests may share: all but the last one. */
    std::vector<std::string> sharedMessages;
    /** What it shares with other requests, some of which may have crashed servers. */
    RequestTraits traits;
    /** Names the request within the entry. */
    RequestNumber number;
};

/** Checks a request against the catalogue; empty with the refusal, which is always "not run", if it may not run. */
std::optional<CallerRequest> readCallerRequest(const HttpRequest &request, const Catalogue &catalogue,
                                               Refusal &refusal);

} // namespace hornbeamlane
