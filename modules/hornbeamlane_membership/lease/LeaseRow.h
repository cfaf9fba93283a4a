#pragma once

#include "hornbeamlane_membership/table/TableClient.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hornbeamlane {

/** Content of a lease row. */
struct LeaseRow
{
    /** Process that holds the lease; zero after a release. */
    Incarnation holder;
    /** Number of the write among the writes of this holder; identifies a write whose reply was lost. */
    std::uint64_t sequence = 0;
    /** Row version at acquisition; zero in the row that the acquisition itself wrote. */
    FencingToken token;
    /** End of the lease on the table service's clock; empty if the service does not tell its time. */
    std::optional<std::chrono::milliseconds> expiresAt = std::nullopt;

    bool operator==(const LeaseRow &) const = default;

    /** Text form "<holder> <sequence> <token>[ <expiresAt in ms>]", each in decimal. */
    std::string toString() const;

    /** Inverse of toString(); empty for any other text. */
    static std::optional<LeaseRow> fromString(std::string_view text);
};

/** Token of an acquisition that wrote this version of the row. It is higher than those of all earlier eras, in which
   the same version may have been given out. Without an era it is the version. */
FencingToken tokenOfVersion(RowVersion version, std::optional<TableEra> era);

/** Fencing token of the present holder of a lease row; zero if the row is absent or malformed. */
FencingToken fencingTokenOf(const TableRow &row, std::optional<TableEra> era = std::nullopt);

} // namespace hornbeamlane
