#pragma once

#include "ctl/Output.h"
#include "hornbeamlane_catalogue/hornbeamlane_catalogue.h"
#include "hornbeamlane_membership/hornbeamlane_membership.h"

#include <vector>

namespace hornbeamlane::ctl {

/** Forms in which results are printed; scripts rely on the names of their fields. */
Json drainsToJson(const std::vector<DrainRecord> &drains);
Json keysToJson(const std::vector<CatalogueEntryKey> &keys);
Json findingsToJson(const std::vector<CatalogueFinding> &findings);
Json reportToJson(const StatusReport &report);

} // namespace hornbeamlane::ctl
