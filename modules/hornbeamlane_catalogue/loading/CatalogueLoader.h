#pragma once

#include "hornbeamlane_catalogue/model/Catalogue.h"
#include "hornbeamlane_catalogue/reading/DocumentFault.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamlane {

/** One file of a catalogue directory. */
struct CatalogueFile
{
    std::string name;
    std::string text;
};

/** A fault with the file that holds it. The path is relative to that file. */
struct CatalogueFileFault
{
    std::string file;
    DocumentFault fault;

    /** "<file>: <path>: <rule>". */
    std::string toString() const;

    bool operator==(const CatalogueFileFault &) const = default;
};

using CatalogueFileFaults = std::vector<CatalogueFileFault>;

/** A catalogue merged from files, with the document that is stored. */
struct LoadedCatalogue
{
    Catalogue catalogue;
    std::string document;
};

/** Merges the files, in the order of their names. Returns nothing if any file has a fault; all of them are named. */
std::optional<LoadedCatalogue> loadCatalogue(std::vector<CatalogueFile> files, CatalogueFileFaults &faults);

/**
    The document with entries ordered by kind and name, fields ordered by name, and no white space.

    Two documents with the same entries have the same canonical form. Empty if the text is not a catalogue document.
*/
std::optional<std::string> canonicalDocument(std::string_view document);

} // namespace hornbeamlane
