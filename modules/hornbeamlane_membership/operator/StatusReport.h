#pragma once

#include "hornbeamlane_catalogue/model/Catalogue.h"
#include "hornbeamlane_membership/catalogue/ConfirmationBook.h"
#include "hornbeamlane_membership/drains/DrainSet.h"
#include "hornbeamlane_membership/hosts/HostView.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace hornbeamlane {

/** State of one data centre as its readers have stored it. */
struct DataCentreReport
{
    /** Number of processes that have each version in force. */
    std::map<CatalogueVersion, std::size_t> versions;
    /** Entries and agents that have confirmed the newest version, and those that have not. */
    std::vector<std::string> confirmed;
    std::vector<std::string> missing;
};

/** What `hornbeamlanectl status` shows. */
struct StatusReport
{
    CatalogueVersion newest;
    std::map<DataCentreId, DataCentreReport> dataCentres;
    std::vector<DrainRecord> drains;

    /** Whether every expected process has confirmed the newest version. */
    bool isConfirmedEverywhere() const;
};

/** What the report is made from. */
struct StatusSources
{
    CatalogueVersion newest;
    /** The newest catalogue; its servers' agents are expected to confirm. */
    Catalogue catalogue;
    /** Live entries are expected to confirm. */
    std::vector<HostRecord> hosts;
    std::map<DataCentreId, Confirmations> confirmations;
    DrainSet drains;
};

StatusReport makeStatusReport(const StatusSources &sources);

} // namespace hornbeamlane
