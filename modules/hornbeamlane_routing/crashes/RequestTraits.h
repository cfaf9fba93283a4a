#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"

#include <string>
#include <string_view>
#include <vector>

namespace hornbeamlane {

/** Hash of something that requests can have in common and that may crash a server; equal on all hosts. */
using TraitHash = Number<struct TraitTag>;

bool containsTrait(const std::vector<TraitHash> &traits, TraitHash trait);

/** Hexadecimal, separated by commas, for log lines; at most this many. */
std::string formatTraits(const std::vector<TraitHash> &traits, std::size_t most = 8);

/** What one request has in common with others. */
struct RequestTraits
{
    /** The whole request; equal for each repetition of it. */
    TraitHash whole;
    /** The parts of its prompt that other requests may share. */
    std::vector<TraitHash> parts;

    bool has(TraitHash trait) const;
};

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
};

RequestTraits traitsOf(const RequestIdentity &identity);

} // namespace hornbeamlane
