#pragma once

#include "hornbeamlane_gateway/crashes/CrashDetector.h"
#include "hornbeamlane_observability/hornbeamlane_observability.h"
#include "hornbeamlane_routing/crashes/CrashEvidence.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamlane {

/** Logs and counts what an entry comes to believe of crashes; so many lines between two sweeps at most. */
class CrashLog final
{
public:
    explicit CrashLog(MetricsRegistry &metrics);

    /** This entry has seen the crash itself. */
    void seen(const ServerStart &start, CrashSign sign, const ServerCrash &crash, CrashNews news);

    /** Another entry, or the row of the table, has told of the crash. */
    void told(std::string_view source, const ServerCrash &crash, CrashNews news, TimePoint now);

    void forgotten(const ServerCrash &crash, TimePoint now);

    /** An answer to the request has cleared traits of it of these crashes. */
    void cleared(const std::string &attemptId, const RequestTraits &traits, const std::vector<CrashId> &crashes);

    /** One line for each culprit that is new, has gone or has crashed another server. */
    void culprits(const std::vector<Culprit> &culprits, TimePoint now);

    /** Begins the next count of lines. */
    void sweep();

private:
    bool mayWrite();
    void logCulprit(const std::string &event, const Culprit &culprit, TimePoint now);

    MetricsRegistry &metrics_;
    /** Culprits as last logged: their traits and crashes. */
    std::map<std::vector<TraitHash>, std::size_t> loggedCulprits_;
    /** Lines wanted since the last sweep. */
    std::size_t lines_ = 0;
};

} // namespace hornbeamlane
