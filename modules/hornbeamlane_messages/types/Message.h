#pragma once

#include "hornbeamlane_messages/types/AttemptMessages.h"
#include "hornbeamlane_messages/types/CrashMessages.h"
#include "hornbeamlane_messages/types/GroupMessages.h"
#include "hornbeamlane_messages/types/LinkMessages.h"
#include "hornbeamlane_messages/types/StateMessages.h"

#include <variant>

namespace hornbeamlane {

/** Any message that travels on a link. The position in the list is the type number on the wire: only append. */
using Message =
    std::variant<Hello, Heartbeat, LoadReport, Dispatch, Cancel, Credit, QueryAttempt, AttemptStatus, ResultRecorded,
                 ResponseHead, ResponseData, ResponseEnd, Rejected, CatalogueUpdate, CatalogueRequest, CatalogueConfirm,
                 DrainUpdate, QuarantineUpdate, MapOrder, MapStatus, CrashUpdate, TrialUpdate>;

} // namespace hornbeamlane
