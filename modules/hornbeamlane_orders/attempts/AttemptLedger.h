#pragma once

#include "hornbeamlane_messages/hornbeamlane_messages.h"
#include "hornbeamlane_orders/claims/ClaimRecord.h"

#include <chrono>
#include <deque>
#include <functional>
#include <set>
#include <unordered_map>

namespace hornbeamlane {

/**
    Agent-side record of attempts: accepts each at most once, voids those that never arrived, keeps keyed results.

    All times are on the agent's clock, the one of its heartbeats. Only keyed attempts may be queried.
*/
class AttemptLedger final
{
public:
    struct Options
    {
        Incarnation incarnation;
        /** Longest time from the agent's clock to the end of a dispatch window, as entries compute it. */
        std::chrono::milliseconds dispatchWindow{10'000};
        std::chrono::milliseconds keepResultFor{600'000};
        /** Attempts that are running or whose outcome is kept. */
        std::size_t maxAttempts = 65'536;
        /** Beyond this all dispatch windows that exist are voided at once, which refuses work that is on its way. */
        std::size_t maxVoided = 131'072;
        /** Entry incarnations whose forgotten attempts are told from those that never arrived. */
        std::size_t maxEntries = 1'024;
        /** Longest result that is kept with its body; also the bytes reserved for each running keyed attempt. */
        std::size_t maxResultBytes = maxStoredBodySize;
        std::size_t maxKeptBytes = std::size_t{32} * 1024 * 1024;
        /** Replaces the comparison of the target incarnation with the ledger's own. */
        std::function<bool(Incarnation target, Incarnation own)> isOwnIncarnation;
        /** Replaces the check of the dispatch window. */
        std::function<bool(std::chrono::milliseconds validUntil, std::chrono::milliseconds now)> isWithinWindow;
        /** Replaces the rule that an attempt that was seen or voided is not accepted; true accepts it. */
        std::function<bool(const AttemptId &attempt)> acceptsAgain;
        /** Whether a query voids an attempt that never arrived. */
        std::function<bool(const AttemptId &attempt)> voidsOnQuery;
    };

    enum class Verdict {
        Accepted,
        Refused, ///< Send Rejected with the refusal.
        Ignored, ///< A copy of an accepted attempt; send nothing, because the first copy is answered.
    };

    struct Decision
    {
        Verdict verdict = Verdict::Refused;
        Refusal refusal;
    };

    explicit AttemptLedger(Options options);

    /** Every dispatch comes here first; admission control that then refuses it calls refuse(). */
    Decision accept(const Dispatch &dispatch, std::chrono::milliseconds now);

    /** The executor has answered in full. */
    void complete(const AttemptId &attempt, StoredResponse response, std::chrono::milliseconds now);

    /** The accepted attempt was refused before any byte reached the executor; it is voided. */
    void refuse(const AttemptId &attempt, std::chrono::milliseconds now);

    /** The executor was lost after it may have received a byte. */
    void lose(const AttemptId &attempt, std::chrono::milliseconds now);

    AttemptStatus query(const QueryAttempt &query, std::chrono::milliseconds now);

    void onRecorded(const ResultRecorded &recorded);

    /** Drops what is no longer needed; accept() and query() do so themselves. */
    void expire(std::chrono::milliseconds now);

    /** Attempts and voided attempts in memory. */
    std::size_t size() const
    {
        return records_.size();
    }

    /** Bytes of kept results and of reservations for running keyed attempts. */
    std::size_t keptBytes() const
    {
        return keptBytes_;
    }

private:
    struct Record
    {
        ExecutionState state = ExecutionState::Running;
        bool isKeyed = false;
        bool hasResponse = false;
        bool isRecorded = false;
        std::size_t bytes = 0;
        std::chrono::milliseconds validUntil{0};
        std::chrono::milliseconds forgetAt{std::chrono::milliseconds::max()};
        StoredResponse response;
    };

    Decision refusal(RefusalReason reason, ExecutionState execution, const char *detail) const;
    Decision refuseLate(const Dispatch &dispatch) const;
    Decision refuseFull(const Dispatch &dispatch, std::chrono::milliseconds now);
    bool hasRoom(bool isKeyed, std::chrono::milliseconds now);
    void voidAttempt(const AttemptId &attempt, std::chrono::milliseconds now);
    void end(const AttemptId &attempt, ExecutionState state, std::chrono::milliseconds now);
    void release(Record &record);
    void forget(const AttemptId &attempt);
    /** Whether an attempt without a record may have been accepted and forgotten. */
    bool mayBeForgotten(const AttemptId &attempt) const;

    Options options_;
    std::unordered_map<AttemptId, Record> records_;
    std::set<std::pair<std::chrono::milliseconds, AttemptId>> expiries_;
    std::deque<AttemptId> recorded_;
    std::size_t voided_ = 0;
    std::size_t keptBytes_ = 0;
    /** Dispatches with a window that ends by this time are void. */
    std::chrono::milliseconds voidedUntil_{std::chrono::milliseconds::min()};
    /** Highest forgotten sequence number of each entry. */
    std::unordered_map<Incarnation, std::uint64_t> forgotten_;
    bool hasForgottenEntries_ = false;
};

} // namespace hornbeamlane
