#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamlane {

/** A share of a team's limit beyond its floors, lent to one agent. */
struct TeamLease
{
    ServerId server;
    /** Of the agent, so that a restarted agent does not take its predecessor's lease for its own. */
    Incarnation agent;
    std::uint32_t amount = 0;
    std::chrono::milliseconds duration{0};
    /** Grows with each write of the holder; an unchanged number means that the lease was not renewed. */
    std::uint64_t sequence = 0;

    bool operator==(const TeamLease &) const = default;
};

/** Content of the row `limits/<team>`. */
struct TeamLeaseRow
{
    std::vector<TeamLease> leases;

    std::uint64_t total() const;

    std::string toString() const;

    /** Inverse of toString(); empty for any other text. */
    static std::optional<TeamLeaseRow> fromString(std::string_view text);

    static std::string keyOf(const TeamId &team);
};

} // namespace hornbeamlane
