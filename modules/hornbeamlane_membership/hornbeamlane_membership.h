/**
    What the processes agree on: the platform's table, leases, the view of hosts, catalogue versions and drains.

    Depends on hornbeamlane_catalogue and hornbeamlane_messages. Does no input or output of its own: keepers and
    operations return the table requests and messages that they need and are given the replies.
*/
#pragma once

#include "hornbeamlane_membership/actions/KeeperAction.h"
#include "hornbeamlane_membership/catalogue/CatalogueHead.h"
#include "hornbeamlane_membership/catalogue/CatalogueKeeper.h"
#include "hornbeamlane_membership/catalogue/ConfirmationBook.h"
#include "hornbeamlane_membership/catalogue/SettlementTracker.h"
#include "hornbeamlane_membership/drains/DrainKeeper.h"
#include "hornbeamlane_membership/drains/DrainSet.h"
#include "hornbeamlane_membership/hosts/ContactWatch.h"
#include "hornbeamlane_membership/hosts/HostView.h"
#include "hornbeamlane_membership/hosts/ReturnRamp.h"
#include "hornbeamlane_membership/lease/LeaseKeeper.h"
#include "hornbeamlane_membership/lease/LeaseRow.h"
#include "hornbeamlane_membership/operator/ApplyOperation.h"
#include "hornbeamlane_membership/operator/DrainOperation.h"
#include "hornbeamlane_membership/operator/StatusReport.h"
#include "hornbeamlane_membership/operator/TableStep.h"
#include "hornbeamlane_membership/table/TableClient.h"
