#pragma once

#include "hornbeamlane_messages/hornbeamlane_messages.h"
#include "hornbeamlane_orders/attempts/AttemptTracker.h"
#include "hornbeamlane_orders/claims/ClaimActions.h"

#include <functional>
#include <optional>
#include <string>

namespace hornbeamlane {

/**
    Entry-side state machine of one send of a keyed, unrepeatable request.

    Each input returns the actions to carry out, in order. The caller gets exactly one AnswerCaller or RefuseCaller;
    after it the coordinator may still have to record the result, until isFinished().

    "Not run" holds for the moment at which the row showed it. Another send of the same key that is still waiting at
    that moment may run afterwards.
*/
class ClaimCoordinator final
{
public:
    struct Request
    {
        TeamId team;
        std::string idempotencyKey;
        Hash128 digest;
        TimePoint deadline;
        /**
            Whether the caller may have sent the request before. "Not run" then needs evidence from the row, because an
            earlier send may have run through another entry. False only if the caller itself vouches for it.
        */
        bool mayBeResend = true;
    };

    /** A server and what its link last said about its agent. */
    struct Target
    {
        ServerId server;
        Incarnation agentIncarnation;
        /** The agent's clock as last received; an older value only shortens the dispatch window. */
        std::chrono::milliseconds agentTime{0};
    };

    struct Options
    {
        Request request;
        /** A new attempt of this entry; sequence numbers only grow. */
        std::function<AttemptId()> nextAttempt;
        /** Chooses the server of the next attempt; empty if there is none. */
        std::function<std::optional<Target>()> chooseTarget;
        /** Takes a retry from the retry budget; empty allows each. */
        std::function<bool(TimePoint)> takeRetry;

        std::chrono::milliseconds dispatchWindow{10'000};
        std::chrono::milliseconds queryInterval{200};
        /** Queries about another entry's attempt before its outcome is called unknown. */
        int maxQueries = 4;
        /** Tries of one table operation whose reply is lost. */
        int maxTableTries = 3;
        /** Claims and reads of one send; bounds the work when many entries contend for a row. */
        int maxRounds = 12;
        std::chrono::milliseconds recordInterval{5'000};
        /** How long a result is offered to the table again; agents keep it equally long. */
        std::chrono::milliseconds recordFor{600'000};

        /** Whether the claim is written before the dispatch. */
        std::function<bool()> claimsBeforeDispatch;
        /** Replaces the comparison of the attempt in the row with the entry's own. */
        std::function<bool(const ClaimRecord &row, const ClaimRecord &own)> isOwnClaim;
        /** Replaces the comparison of the request digests. */
        std::function<bool(const Hash128 &row, const Hash128 &own)> isSameRequest;
        /** Replaces the rule that only the incarnation that was meant can say that the attempt has not run. */
        std::function<bool(Incarnation sender, Incarnation target)> isCredibleSender;
        /** Whether an own claim is removed from the row before the caller is told "not run". */
        std::function<bool()> removesBeforeRefusal;
        /** Replaces the rule that "not run" without evidence from the row needs a first send. */
        std::function<bool(const Request &)> isFirstSend;
        /** Replaces the rule that a table reply after the deadline leads to no dispatch and to no "not run". */
        std::function<bool(TimePoint now, TimePoint deadline)> isCallerWaiting;
    };

    explicit ClaimCoordinator(Options options);

    ClaimActions start(TimePoint now);
    ClaimActions onTableReply(TableOperation operation, const TableReply &reply, TimePoint now);
    /** No byte of the dispatch left this process. */
    ClaimActions onDispatchNotSent(const AttemptId &attempt, TimePoint now);
    /** The whole response of the attempt, as checked by ResponseAssembler. */
    ClaimActions onResponse(const AttemptId &attempt, StoredResponse response, TimePoint now);
    /** The sender is the incarnation from the Hello of the link that carried the frame. */
    ClaimActions onRejected(const Rejected &rejected, Incarnation sender, TimePoint now);
    ClaimActions onAttemptStatus(const AttemptStatus &status, TimePoint now);
    /** The link to the server's agent broke, or a response on it failed its check. */
    ClaimActions onLinkLost(const ServerId &server, TimePoint now);
    /** A link to the server is up; the agent on it has this incarnation. */
    ClaimActions onLinkUp(const ServerId &server, Incarnation incarnation, TimePoint now);
    ClaimActions onTime(TimePoint now);

    /** When onTime() is next needed. */
    std::optional<TimePoint> nextWakeUp() const;

    bool isFinished() const
    {
        return phase_ == Phase::Finished;
    }

private:
    enum class Phase { Idle, Claiming, Reading, Executing, Querying, Recording, MarkingUnknown, Removing, Finished };

    ClaimActions take();
    void expectReply(Phase phase);
    bool mayRepeatOperation();

    void claim(RowVersion expectedVersion, TimePoint now);
    void onClaimWritten();
    void writeOwnClaim();
    void dispatch();
    void read();
    void inspectRow(const TableRow &row, TimePoint now);
    void query(const ClaimRecord &record, TimePoint now);
    void sendQuery(TimePoint now);
    void record(const ClaimRecord &claim, StoredResponse response, bool isReplay, TimePoint now);
    void writeRecord();
    void finishRecord(bool isConfirmed);
    void markUnknown(const ClaimRecord &claim);
    void onOwnNotRun(AttemptEnd how, const Refusal &refusal, TimePoint now);
    void removeClaim(const Refusal &refusal);
    void writeRemoval();

    void onClaimReply(const TableReply &reply);
    void onReadReply(const TableReply &reply, TimePoint now);
    void onRecordReply(const TableReply &reply, TimePoint now);
    void onRecordReadReply(const TableReply &reply);
    void onMarkReply(const TableReply &reply);
    void onRemoveReply(const TableReply &reply);
    void onDeadline();

    bool isOwnAttempt(const AttemptId &attempt) const;
    bool isQueryingOwn() const;
    /** What is true of the request while the row gives no evidence. */
    ExecutionState executionWithoutEvidence() const;
    void answer(bool isReplay);
    void refuse(RefusalReason reason, ExecutionState execution, const std::string &detail,
                std::optional<std::chrono::milliseconds> retryAfter = std::nullopt);
    void refuseWithoutEvidence(RefusalReason reason, const std::string &detail);
    void refuseUnknown(const char *detail);

    Options options_;
    AttemptTracker tracker_;
    std::string key_;
    Phase phase_ = Phase::Idle;
    ClaimActions actions_;
    bool isAnswered_ = false;

    TableOperation lastOperation_ = 0;
    /** Operation whose reply is awaited; 0 if none. */
    TableOperation pendingOperation_ = 0;
    int tableTries_ = 0;
    int rounds_ = 0;
    /** A try of the current write had no reply and may still take effect. */
    bool hasUnansweredWrite_ = false;

    ClaimRecord own_;
    bool isDispatched_ = false;
    /** Another claim was seen in the row. */
    bool hasForeignClaim_ = false;
    RowVersion version_;

    /** The claim that is queried, recorded or marked, and whether its agent said that it runs. */
    ClaimRecord found_;
    bool isFoundRunning_ = false;
    int queries_ = 0;
    TimePoint nextQueryAt_;

    StoredResponse response_;
    bool isReplay_ = false;
    bool isReadingRecord_ = false;
    std::optional<TimePoint> nextRecordAt_;
    TimePoint giveUpAt_;
    Refusal removalRefusal_;
};

} // namespace hornbeamlane
