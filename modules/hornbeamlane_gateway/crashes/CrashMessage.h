#pragma once

#include "hornbeamlane_routing/crashes/ServerCrash.h"
#include "hornbeamlane_routing/crashes/SuspectTrials.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamlane {

/** What an entry tells the others of crashes and of the requests by which it tries suspects. */
struct CrashMessage
{
    Incarnation sender;
    /** Grows with each message of one start of the sender, so that old claims do not replace new ones. */
    std::uint64_t sequence = 0;
    /** Time of the sender as `now` for the ages of the crashes. */
    std::vector<ServerCrash> crashes;
    /** All claims of the sender; absent if the message says nothing of them. */
    std::optional<std::vector<TrialClaim>> claims;
};

/** CBOR form with ages in place of times; decode() is empty for bytes that are no such message. */
std::string encodeCrashMessage(const CrashMessage &message, TimePoint now);
std::optional<CrashMessage> decodeCrashMessage(std::string_view bytes, TimePoint now);

/** CBOR form for a row that outlasts processes: ages count from the given time of day. */
std::string encodeCrashRow(const std::vector<ServerCrash> &crashes, TimePoint now,
                           std::chrono::system_clock::time_point timeOfDay);
std::optional<std::vector<ServerCrash>> decodeCrashRow(std::string_view bytes, TimePoint now,
                                                       std::chrono::system_clock::time_point timeOfDay);

} // namespace hornbeamlane
