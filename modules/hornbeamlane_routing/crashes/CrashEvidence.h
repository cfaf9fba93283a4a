#pragma once

#include "hornbeamlane_routing/crashes/CrashFindings.h"
#include "hornbeamlane_routing/crashes/RecentTraits.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace hornbeamlane {

/** What becomes of a crash that is told. */
enum class CrashNews {
    New,
    More, ///< It was known, but not all of this.
    Known,
    WithoutRequests, ///< Left out: no request was at the server.
    Settled, ///< Left out: it proves nothing.
    Expired, ///< Left out: it is too old.
    NoRoom, ///< Left out: enough newer ones are known.
};

std::string_view toString(CrashNews news);

/**
    Remembers what was at servers when they crashed and judges requests by it.

    Entries exchange their crashes; the knowledge of all of them is merged in any order and any number of times.
*/
class CrashEvidence final
{
public:
    enum class Verdict {
        Allowed,
        Suspect, ///< It may crash its server: to be run alone, to find out.
        Quarantined, ///< It has crashed servers: to be refused.
    };

    struct Options
    {
        CrashRules rules;
        /** Crashes remembered at most; those that prove nothing any more make room first, then the oldest. */
        std::size_t maxCrashes = 128;
        /** Requests remembered of a crash; a server seldom has more without an answer. */
        std::size_t maxCandidates = 24;
        /** Parts remembered of one candidate; those that are not proven come first. */
        std::size_t maxParts = 32;
        /** Parts and whole requests, each, that are remembered because answers have begun with them. */
        std::size_t maxBegun = 8192;
        /** Share of all servers that may crash at the same moment by requests; see CrashRules::mostTogether. */
        double shareTogether = 0.15;
        /** Time for which a crash is kept that proves nothing any more, so that peers hear of it. */
        std::chrono::milliseconds settledTime = std::chrono::seconds(30);
    };

    CrashEvidence();
    explicit CrashEvidence(Options options);

    Verdict judge(const RequestTraits &traits, TimePoint now);

    /** Those of the traits that may crash a server. */
    std::vector<TraitHash> suspectsAmong(const RequestTraits &traits, TimePoint now);

    /** Those because of which the request is quarantined. */
    std::vector<Culprit> culpritsOf(const RequestTraits &traits, TimePoint now);

    /** A server has ended without having announced it. */
    CrashNews learn(const ServerCrash &crash, TimePoint now);

    /** The same; true if that tells something new. */
    bool onCrash(const ServerCrash &crash, TimePoint now);

    /** A server has begun an answer to a request and lives; true if that clears something of these crashes. */
    bool onAnswerBegun(const RequestTraits &traits, std::vector<CrashId> &cleared);

    /** The start of the server that was taken for crashed has answered; true if that is news. */
    bool onRefuted(CrashId id);

    /** Another start of the server has been seen; true if that is news. */
    bool onConfirmed(CrashId id);

    /** The crash with which a request was lost that had been sent to the server then: the first one known after that
        moment, or the next one, of which nothing is known yet. */
    CrashName nameOf(ServerKey server, TimePoint sentAt) const;

    /** When the server is thought to have crashed; empty if the crash is not known. */
    std::optional<TimePoint> timeOf(CrashId id) const;

    /** The last crash of the server that is known before that moment; null if there is none. Valid until the next
        change. */
    const ServerCrash *lastCrashOf(ServerKey server, TimePoint before) const;

    /** Servers that there are, of which a few may crash at the same moment by requests. */
    void setServerCount(std::size_t servers);

    /** Forgets what is too old; returns the crashes that it forgot. */
    std::vector<ServerCrash> expire(TimePoint now);

    const std::vector<ServerCrash> &crashes() const
    {
        return crashes_;
    }

    const CrashFindings &findings(TimePoint now);

    /** Equal for two entries that know the same of crashes that still matter; 0 if there are none. */
    std::uint64_t digest() const;

private:
    /** Why a crash that is not known is left out, seen beside these others; empty if it is remembered. */
    std::optional<CrashNews> reasonToLeaveOut(const ServerCrash &crash, const std::vector<ServerCrash> &all,
                                              TimePoint now) const;
    /** Remembers what has been set aside and means something now. */
    void takeUpSetAside(TimePoint now);
    bool add(const ServerCrash &crash);
    ServerCrash *find(CrashId id);
    const ServerCrash *find(CrashId id) const;
    ServerCrash &findOrAdd(const ServerCrash &crash);
    bool addCandidate(ServerCrash &crash, const CrashCandidate &candidate);
    bool merge(CrashCandidate &known, const CrashCandidate &candidate) const;
    std::vector<TraitHash> partsToKeep(const CrashCandidate &candidate) const;
    /** Marks parts and requests with which this entry has seen answers begin. */
    bool markBegunBefore(ServerCrash &crash) const;
    /** Holds a request that was answered against a crash at which its origin was; empty if there is none. */
    std::optional<CrashId> noteSound(const RequestTraits &traits);
    void makeRoom();
    /** Whether the first of two crashes is forgotten before the other. */
    bool isLess(const ServerCrash &a, const ServerCrash &b) const;
    /** Whether the crash would be the first to be forgotten because there are too many. */
    bool isLeast(const ServerCrash &crash) const;
    /** Whether the crash is too old, seen beside these others. */
    bool hasExpired(const ServerCrash &crash, const std::vector<ServerCrash> &all, const TraitHistory &history,
                    TimePoint now) const;
    /** The crashes have changed, so what was concluded from them is outdated. */
    void noteChange(bool hasChanged);

    Options options_;
    std::vector<ServerCrash> crashes_;
    /** Left out since the last expire(), as they mean nothing by themselves; another crash may give them a meaning. */
    std::vector<ServerCrash> setAside_;
    CrashFindings findings_;
    bool isOutdated_ = false;
    /** Empty after a change; each message to and from a peer asks for it. */
    mutable std::optional<std::uint64_t> digest_;
    /** Traits of all candidates; a request with none of them needs no closer look. */
    std::unordered_set<TraitHash> watched_;
    RecentTraits begunParts_;
    RecentTraits begunRequests_;
};

/** See CrashEvidence::digest(). */
std::uint64_t digestOf(const std::vector<ServerCrash> &crashes);

} // namespace hornbeamlane
