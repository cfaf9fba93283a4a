#pragma once

#include "hornbeamlane_base/identity/Identifiers.h"

#include <optional>
#include <string>
#include <string_view>

namespace hornbeamlane {

/** Names one attempt to run a request; unique over all entries and their restarts. */
struct AttemptId
{
    Incarnation entry;
    std::uint64_t sequence = 0;

    auto operator<=>(const AttemptId &) const = default;

    /** Hexadecimal text form "<entry>-<sequence>", as used in logs and rows. */
    std::string toString() const;

    /** Parses the form of toString(); empty if the text has another form. */
    static std::optional<AttemptId> fromString(std::string_view text);
};

} // namespace hornbeamlane

template <>
struct std::hash<hornbeamlane::AttemptId>
{
    std::size_t operator()(const hornbeamlane::AttemptId &attempt) const noexcept
    {
        return std::hash<std::uint64_t>()(attempt.entry.value() ^ (attempt.sequence * 0x9E3779B97F4A7C15ULL));
    }
};
