#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"
#include "hornbeamlane_messages/types/StateMessages.h"

#include <functional>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hornbeamlane {

/**
    Keeps a request that crashes servers from reaching more than two of them.

    A request in flight on a lost server becomes a suspect. A suspect runs again alone among suspects on its server,
    on one entry at a time, and only after the other entries have confirmed that they know of it. A second lost server
    quarantines it. A suspect that ends normally is cleared.
*/
class CrashQuarantine final
{
public:
    enum class Verdict {
        Allowed,
        UseAnotherServer, ///< Not on this server; another one may be possible now.
        Wait, ///< On no server for now; ask again after the next update of a peer or after resendInterval.
        Quarantined,
    };

    struct Options
    {
        /** Records kept at most; the suspect that expires first makes room. */
        std::size_t maxRecords = 4096;
        /** Lost servers that quarantine a request. */
        std::size_t lossesToQuarantine = 2;
        Duration expiry = std::chrono::minutes(10);
        /** Lifetime of a cleared record, which only keeps late messages from reviving its evidence. */
        Duration clearedExpiry = std::chrono::seconds(30);
        /** Longest wait for the confirmation of peers, so that a frozen peer does not hold up neighbours for good. */
        Duration confirmationWait = std::chrono::seconds(1);
        /** Longest wait for another entry that last said that it has the suspect. */
        Duration ownerWait = std::chrono::seconds(3);
        /** Time after which an unconfirmed record is sent again. */
        Duration resendInterval = std::chrono::milliseconds(250);
        /** Time after which the record of a running suspect is sent again, so that others go on waiting. */
        Duration runningInterval = std::chrono::seconds(1);

        /** Decides from the number of lost servers. */
        std::function<bool(std::size_t lostServers)> isQuarantined;
        /** Whether a suspect may share its server with so many other suspects; the default allows none. */
        std::function<bool(std::size_t otherSuspects)> mayShareServer;
        /** Whether a suspect may run while this entry runs so many copies of it; the default allows none. */
        std::function<bool(std::size_t copies)> mayRunBesideCopies;
        /** Whether a suspect may run before the peers have confirmed it; the default allows it after the wait. */
        std::function<bool(Duration waited)> mayRunUnconfirmed;
        /** Fingerprint of a request; the default hashes team, target and body. */
        std::function<Hash128(const TeamId &, std::string_view target, std::string_view body)> fingerprint;
        /** Execution state that a refusal states; the default is Unknown if any server was lost with the request. */
        std::function<ExecutionState(std::size_t lostServers)> executionOfRefused;
    };

    /** The incarnation is that of this entry. */
    explicit CrashQuarantine(Incarnation self);
    CrashQuarantine(Incarnation self, Options options);
    CrashQuarantine(const CrashQuarantine &) = delete;
    CrashQuarantine &operator=(const CrashQuarantine &) = delete;

    /** Entries with a link at present; they have to confirm a suspect before it runs again. */
    void setPeers(const std::vector<Incarnation> &peers);

    /** Fingerprint of a request with its body in canonical form. */
    Hash128 fingerprint(const TeamId &team, std::string_view target, std::string_view canonicalBody) const;

    /** Whether the request may go to the server. For a suspect this reserves the server; see reservedServer(). */
    Verdict mayDispatch(const Hash128 &fingerprint, const ServerId &server, Incarnation serverIncarnation,
                        TimePoint now);

    /** The server on which a suspect is going to run once the peers have confirmed it. */
    std::optional<Incarnation> reservedServer(const Hash128 &fingerprint) const;

    /** The reserved server cannot be used after all. */
    void releaseReservation(const Hash128 &fingerprint, TimePoint now);

    void onDispatched(const Hash128 &fingerprint, const ServerId &server, Incarnation serverIncarnation, TimePoint now);

    /** The attempt ended while its server lived. Only a complete answer clears a suspect. */
    void onFinished(const Hash128 &fingerprint, Incarnation serverIncarnation, bool isComplete, TimePoint now);

    /** The server ended without having announced it; all requests in flight on it become suspects. */
    void onServerLost(Incarnation serverIncarnation, TimePoint now);

    /** The same of the engine beside an agent that lives on; `loss` tells its ends apart. */
    void onEngineLost(Incarnation agent, std::uint64_t loss, TimePoint now);

    /** Whether the request is refused now. */
    bool isQuarantined(const Hash128 &fingerprint, TimePoint now) const;

    /** The refusal for a quarantined request. */
    Refusal refusal(const Hash128 &fingerprint, TimePoint now) const;

    /** Records that are due for a peer; call after each change, each merge and each resendInterval. */
    std::optional<QuarantineUpdate> updateFor(Incarnation peer, TimePoint now);

    /** Takes over what a peer knows. */
    void merge(const QuarantineUpdate &update, Incarnation from, TimePoint now);

    std::size_t recordCount() const;

private:
    struct FingerprintHash
    {
        std::size_t operator()(const Hash128 &fingerprint) const
        {
            return fingerprint.low;
        }
    };

    struct PeerState
    {
        Incarnation peer;
        bool hasConfirmed = false;
        bool needsReply = false;
        /** Server on which the peer must not run the request, named in the reply. */
        Incarnation declined;
        std::optional<TimePoint> sentAt;
    };

    struct Record
    {
        Hash128 fingerprint;
        std::vector<Incarnation> lostServers;
        /** Servers on which this entry lost the request; it is not sent there again. */
        std::vector<ServerId> lostOn;
        Incarnation owner;
        /** Server reserved by this entry. */
        Incarnation reserved;
        /** Server that a peer declined last. */
        Incarnation declined;
        /** Server reserved by the owner, if that is another entry. */
        Incarnation reservedByOwner;
        bool isCleared = false;
        /** This entry lost a server with it or ran it again, so it tells its peers. */
        bool isOwn = false;
        TimePoint expiresAt;
        /** Last change that the peers have to confirm, or last word of a peer that runs a copy. */
        TimePoint heldSince;
        TimePoint ownerSeenAt;
        std::vector<PeerState> peers;
    };

    struct ServerWork
    {
        ServerId id;
        std::vector<Hash128> fingerprints;
    };

    using Records = std::unordered_map<Hash128, Record, FingerprintHash>;

    Record *findSuspect(const Hash128 &fingerprint, TimePoint now);
    Record &findOrAdd(const Hash128 &fingerprint, TimePoint now);
    void makeRoom(TimePoint now);
    /** Ends the work of a server; the loss is remembered under a name of its own. */
    void loseWork(Incarnation serverIncarnation, Incarnation lossName, TimePoint now);
    void addEvidence(const Hash128 &fingerprint, Incarnation lostServer, const ServerId &server, TimePoint now);
    void mergeRecord(const QuarantineRecord &received, Incarnation from, TimePoint now);
    void mergeEvidence(Record &record, const QuarantineRecord &received, TimePoint now);
    void confirmIfEqual(Record &record, const QuarantineRecord &received, Incarnation from, TimePoint now);
    bool mustDecline(const QuarantineRecord &received, Incarnation from, TimePoint now);
    void resolveReservation(const Record &other, TimePoint now);
    void changed(Record &record, TimePoint now);
    void release(Record &record, TimePoint now);
    bool isDue(const Record &record, const PeerState &peer, TimePoint now) const;
    bool isRefused(const Record &record, TimePoint now) const;
    QuarantineRecord toMessage(const Record &record, bool isReply, TimePoint now) const;
    static PeerState &peerState(Record &record, Incarnation peer);
    std::size_t copiesInFlight(const Hash128 &fingerprint) const;
    Incarnation serverOfCopy(const Hash128 &fingerprint) const;
    std::size_t otherSuspects(const Record &record, Incarnation server, TimePoint now);
    bool hasConfirmation(const Record &record) const;
    /** Neither running here nor about to. */
    bool isUnused(const Record &record, TimePoint now) const;

    Incarnation self_;
    Options options_;
    std::vector<Incarnation> peers_;
    Records records_;
    std::unordered_map<Incarnation, ServerWork> servers_;
    /** Servers on which each request is in flight, with one element for each attempt. */
    std::unordered_map<Hash128, std::vector<Incarnation>, FingerprintHash> inFlight_;
};

} // namespace hornbeamlane
