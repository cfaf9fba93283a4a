#pragma once

#include "hornbeamlane_routing/crashes/ServerCrash.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamlane {

/** Bytes of a message with these crashes. */
std::string encodeCrashes(const std::vector<ServerCrash> &crashes, TimePoint now);

/** Bytes for a row that outlasts processes: ages count from the given time of day. */
std::string encodeCrashRow(const std::vector<ServerCrash> &crashes, TimePoint now,
                           std::chrono::system_clock::time_point timeOfDay);

/** Empty for bytes that are no such row. */
std::optional<std::vector<ServerCrash>> decodeCrashRow(std::string_view bytes, TimePoint now,
                                                       std::chrono::system_clock::time_point timeOfDay);

/** The crashes of an update that was sent just now. */
std::vector<ServerCrash> crashesOf(const CrashUpdate &update, TimePoint now);

} // namespace hornbeamlane
