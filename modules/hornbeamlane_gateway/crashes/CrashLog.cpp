#include "hornbeamlane_gateway/crashes/CrashLog.h"

#include "hornbeamlane_gateway/request/RequestHeaders.h"

#include <utility>

namespace hornbeamlane {

namespace {

/** Lines between two sweeps; a cut may look like many crashes for a moment. */
constexpr std::size_t maxLines = 16;

std::string format(CrashId id)
{
    return formatTraits({TraitHash(id.value())});
}

/** The requests at a crash, each as a whole. */
std::string formatRequests(const ServerCrash &crash)
{
    std::vector<TraitHash> wholes;
    wholes.reserve(crash.candidates.size());
    for (const auto &candidate : crash.candidates) {
        wholes.push_back(candidate.traits.whole);
    }
    return formatTraits(wholes);
}

} // namespace

CrashLog::CrashLog(MetricsRegistry &metrics)
    : metrics_(metrics)
{
}

bool CrashLog::mayWrite()
{
    return ++lines_ <= maxLines;
}

void CrashLog::seen(const ServerStart &start, CrashSign sign, const ServerCrash &crash, CrashNews news)
{
    metrics_.addToCounter("crashes_seen_total",
                          {{"sign", std::string(toString(sign))}, {"news", std::string(toString(news))}});
    if (!mayWrite()) {
        return;
    }
    logEvent(LogLevel::Warning, "server_crashed",
             {{"server", start.server.name()},
              {"address", start.address},
              {"start", std::to_string(start.incarnation)},
              {"crash", format(crash.id)},
              {"sign", std::string(toString(sign))},
              {"news", std::string(toString(news))},
              {"unanswered", std::to_string(crash.candidates.size())},
              {"answer_begun", crash.hasHead() ? "yes" : "no"},
              {"requests", formatRequests(crash)}});
}

void CrashLog::told(std::string_view source, const ServerCrash &crash, CrashNews news, TimePoint now)
{
    metrics_.addToCounter("crashes_told_total",
                          {{"source", std::string(source)}, {"news", std::string(toString(news))}});
    if (news == CrashNews::Known || !mayWrite()) {
        return;
    }
    logEvent(LogLevel::Info, "crash_told",
             {{"crash", format(crash.id)},
              {"source", std::string(source)},
              {"news", std::string(toString(news))},
              {"age_s", formatSeconds(now - crash.at)},
              {"confirmed", crash.isConfirmed ? "yes" : "no"},
              {"refuted", crash.isRefuted ? "yes" : "no"},
              {"requests", formatRequests(crash)}});
}

void CrashLog::forgotten(const ServerCrash &crash, TimePoint now)
{
    metrics_.addToCounter("crashes_forgotten_total");
    if (mayWrite()) {
        logEvent(LogLevel::Info, "crash_forgotten",
                 {{"crash", format(crash.id)},
                  {"age_s", formatSeconds(now - crash.at)},
                  {"confirmed", crash.isConfirmed ? "yes" : "no"},
                  {"refuted", crash.isRefuted ? "yes" : "no"},
                  {"requests", formatRequests(crash)}});
    }
}

void CrashLog::cleared(const std::string &attemptId, const RequestTraits &traits, const std::vector<CrashId> &crashes)
{
    metrics_.addToCounter("crash_clearances_total");
    if (mayWrite()) {
        logEvent(LogLevel::Info, "request_cleared",
                 {{"id", attemptId},
                  {"request", formatTraits({traits.whole})},
                  {"parts", formatTraits(traits.parts)},
                  {"origin", formatOrigin(traits)},
                  {"crash", format(crashes.front())},
                  {"crashes", std::to_string(crashes.size())}});
    }
}

void CrashLog::culprits(const std::vector<Culprit> &culprits, TimePoint now)
{
    std::map<std::vector<TraitHash>, std::size_t> current;
    for (const auto &culprit : culprits) {
        current[culprit.traits] = culprit.crashes;
        const auto known = loggedCulprits_.find(culprit.traits);
        if (known == loggedCulprits_.end() || known->second != culprit.crashes) {
            logCulprit("requests_quarantined", culprit, now);
        }
    }
    for (const auto &[traits, crashes] : loggedCulprits_) {
        if (!current.contains(traits)) {
            logCulprit("quarantine_ended", {.traits = traits, .until = now, .crashes = crashes}, now);
        }
    }
    loggedCulprits_ = std::move(current);
}

void CrashLog::logCulprit(const std::string &event, const Culprit &culprit, TimePoint now)
{
    if (mayWrite()) {
        logEvent(LogLevel::Warning, event,
                 {{"traits", formatTraits(culprit.traits)},
                  {"crashes", std::to_string(culprit.crashes)},
                  {"for_s", formatSeconds(culprit.until - now)}});
    }
}

void CrashLog::sweep()
{
    if (lines_ > maxLines) {
        logEvent(LogLevel::Warning, "crash_lines_left_out", {{"lines", std::to_string(lines_ - maxLines)}});
    }
    lines_ = 0;
}

} // namespace hornbeamlane
