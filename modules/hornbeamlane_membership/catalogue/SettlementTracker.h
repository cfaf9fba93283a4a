#pragma once

#include "hornbeamlane_membership/catalogue/CatalogueHead.h"
#include "hornbeamlane_membership/catalogue/ConfirmationBook.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace hornbeamlane {

/**
    Finds the settled version: the newest one that every backend server of all older versions has confirmed.

    Needs the servers of each accepted version since the settled one, because a server that existed only in a version
    in between may still use the floors of that version.
*/
class SettlementTracker final
{
public:
    struct Options
    {
        /** Whether an operator has declared a server lost, so that its confirmation is not waited for. */
        std::function<bool(const ServerId &)> isLost = [](const ServerId &) { return false; };
    };

    SettlementTracker(Options options, CatalogueVersion settled);

    /** Notes the servers of an accepted version. */
    void addVersion(CatalogueVersion version, std::set<ServerId> servers);

    /** The lowest accepted version above the settled one whose servers are not known yet; read its row. */
    std::optional<CatalogueVersion> missingVersion(const CatalogueHead &head) const;

    /** Raises and returns the settled version. */
    CatalogueVersion update(const CatalogueHead &head, const Confirmations &confirmations);

private:
    Options options_;
    CatalogueVersion settled_;
    std::map<CatalogueVersion, std::set<ServerId>> servers_;
};

} // namespace hornbeamlane
