#pragma once

#include "hornbeamlane_routing/crashes/RequestTraits.h"

#include <map>
#include <optional>
#include <vector>

namespace hornbeamlane {

/** Number of a request within one entry. */
using RequestNumber = Number<struct RequestTag>;

/**
    Lets one request at a time, of all entries, show whether its suspect traits crash servers.

    An entry claims the traits, waits until claims of others that were made meanwhile have arrived, and then sends the
    request. Of two claims to one trait a running one comes first, then that of the lower incarnation. Entries that do
    not hear each other run one request each.
*/
class SuspectTrials final
{
public:
    struct Options
    {
        /** Time for which a claim waits for those of others; longer than a message takes between two entries. */
        std::chrono::milliseconds claimWait{60};
        /** Claims of an entry that has told nothing for this time are void. */
        std::chrono::milliseconds silence{1500};
        /** Time after which a request that is still unanswered keeps no other from being tried: its server is slow or
            silent. Well above the target for a first event of 150 ms. */
        std::chrono::milliseconds trialTime{250};
    };

    explicit SuspectTrials(Incarnation self);
    SuspectTrials(Incarnation self, Options options);

    /** Whether the request may be sent now; claims its suspect traits if nobody else has. */
    bool mayRun(RequestNumber request, const std::vector<TraitHash> &suspects, TimePoint now);

    /** The request goes to a server now; true if it is a trial. */
    bool onSent(RequestNumber request, TimePoint now);

    bool hasClaim(RequestNumber request) const
    {
        return own_.contains(request);
    }

    /** The request has told what it could, or is given up; true if it had a claim. */
    bool release(RequestNumber request);

    /** All claims of another entry at present; true if one of the own claims gave way. */
    bool onClaims(Incarnation peer, const std::vector<TrialClaim> &claims, TimePoint now);

    /** Drops the claims of entries that have fallen silent. */
    void expire(TimePoint now);

    /** What other entries have to know; without the claims of trials that have run for too long. */
    std::vector<TrialClaim> ownClaims(TimePoint now) const;

private:
    struct OwnTrial
    {
        std::vector<TraitHash> traits;
        TimePoint claimedAt;
        /** Empty before the request is sent. */
        std::optional<TimePoint> sentAt;
    };

    struct PeerClaims
    {
        std::vector<TrialClaim> claims;
        TimePoint heardAt;
    };

    bool isClaimed(TraitHash trait, TimePoint now) const;
    bool isOverdue(const OwnTrial &trial, TimePoint now) const;
    bool givesWay(const OwnTrial &own, Incarnation peer, const std::vector<TrialClaim> &claims) const;

    Incarnation self_;
    Options options_;
    std::map<RequestNumber, OwnTrial> own_;
    std::map<Incarnation, PeerClaims> peers_;
};

} // namespace hornbeamlane
