#pragma once

#include "hornbeamlane_catalogue/reading/DocumentFault.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace hornbeamlane {

namespace detail {
class ObjectReader;
}

/** Values from the command line that replace values of the settings file, by field name. */
using SettingsOverrides = std::map<std::string, std::string>;

/** Reads a whole file; empty if it cannot be read. */
std::optional<std::string> readWholeFile(const std::string &path);

/**
    Reads a settings file, applies the overrides and lets the visitor read the fields.

    Returns the settings in force as JSON text, or nothing if there is any fault; `faults` then names all of them.
    An empty path stands for an empty file.
*/
std::optional<std::string> readSettingsFile(const std::string &path, const SettingsOverrides &overrides,
                                            const std::function<void(detail::ObjectReader &)> &visitor,
                                            DocumentFaults &faults);

} // namespace hornbeamlane
