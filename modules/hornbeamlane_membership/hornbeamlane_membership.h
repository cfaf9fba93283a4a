/**
    What the processes agree on: the platform's table, leases, the view of hosts, catalogue versions and drains.

    Depends on hornbeamlane_catalogue and hornbeamlane_messages. Does no input or output of its own.
*/
#pragma once

#include "hornbeamlane_membership/lease/LeaseKeeper.h"
#include "hornbeamlane_membership/lease/LeaseRow.h"
#include "hornbeamlane_membership/table/TableClient.h"
