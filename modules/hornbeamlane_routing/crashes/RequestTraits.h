#pragma once

#include "hornbeamlane_messages/hornbeamlane_messages.h"

#include <string>
#include <string_view>
#include <vector>

namespace hornbeamlane {

bool containsTrait(const std::vector<TraitHash> &traits, TraitHash trait);

/** Whether it is a part, the origin or the whole of the request. */
bool hasTrait(const RequestTraits &traits, TraitHash trait);

/** Hexadecimal, separated by commas, for log lines; at most this many. */
std::string formatTraits(const std::vector<TraitHash> &traits, std::size_t most = 8);

/** The origin in the same form; "-" if there is none. */
std::string formatOrigin(const RequestTraits &traits);

/** What the traits of a request are made of. */
struct RequestIdentity
{
    /** Service or model; a part that crashes one may be harmless to another. */
    std::string_view target;
    TeamId team;
    std::string_view method;
    std::string_view path;
    std::string_view body;
    /** Ids of the parts of the prompt that other requests may share. */
    std::vector<std::string> sharedParts;
    /** Name of the route. */
    std::string_view route;
};

RequestTraits traitsOf(const RequestIdentity &identity);

} // namespace hornbeamlane
