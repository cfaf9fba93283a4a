#pragma once

#include "hornbeamlane_catalogue/model/Catalogue.h"
#include "hornbeamlane_catalogue/reading/DocumentFault.h"

#include <optional>
#include <string_view>

namespace hornbeamlane {

/**
    Reads a catalogue document, an object {"entries": [...]}, and checks every rule.

    Returns nothing if there is any fault; `faults` then names all of them, not just the first.
*/
std::optional<Catalogue> readCatalogue(std::string_view document, DocumentFaults &faults);

} // namespace hornbeamlane
