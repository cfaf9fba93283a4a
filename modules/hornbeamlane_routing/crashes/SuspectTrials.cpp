#include "hornbeamlane_routing/crashes/SuspectTrials.h"

#include <algorithm>

namespace hornbeamlane {

SuspectTrials::SuspectTrials(Incarnation self)
    : SuspectTrials(self, Options())
{
}

SuspectTrials::SuspectTrials(Incarnation self, Options options)
    : self_(self)
    , options_(options)
{
}

bool SuspectTrials::mayRun(RequestNumber request, const std::vector<TraitHash> &suspects, TimePoint now)
{
    const auto own = own_.find(request);
    if (own != own_.end() && own->second.traits == suspects) {
        return own->second.sentAt || now - own->second.claimedAt >= options_.claimWait;
    }
    if (own != own_.end()) {
        // What is suspect has changed while the request waited.
        own_.erase(own);
    }
    const bool isTaken =
        std::any_of(suspects.begin(), suspects.end(), [&](TraitHash trait) { return isClaimed(trait, now); });
    if (!isTaken) {
        own_.emplace(request, OwnTrial{.traits = suspects, .claimedAt = now});
    }
    return false;
}

bool SuspectTrials::onSent(RequestNumber request, TimePoint now)
{
    const auto own = own_.find(request);
    if (own == own_.end()) {
        return false;
    }
    own->second.sentAt = now;
    return true;
}

bool SuspectTrials::release(RequestNumber request)
{
    return own_.erase(request) > 0;
}

bool SuspectTrials::isOverdue(const OwnTrial &trial, TimePoint now) const
{
    return trial.sentAt && now - *trial.sentAt >= options_.trialTime;
}

bool SuspectTrials::isClaimed(TraitHash trait, TimePoint now) const
{
    const bool isOwn = std::any_of(own_.begin(), own_.end(), [&](const auto &entry) {
        return !isOverdue(entry.second, now) && containsTrait(entry.second.traits, trait);
    });
    const bool isPeers = std::any_of(peers_.begin(), peers_.end(), [trait](const auto &entry) {
        const auto &claims = entry.second.claims;
        return std::any_of(claims.begin(), claims.end(),
                           [trait](const TrialClaim &claim) { return claim.trait == trait; });
    });
    return isOwn || isPeers;
}

bool SuspectTrials::givesWay(const OwnTrial &own, Incarnation peer, const std::vector<TrialClaim> &claims) const
{
    return !own.sentAt && std::any_of(claims.begin(), claims.end(), [&](const TrialClaim &claim) {
        return containsTrait(own.traits, claim.trait) && (claim.isRunning || peer < self_);
    });
}

bool SuspectTrials::onClaims(Incarnation peer, const std::vector<TrialClaim> &claims, TimePoint now)
{
    if (claims.empty()) {
        peers_.erase(peer);
        return false;
    }
    peers_[peer] = {.claims = claims, .heardAt = now};
    return std::erase_if(own_, [&](const auto &entry) { return givesWay(entry.second, peer, claims); }) > 0;
}

void SuspectTrials::expire(TimePoint now)
{
    std::erase_if(peers_, [&](const auto &entry) { return now - entry.second.heardAt >= options_.silence; });
}

std::vector<TrialClaim> SuspectTrials::ownClaims(TimePoint now) const
{
    std::vector<TrialClaim> claims;
    for (const auto &[request, trial] : own_) {
        if (isOverdue(trial, now)) {
            continue;
        }
        for (const auto trait : trial.traits) {
            claims.push_back({.trait = trait, .isRunning = trial.sentAt.has_value()});
        }
    }
    return claims;
}

} // namespace hornbeamlane
