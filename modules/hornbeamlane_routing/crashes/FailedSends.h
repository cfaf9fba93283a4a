#pragma once

#include "hornbeamlane_routing/crashes/ServerCrash.h"

#include <chrono>
#include <optional>
#include <unordered_map>
#include <vector>

namespace hornbeamlane {

/** Names one start of a server as far as it can be told from others. */
using ServerStartKey = Number<struct ServerStartTag>;

/** Time of day, as servers state the time of their start. */
using TimeOfDay = std::chrono::system_clock::time_point;

/** A request that was sent to a server and got no answer there. */
struct LostRequest
{
    CrashCandidate candidate;
    TimePoint sentAt;
    TimePoint lostAt;
    /** Its connection broke; otherwise it was given up. */
    bool hasBrokenOff = false;
    /** A server listened at the address after that: the same start of it, or already the next one. */
    std::optional<TimeOfDay> listenedAt = std::nullopt;
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
        /** Difference between the clocks of servers and this process that is allowed for. */
        std::chrono::milliseconds clockTolerance{500};
    };

    FailedSends();
    explicit FailedSends(Options options);

    void add(ServerStartKey server, LostRequest request);

    /** Takes out what may have been lost by the end of the server's start. What broke off before a server listened
       there counts only if the next start had begun by then; it is empty if nothing tells when that was. */
    std::vector<LostRequest> take(ServerStartKey server, std::optional<TimeOfDay> nextStart);

    /** What failed at the server since then, which may be the cause of an end that was noticed now. */
    std::vector<LostRequest> since(ServerStartKey server, TimePoint start) const;

    /** A server listened at the address at that time, as the loop and the time of day have it. */
    void noteListening(ServerStartKey server, TimePoint at, TimeOfDay timeOfDay);

    bool hasAny(ServerStartKey server) const;

    /** Forgets what is too old. */
    void expire(TimePoint now);

private:
    Options options_;
    std::unordered_map<ServerStartKey, std::vector<LostRequest>> servers_;
};

} // namespace hornbeamlane
