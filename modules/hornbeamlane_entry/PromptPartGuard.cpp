#include "hornbeamlane_entry/PromptPartGuard.h"

#include "hornbeamlane_observability/hornbeamlane_observability.h"

#include <algorithm>
#include <utility>

namespace hornbeamlane {

namespace {

/** Senders of claims that are remembered; more are forgotten all at once. */
constexpr std::size_t maxRemembered = 4096;

/** An agent cannot tell a crashed engine from one that broke a single answer off, so it takes one loss more, and a
   single one only makes suspects. */
constexpr CrashRules rulesOfBreaks{.crashesToQuarantine = 3, .hold = std::chrono::milliseconds(0)};

} // namespace

PromptPartGuard::PromptPartGuard(Incarnation self, std::function<void(const Message &)> tellPeers)
    : self_(self)
    , tellPeers_(std::move(tellPeers))
    , evidence_({.rules = rulesOfBreaks})
    , trials_(self)
{
}

PromptPartGuard::Decision PromptPartGuard::decide(const CallerRequest &request, TimePoint now)
{
    switch (evidence_.judge(request.traits, now)) {
    case CrashEvidence::Verdict::Allowed:
        return Decision::Send;
    case CrashEvidence::Verdict::Quarantined:
        return Decision::Refuse;
    case CrashEvidence::Verdict::Suspect:
        break;
    }
    const auto claimsBefore = trials_.ownClaims(now).size();
    const bool mayRun = trials_.mayRun(request.number, evidence_.suspectsAmong(request.traits, now), now);
    if (trials_.ownClaims(now).size() != claimsBefore) {
        tellClaims(now);
    }
    return mayRun ? Decision::Send : Decision::Wait;
}

Refusal PromptPartGuard::refusal(const CallerRequest &request, TimePoint now)
{
    auto until = now;
    std::vector<TraitHash> traits;
    for (const auto &culprit : evidence_.culpritsOf(request.traits, now)) {
        until = std::max(until, culprit.until);
        traits = culprit.traits;
    }
    logEvent(LogLevel::Info, "request_quarantined",
             {{"request", std::to_string(request.number.value())}, {"traits", formatTraits(traits)}});
    return {.reason = RefusalReason::Quarantined,
            .execution = ExecutionState::NotRun,
            .retryAfter = std::chrono::duration_cast<std::chrono::milliseconds>(until - now),
            .detail = "requests with the same part of a prompt have crashed servers"};
}

void PromptPartGuard::onDispatched(const AttemptId &attempt, const CallerRequest &request, Incarnation agent,
                                   TimePoint now)
{
    if (request.dispatch.kind != WorkKind::Model) {
        return;
    }
    attempts_[attempt] = {.request = request.number, .traits = request.traits, .agent = agent};
    if (trials_.onSent(request.number, now)) {
        tellClaims(now);
    }
}

void PromptPartGuard::onHead(const AttemptId &attempt, int status)
{
    if (const auto found = attempts_.find(attempt); found != attempts_.end()) {
        found->second.hadHead = true;
        found->second.isError = isServerError(status);
    }
}

void PromptPartGuard::onAnswerBegun(const AttemptId &attempt, TimePoint now)
{
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end() || found->second.isError || std::exchange(found->second.hasBegun, true)) {
        return;
    }
    std::vector<CrashId> cleared;
    if (evidence_.onAnswerBegun(found->second.traits, cleared)) {
        tellCrashes(cleared, now);
    }
    if (trials_.release(found->second.request)) {
        tellClaims(now);
    }
}

void PromptPartGuard::onEnded(const AttemptId &attempt, TimePoint now)
{
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end()) {
        return;
    }
    if (trials_.release(found->second.request)) {
        tellClaims(now);
    }
    attempts_.erase(found);
}

void PromptPartGuard::onRequestEnded(RequestNumber request, TimePoint now)
{
    if (trials_.release(request)) {
        tellClaims(now);
    }
}

void PromptPartGuard::onEngineLost(Incarnation agent, std::uint64_t loss, TimePoint now)
{
    const auto name = std::to_string(agent.value()) + "/" + std::to_string(loss);
    // An agent and its engine share a host, so no cut lies between them; the agent itself may only be cut off.
    ServerCrash crash{.id = CrashId(hash64(name)), .at = now, .isConfirmed = loss != 0};
    for (const auto &[id, attempt] : attempts_) {
        if (attempt.agent == agent && !attempt.hasBegun) {
            crash.candidates.push_back({.traits = attempt.traits, .hadHead = attempt.hadHead});
        }
    }
    logEvent(LogLevel::Warning, "server_crashed",
             {{"agent", std::to_string(agent.value())},
              {"loss", std::to_string(loss)},
              {"unanswered", std::to_string(crash.candidates.size())}});
    if (evidence_.onCrash(crash, now)) {
        tellCrashes({crash.id}, now);
    }
}

void PromptPartGuard::tellCrashes(const std::vector<CrashId> &ids, TimePoint now)
{
    CrashUpdate update;
    for (const auto &crash : evidence_.crashes()) {
        if (std::find(ids.begin(), ids.end(), crash.id) != ids.end()) {
            update.crashes.push_back(toRecord(crash, now));
        }
    }
    tellPeers_(update);
}

void PromptPartGuard::tellClaims(TimePoint now)
{
    auto claims = trials_.ownClaims(now);
    hasToldClaims_ = !claims.empty();
    tellPeers_(TrialUpdate{.sender = self_, .sequence = ++sequence_, .claims = std::move(claims)});
}

void PromptPartGuard::merge(const CrashUpdate &update, TimePoint now)
{
    std::vector<CrashId> changed;
    for (const auto &record : update.crashes) {
        if (evidence_.onCrash(fromRecord(record, now), now)) {
            changed.push_back(record.id);
        }
    }
    // Not all entries are linked to each other, so news are passed on; what is known already is not.
    if (!changed.empty()) {
        tellCrashes(changed, now);
    }
}

void PromptPartGuard::merge(const TrialUpdate &update, TimePoint now)
{
    if (sequences_.size() > maxRemembered) {
        sequences_.clear();
    }
    auto &newest = sequences_[update.sender];
    if (update.sender == self_ || update.sequence <= newest) {
        return;
    }
    newest = update.sequence;
    if (trials_.onClaims(update.sender, update.claims, now)) {
        tellClaims(now);
    }
}

CrashUpdate PromptPartGuard::everything(TimePoint now) const
{
    CrashUpdate update;
    for (const auto &crash : evidence_.crashes()) {
        update.crashes.push_back(toRecord(crash, now));
    }
    return update;
}

void PromptPartGuard::sweep(TimePoint now)
{
    evidence_.expire(now);
    trials_.expire(now);
    // Told once more when the last claim has ended by its time.
    const bool hasClaims = !trials_.ownClaims(now).empty();
    if (hasClaims || hasToldClaims_) {
        tellClaims(now);
    }
}

} // namespace hornbeamlane
