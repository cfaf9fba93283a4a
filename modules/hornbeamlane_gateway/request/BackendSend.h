#pragma once

#include "hornbeamlane_dispatch/pace/PaceBook.h"
#include "hornbeamlane_gateway/crashes/CrashDetector.h"
#include "hornbeamlane_network/http1/Http1ClientConnection.h"

#include <memory>
#include <optional>
#include <string>

namespace hornbeamlane::detail {

/** One sending of the request to one server. */
struct BackendSend
{
    ServerStart start;
    std::unique_ptr<Http1ClientConnection> connection;
    /** The connection had been used before. */
    bool isKept = false;
    std::optional<Http1ResponseHead> head;
    /** Collected body of an answer that is not streamed. */
    std::string body;
    bool isStreamed = false;
    /** Epoch of the server's group when the request was sent. */
    std::uint64_t groupEpoch = 0;
    /** Servers whose streams share the pace of this one. */
    PaceUnitId paceUnit;
    TimePoint startedAt;
    /** Requests of all entries that the server had then, this one included. */
    std::uint32_t inFlightAtStart = 0;
    TimePoint lastEventAt;

    /** Nothing of the answer's body has come, no whole event of a stream either. */
    bool isUnanswered() const
    {
        return lastEventAt == TimePoint{} && body.empty();
    }
};

} // namespace hornbeamlane::detail
