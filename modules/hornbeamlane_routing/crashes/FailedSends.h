#pragma once

#include "hornbeamlane_routing/crashes/ServerCrash.h"

#include <unordered_map>
#include <vector>

namespace hornbeamlane {

/** Names one start of a server as far as it can be told from others. */
using ServerStartKey = Number<struct ServerStartTag>;

/** A request that was sent to a server and got no answer there. */
struct LostRequest
{
    CrashCandidate candidate;
    TimePoint sentAt;
    TimePoint lostAt;
    /** Its connection broke; otherwise it was given up. */
    bool hasBrokenOff = false;
};

/** Requests whose sending ended without an answer, by server, until it is known whether the server has crashed. */
class FailedSends final
{
public:
    struct Options
    {
        /** Time within which a server that has crashed has to be seen again. */
        std::chrono::milliseconds memory{10000};
        std::size_t maxPerServer = 32;
    };

    FailedSends();
    explicit FailedSends(Options options);

    void add(ServerStartKey server, LostRequest request);

    /** Takes out what failed at the server. */
    std::vector<LostRequest> take(ServerStartKey server);

    /** What failed at the server since then, which may be the cause of an end that was noticed now. */
    std::vector<LostRequest> since(ServerStartKey server, TimePoint start) const;

    /** The server lived at that time, so what had broken off there by then was not lost to a crash. */
    void dropBrokenOff(ServerStartKey server, TimePoint livedAt);

    bool hasAny(ServerStartKey server) const;

    /** Forgets what is too old. */
    void expire(TimePoint now);

private:
    Options options_;
    std::unordered_map<ServerStartKey, std::vector<LostRequest>> servers_;
};

} // namespace hornbeamlane
