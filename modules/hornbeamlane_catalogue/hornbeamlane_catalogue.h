/**
    The catalogue: declarative entries that state what may run, for whom and how much.

    Holds the typed model, its reading from JSON with every fault named by its path, the loading of a directory's files,
    the comparison of two documents and the search for entries without effect. Depends on hornbeamlane_base.
*/
#pragma once

#include "hornbeamlane_catalogue/checking/CatalogueCheck.h"
#include "hornbeamlane_catalogue/comparison/CatalogueDiff.h"
#include "hornbeamlane_catalogue/loading/CatalogueLoader.h"
#include "hornbeamlane_catalogue/model/Catalogue.h"
#include "hornbeamlane_catalogue/reading/CatalogueReader.h"
#include "hornbeamlane_catalogue/reading/DocumentFault.h"
