/**
    The catalogue: declarative entries that state what may run, for whom and how much.

    Holds the typed model and its reading from JSON with every fault named by its path. Depends on hornbeamlane_base.
*/
#pragma once

#include "hornbeamlane_catalogue/model/Catalogue.h"
#include "hornbeamlane_catalogue/reading/CatalogueReader.h"
#include "hornbeamlane_catalogue/reading/DocumentFault.h"
