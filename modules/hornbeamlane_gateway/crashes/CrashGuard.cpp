#include "hornbeamlane_gateway/crashes/CrashGuard.h"

#include "hornbeamlane_gateway/request/RequestHeaders.h"
#include "hornbeamlane_observability/hornbeamlane_observability.h"

#include <algorithm>
#include <utility>

namespace hornbeamlane {

namespace {

/** A server that answers sooner than this after its crash has not crashed; later it may be another start of it. */
constexpr std::chrono::milliseconds shortestDownTime{1500};

} // namespace

CrashGuard::CrashGuard(EventLoop &loop, RandomSource &random, MetricsRegistry &metrics, const BackendBook &servers,
                       Options options, Hooks hooks)
    : loop_(loop)
    , servers_(servers)
    , hooks_(std::move(hooks))
    , log_(metrics)
    , evidence_(options.evidence)
    , trials_(options.incarnation, options.trials)
    , detector_(loop, servers, {},
                {.unanswered = hooks_.unanswered,
                 .crashed = [this](const ServerStart &start, CrashSign sign,
                                   const std::vector<LostRequest> &requests) { handleCrash(start, sign, requests); }})
    , exchange_(
          loop, evidence_, trials_, {.incarnation = options.incarnation},
          {.sendToAll = hooks_.sendToAll,
           .sendTo = hooks_.sendTo,
           .changed = [this] { handleChange(); },
           .told = [this](const ServerCrash &crash, CrashNews news) { log_.told("entry", crash, news, loop_.now()); },
           .agreed = [this] { noteLearned("entry"); }})
    , row_(loop, random, evidence_, {},
           {.write = hooks_.writeRow,
            .timeOfDay = [] { return std::chrono::system_clock::now(); },
            .changed = [this] { handleChange(); },
            .told = [this](const ServerCrash &crash, CrashNews news) { log_.told("row", crash, news, loop_.now()); },
            .read = [this] { noteLearned("row"); }})
    , learningTime_(options.learningTime)
{
}

CrashGuard::Decision CrashGuard::decide(RequestNumber request, const RequestTraits &traits)
{
    const auto now = loop_.now();
    if (mustLearn(now)) {
        return Decision::Wait;
    }
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
    const auto claimsBefore = trials_.ownClaims(now).size();
    const bool mayRun = trials_.mayRun(request, evidence_.suspectsAmong(traits, now), now);
    if (trials_.ownClaims(now).size() != claimsBefore) {
        exchange_.tellClaims();
    }
    return mayRun ? Decision::Send : Decision::Wait;
}

bool CrashGuard::isQuarantined(const RequestTraits &traits)
{
    return evidence_.judge(traits, loop_.now()) == CrashEvidence::Verdict::Quarantined;
}

bool CrashGuard::mustLearn(TimePoint now)
{
    if (hasLearned_) {
        return false;
    }
    if (!learnsUntil_) {
        learnsUntil_ = now + learningTime_;
    }
    if (now >= *learnsUntil_) {
        noteLearned("nobody");
    }
    return !hasLearned_;
}

void CrashGuard::noteLearned(std::string_view source)
{
    if (std::exchange(hasLearned_, true)) {
        return;
    }
    logEvent(LogLevel::Info, "crashes_learned",
             {{"source", std::string(source)}, {"crashes", std::to_string(evidence_.crashes().size())}});
    hooks_.changed();
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
    if (!trials_.onSent(request, loop_.now())) {
        return;
    }
    running_[request] = server;
    logEvent(LogLevel::Info, "suspect_tried",
             {{"request", std::to_string(request.value())}, {"server", server.name()}});
    exchange_.tellClaims();
}

void CrashGuard::onServerAnswered(const ServerStart &start, TimePoint sentAt, bool isMisdirected)
{
    const auto *crash = evidence_.lastCrashOf(start.serverKey(), sentAt);
    if (crash == nullptr) {
        return;
    }
    const auto id = crash->id;
    const bool isStillDown = loop_.now() - crash->at < shortestDownTime;
    const bool isNews = isMisdirected ? evidence_.onConfirmed(id) : isStillDown && evidence_.onRefuted(id);
    if (!isNews) {
        return;
    }
    logEvent(LogLevel::Info, isMisdirected ? "crash_confirmed" : "crash_refuted",
             {{"server", start.server.name()}, {"address", start.address}});
    exchange_.tellCrashes({id});
    handleChange();
}

void CrashGuard::onAnswerBegun(RequestNumber request, const std::string &attemptId, const RequestTraits &traits)
{
    std::vector<CrashId> cleared;
    if (evidence_.onAnswerBegun(traits, cleared)) {
        log_.cleared(attemptId, traits, cleared);
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

std::vector<ServerCrash> CrashGuard::crashesOf(const ServerStart &start, const std::vector<LostRequest> &requests) const
{
    std::vector<ServerCrash> crashes;
    for (const auto &request : requests) {
        const auto name = evidence_.nameOf(start.serverKey(), request.sentAt);
        auto found = std::find_if(crashes.begin(), crashes.end(),
                                  [&name](const ServerCrash &crash) { return crash.id == name.id(); });
        if (found == crashes.end()) {
            found = crashes.insert(found, {.id = name.id(), .at = request.lostAt, .name = name});
        }
        found->at = std::max(found->at, request.lostAt);
        found->candidates.push_back(request.candidate);
    }
    std::sort(crashes.begin(), crashes.end(),
              [](const ServerCrash &a, const ServerCrash &b) { return a.name.number < b.name.number; });
    return crashes;
}

void CrashGuard::handleCrash(const ServerStart &start, CrashSign sign, const std::vector<LostRequest> &requests)
{
    auto crashes = crashesOf(start, requests);
    if (crashes.empty()) {
        return;
    }
    // Another start of the server tells of the last of its ends only.
    crashes.back().isConfirmed = sign != CrashSign::ConnectionRefused;
    std::vector<CrashId> changed;
    for (const auto &crash : crashes) {
        const auto news = evidence_.learn(crash, loop_.now());
        log_.seen(start, sign, crash, news);
        if (news == CrashNews::New || news == CrashNews::More) {
            changed.push_back(crash.id);
        }
    }
    if (!changed.empty()) {
        exchange_.tellCrashes(changed);
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
    log_.culprits(evidence_.findings(now).culprits, now);
}

std::size_t CrashGuard::culpritCount()
{
    return evidence_.findings(loop_.now()).culprits.size();
}

void CrashGuard::sweep()
{
    const auto now = loop_.now();
    for (const auto &crash : evidence_.expire(now)) {
        log_.forgotten(crash, now);
    }
    evidence_.setServerCount(servers_.all().size());
    detector_.sweep(now);
    exchange_.sweep(now);
    log_.sweep();
    logCulprits();
    row_.check();
}

} // namespace hornbeamlane
