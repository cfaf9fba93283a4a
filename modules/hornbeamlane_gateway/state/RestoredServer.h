#pragma once

#include "hornbeamlane_dispatch/hornbeamlane_dispatch.h"

#include <optional>

namespace hornbeamlane {

/** What counts of a server's row in a table that has come back from an older copy, beside what is known of the server:
    a server that leaves does not return, and the row of an earlier start tells nothing; empty for such a row. */
inline std::optional<BackendSpec> restoredServer(BackendSpec row, const Backend *known)
{
    if (known == nullptr || known->isGone) {
        return row;
    }
    if (row.incarnation < known->spec.incarnation) {
        return std::nullopt;
    }
    if (row.incarnation == known->spec.incarnation && known->spec.isDraining) {
        row.isDraining = true;
    }
    return row;
}

} // namespace hornbeamlane
