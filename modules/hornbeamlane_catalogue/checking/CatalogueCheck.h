#pragma once

#include "hornbeamlane_catalogue/comparison/CatalogueDiff.h"
#include "hornbeamlane_catalogue/model/Catalogue.h"

#include <string>
#include <string_view>
#include <vector>

namespace hornbeamlane {

/** Why a valid entry is most likely not what its author meant. */
enum class CatalogueFindingKind {
    NeverMatches, ///< No request can reach or use the entry.
    ContradictingLimits, ///< Two limits cannot both have their effect.
};

std::string_view toString(CatalogueFindingKind kind);

/** One finding about an entry. */
struct CatalogueFinding
{
    CatalogueFindingKind kind = CatalogueFindingKind::NeverMatches;
    CatalogueEntryKey entry;
    /** JSON pointer to the value, relative to the entry; empty if the whole entry is meant. */
    std::string path;
    /** What was found, for instance "no backend server offers it". */
    std::string text;

    bool operator==(const CatalogueFinding &) const = default;
};

/** Looks for entries that can never match and for limits that contradict each other; ordered by kind and entry. */
std::vector<CatalogueFinding> checkCatalogue(const Catalogue &catalogue);

} // namespace hornbeamlane
