#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"
#include "hornbeamlane_network/http/HttpMessages.h"

namespace hornbeamlane {

/** The answer to a caller for a refusal: status, code, what is known of the execution, and when to resend. */
HttpResponse makeRefusalReply(const Refusal &refusal);

/** The last event of a stream that was broken off after its head was sent. */
std::string makeRefusalEvent(const Refusal &refusal);

} // namespace hornbeamlane
