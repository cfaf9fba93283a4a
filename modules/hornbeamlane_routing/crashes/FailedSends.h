#pragma once

#include "hornbeamlane_routing/crashes/ServerCrash.h"

#include <unordered_map>
#include <vector>

namespace hornbeamlane {

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

    void add(CrashId server, CrashCandidate candidate, TimePoint now);

    /** Takes out what failed at the server. */
    std::vector<CrashCandidate> take(CrashId server);

    /** What failed at the server since then, which may be the cause of an end that was noticed now. */
    std::vector<CrashCandidate> since(CrashId server, TimePoint start) const;

    bool hasAny(CrashId server) const;

    /** Forgets what is too old. */
    void expire(TimePoint now);

private:
    struct FailedSend
    {
        CrashCandidate candidate;
        TimePoint at;
    };

    Options options_;
    std::unordered_map<CrashId, std::vector<FailedSend>> servers_;
};

} // namespace hornbeamlane
