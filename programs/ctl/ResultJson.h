#pragma once

#include "hornbeamlane_catalogue/hornbeamlane_catalogue.h"
#include "hornbeamlane_membership/hornbeamlane_membership.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace hornbeamlane::ctl {

/** Forms in which results are printed; scripts rely on the names of their fields. */
nlohmann::ordered_json drainsToJson(const std::vector<DrainRecord> &drains);
nlohmann::ordered_json keysToJson(const std::vector<CatalogueEntryKey> &keys);
nlohmann::ordered_json findingsToJson(const std::vector<CatalogueFinding> &findings);
nlohmann::ordered_json reportToJson(const StatusReport &report);

} // namespace hornbeamlane::ctl
