#include "hornbeamlane_gateway/crashes/CrashGuard.h"

#include "hornbeamlane_gateway/request/RequestHeaders.h"
#include "hornbeamlane_observability/hornbeamlane_observability.h"

#include <algorithm>
#include <utility>

namespace hornbeamlane {

CrashGuard::CrashGuard(EventLoop &loop, RandomSource &random, const BackendBook &servers, Options options, Hooks hooks)
    : loop_(loop)
    , hooks_(std::move(hooks))
    , evidence_(options.evidence)
    , trials_(options.incarnation, options.trials)
    , detector_(
          loop, servers, {},
          {.unanswered = hooks_.unanswered,
           .crashed =
               [this](const ServerStart &start, std::string_view evidence, std::vector<CrashCandidate> candidates) {
                   handleCrash(start, evidence, std::move(candidates));
               }})
    , exchange_(loop, evidence_, trials_, {.incarnation = options.incarnation},
                {.sendToAll = hooks_.sendToAll, .sendTo = hooks_.sendTo, .changed = [this] { handleChange(); }})
    , row_(loop, random, evidence_, {},
           {.write = hooks_.writeRow,
            .timeOfDay = [] { return std::chrono::system_clock::now(); },
            .changed = [this] { handleChange(); }})
{
}

CrashGuard::Decision CrashGuard::decide(RequestNumber request, const RequestTraits &traits)
{
    const auto now = loop_.now();
    switch (evidence_.judge(traits, now)) {
    case CrashEvidence::Verdict::Allowed:
        endTrial(request);
        return Decision::Send;
    case CrashEvidence::Verdict::Quarantined:
        endTrial(request);
        return Decision::Refuse;
    case CrashEvidence::Verdict::Suspect:
        break;
    }
    const auto claimsBefore = trials_.ownClaims().size();
    const bool mayRun = trials_.mayRun(request, evidence_.suspectsAmong(traits, now), now);
    if (trials_.ownClaims().size() != claimsBefore) {
        exchange_.tellClaims();
    }
    return mayRun ? Decision::Send : Decision::Wait;
}

CrashGuard::Quarantine CrashGuard::quarantineOf(const RequestTraits &traits)
{
    const auto now = loop_.now();
    Quarantine result;
    for (const auto &culprit : evidence_.culpritsOf(traits, now)) {
        if (culprit.until - now > result.left) {
            result = {.left = culprit.until - now, .traits = culprit.traits};
        }
    }
    return result;
}

std::vector<ServerId> CrashGuard::serversToAvoid(RequestNumber request) const
{
    std::vector<ServerId> servers;
    if (!trials_.hasClaim(request)) {
        return servers;
    }
    for (const auto &[other, server] : running_) {
        if (other != request) {
            servers.push_back(server);
        }
    }
    return servers;
}

void CrashGuard::onSent(RequestNumber request, const ServerId &server)
{
    if (!trials_.onSent(request)) {
        return;
    }
    running_[request] = server;
    logEvent(LogLevel::Info, "suspect_tried",
             {{"request", std::to_string(request.value())}, {"server", server.name()}});
    exchange_.tellClaims();
}

void CrashGuard::onAnswerBegun(RequestNumber request, const RequestTraits &traits)
{
    std::vector<CrashId> cleared;
    if (evidence_.onAnswerBegun(traits, cleared)) {
        exchange_.tellCrashes(cleared);
        handleChange();
    }
    endTrial(request);
}

void CrashGuard::onRequestEnded(RequestNumber request)
{
    endTrial(request);
}

void CrashGuard::endTrial(RequestNumber request)
{
    running_.erase(request);
    if (trials_.release(request)) {
        exchange_.tellClaims();
        hooks_.changed();
    }
}

void CrashGuard::handleCrash(const ServerStart &start, std::string_view evidence,
                             std::vector<CrashCandidate> candidates)
{
    const ServerCrash crash{.id = start.id(), .at = loop_.now(), .candidates = std::move(candidates)};
    const auto heads = std::count_if(crash.candidates.begin(), crash.candidates.end(),
                                     [](const CrashCandidate &candidate) { return candidate.hadHead; });
    logEvent(LogLevel::Warning, "server_crashed",
             {{"server", start.server.name()},
              {"address", start.address},
              {"evidence", std::string(evidence)},
              {"unanswered", std::to_string(crash.candidates.size())},
              {"answer_begun", std::to_string(heads)}});
    if (evidence_.onCrash(crash, loop_.now())) {
        exchange_.tellCrashes({crash.id});
        handleChange();
    }
}

void CrashGuard::handleChange()
{
    logCulprits();
    row_.check();
    hooks_.changed();
}

void CrashGuard::logCulprits()
{
    const auto now = loop_.now();
    const auto &culprits = evidence_.findings(now).culprits;
    std::map<std::vector<TraitHash>, std::size_t> current;
    for (const auto &culprit : culprits) {
        current[culprit.traits] = culprit.crashes;
        const auto known = loggedCulprits_.find(culprit.traits);
        if (known == loggedCulprits_.end() || known->second != culprit.crashes) {
            logEvent(LogLevel::Warning, "requests_quarantined",
                     {{"traits", formatTraits(culprit.traits)},
                      {"crashes", std::to_string(culprit.crashes)},
                      {"for_s", formatSeconds(culprit.until - now)}});
        }
    }
    for (const auto &[traits, crashes] : loggedCulprits_) {
        if (!current.contains(traits)) {
            logEvent(LogLevel::Info, "quarantine_ended", {{"traits", formatTraits(traits)}});
        }
    }
    loggedCulprits_ = std::move(current);
}

std::size_t CrashGuard::culpritCount()
{
    return evidence_.findings(loop_.now()).culprits.size();
}

void CrashGuard::sweep()
{
    const auto now = loop_.now();
    evidence_.expire(now);
    detector_.sweep(now);
    exchange_.sweep(now);
    logCulprits();
    row_.check();
}

} // namespace hornbeamlane
