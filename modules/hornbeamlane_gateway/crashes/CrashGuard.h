#pragma once

#include "hornbeamlane_gateway/crashes/CrashDetector.h"
#include "hornbeamlane_gateway/crashes/CrashExchange.h"
#include "hornbeamlane_gateway/crashes/CrashLog.h"
#include "hornbeamlane_gateway/crashes/CrashRow.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamlane {

/** Keeps requests that crash servers from reaching more of them: what a gateway asks before each sending. */
class CrashGuard final
{
public:
    enum class Decision {
        Send,
        Wait, ///< Another request tries the suspect; ask again shortly or after a change.
        Refuse,
    };

    struct Options
    {
        Incarnation incarnation;
        CrashEvidence::Options evidence;
        SuspectTrials::Options trials;
        /** Longest time from the first request on for which requests wait until this entry knows what the others do. */
        std::chrono::milliseconds learningTime{0};
    };

    struct Hooks
    {
        /** Requests without an answer that are at the server now. */
        std::function<std::vector<LostRequest>(const ServerId &)> unanswered;
        /** Decisions may be others now. */
        std::function<void()> changed;
        std::function<void(const std::string &bytes)> sendToAll;
        std::function<void(const std::string &address, const std::string &bytes)> sendTo;
        /** See CrashRow::Hooks. */
        std::function<void(const std::string &value, RowVersion expected, TableClient::ReplyHandler)> writeRow;
    };

    CrashGuard(EventLoop &loop, RandomSource &random, MetricsRegistry &metrics, const BackendBook &servers,
               Options options, Hooks hooks);

    /** Whether the request may be sent now; may make it the one that is tried. */
    Decision decide(RequestNumber request, const RequestTraits &traits);

    /** Whether requests like it are known to crash servers; unlike decide() also for one that has been sent. */
    bool isQuarantined(const RequestTraits &traits);

    /** Whether requests wait because this entry has just started. */
    bool isLearning() const
    {
        return !hasLearned_;
    }

    /** Why and for how long a request is refused. */
    struct Quarantine
    {
        Duration left{};
        std::vector<TraitHash> traits;
    };

    /** Only after Decision::Refuse. */
    Quarantine quarantineOf(const RequestTraits &traits);

    /** Whether the request is the one that shows whether its suspect traits crash servers. */
    bool isTrial(RequestNumber request) const
    {
        return trials_.hasClaim(request);
    }

    /** Servers on which this entry tries other suspects than this request, so that a crash tells which one it was; none
        for a request that is no suspect. */
    std::vector<ServerId> serversToAvoid(RequestNumber request) const;

    void onSent(RequestNumber request, const ServerId &server);

    /** A server has sent the head of an answer to a request of that time; a misdirected one shows another server there.
     */
    void onServerAnswered(const ServerStart &start, TimePoint sentAt, bool isMisdirected);

    /** A server has begun to answer the request and lives. */
    void onAnswerBegun(RequestNumber request, const std::string &attemptId, const RequestTraits &traits);

    /** The request is over, whatever has become of it. */
    void onRequestEnded(RequestNumber request);

    CrashDetector &detector()
    {
        return detector_;
    }

    CrashExchange &exchange()
    {
        return exchange_;
    }

    CrashRow &row()
    {
        return row_;
    }

    std::uint64_t digest() const
    {
        return evidence_.digest();
    }

    /** Traits because of which requests are refused. */
    std::size_t culpritCount();

    std::size_t crashCount() const
    {
        return evidence_.crashes().size();
    }

    void sweep();

private:
    void handleCrash(const ServerStart &start, CrashSign sign, const std::vector<LostRequest> &requests);
    /** What the requests that were lost at a server tell of its crashes, the last one at the end. */
    std::vector<ServerCrash> crashesOf(const ServerStart &start, const std::vector<LostRequest> &requests) const;
    void endTrial(RequestNumber request);
    /** Whether requests still have to wait until this entry knows what the others do. */
    bool mustLearn(TimePoint now);
    void noteLearned(std::string_view source);
    void handleChange();
    void logCulprits();

    EventLoop &loop_;
    const BackendBook &servers_;
    Hooks hooks_;
    CrashLog log_;
    CrashEvidence evidence_;
    SuspectTrials trials_;
    CrashDetector detector_;
    CrashExchange exchange_;
    CrashRow row_;
    std::map<RequestNumber, ServerId> running_;
    std::chrono::milliseconds learningTime_;
    /** Empty before the first request. */
    std::optional<TimePoint> learnsUntil_;
    bool hasLearned_ = false;
};

} // namespace hornbeamlane
