#include "hornbeamlane_routing/crashes/RequestTraits.h"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>

namespace hornbeamlane {

namespace {

/** Appends a text with its length, so that no text can continue into the next one. */
void append(std::string &joined, std::string_view text)
{
    joined.append(std::to_string(text.size())).append(" ").append(text);
}

} // namespace

bool containsTrait(const std::vector<TraitHash> &traits, TraitHash trait)
{
    return std::find(traits.begin(), traits.end(), trait) != traits.end();
}

std::string formatTraits(const std::vector<TraitHash> &traits, std::size_t most)
{
    std::string text;
    for (std::size_t i = 0; i < std::min(traits.size(), most); ++i) {
        std::array<char, 18> hex{};
        std::snprintf(hex.data(), hex.size(), "%016" PRIx64, traits[i].value());
        if (!text.empty()) {
            text.push_back(',');
        }
        text.append(hex.data());
    }
    return text;
}

std::string formatOrigin(const RequestTraits &traits)
{
    return traits.origin ? formatTraits({*traits.origin}) : "-";
}

bool hasTrait(const RequestTraits &traits, TraitHash trait)
{
    return traits.whole == trait || traits.origin == trait || containsTrait(traits.parts, trait);
}

RequestTraits traitsOf(const RequestIdentity &identity)
{
    std::string text = "request ";
    append(text, identity.target);
    append(text, identity.team.name());
    append(text, identity.method);
    append(text, identity.path);
    append(text, std::to_string(hash64(identity.body)));
    RequestTraits traits{.whole = TraitHash(hash64(text))};
    traits.parts.reserve(identity.sharedParts.size());
    for (const auto &part : identity.sharedParts) {
        // The team is left out: a part that crashes servers does so whoever sends it.
        text = "part ";
        append(text, identity.target);
        append(text, part);
        traits.parts.emplace_back(hash64(text));
    }
    if (traits.parts.empty() && !identity.team.name().empty()) {
        text = "origin ";
        append(text, identity.target);
        append(text, identity.team.name());
        append(text, identity.route);
        traits.origin = TraitHash(hash64(text));
    }
    return traits;
}

} // namespace hornbeamlane
