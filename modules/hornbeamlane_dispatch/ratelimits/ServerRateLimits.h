#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"

#include <cstdint>
#include <map>
#include <optional>

namespace hornbeamlane {

/** Short name of one start of a server, the same at all entries. */
using ServerStartHash = std::uint32_t;

ServerStartHash hashOfStart(const ServerId &server, std::uint64_t incarnation);

/** Limits on requests a second, over all entries together, that servers name in their answers. */
class ServerRateLimits final
{
public:
    struct Options
    {
        /** A limit that no answer has confirmed for this time is forgotten. */
        std::chrono::seconds memory{60};
        /** Servers remembered at most; the next answer of a further one is looked at anew. */
        std::size_t maxServers = 4096;
    };

    enum class Change { None, Named, Changed, Lifted };

    ServerRateLimits();
    explicit ServerRateLimits(Options options);

    /** An answer of the server has named a limit. */
    Change onNamed(ServerStartHash server, double perSecond, TimePoint now);

    /** An answer to a request of that time has named none. */
    Change onNoneNamed(ServerStartHash server, TimePoint sentAt);

    /** Requests a second; empty if the server takes as many as it can. */
    std::optional<double> limitOf(ServerStartHash server) const;

    void sweep(TimePoint now);

private:
    struct Record
    {
        /** Empty once an answer has named no limit any more. */
        std::optional<double> perSecond;
        /** When an answer came that named it, or when the request was sent whose answer named none. */
        TimePoint shownAt;
    };

    Options options_;
    std::map<ServerStartHash, Record> records_;
};

} // namespace hornbeamlane
