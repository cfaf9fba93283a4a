#pragma once

#include "hornbeamlane_routing/crashes/RequestTraits.h"

#include <unordered_map>
#include <vector>

namespace hornbeamlane {

/**
    Names a crash by how many crashes of its server are known before it.

    Nothing that the server or the table says of its starts is needed: a request that was sent after one crash and is
    lost with its server belongs to the next.
*/
struct CrashName
{
    ServerKey server;
    std::uint32_t number = 0;

    CrashId id() const;
};

/**
    What is known of the end of one server process.

    All lists only grow, so that the knowledge of two entries is merged by the union of theirs, in any order.
*/
struct ServerCrash
{
    CrashId id;
    TimePoint at;
    CrashName name;
    std::vector<CrashCandidate> candidates;
    /** Traits of candidates with which a server has begun an answer since: they did not cause this crash. */
    std::vector<TraitHash> cleared;
    /** Parts of candidates, and candidates as a whole, with which servers had begun answers before: seldom the cause.
     */
    std::vector<TraitHash> begunBefore;
    /** Requests of the candidates' origins that have been answered since; at most soundRequestsToClear of each. */
    std::vector<SoundRequest> soundSince;
    /** Another start of the server has been seen; before that it may only be cut off. */
    bool isConfirmed = false;
    /** What seems to be the same start of the server has answered soon after. */
    bool isRefuted = false;

    /** Whether the server seems not to have crashed: it has answered since, and no other start of it has been seen. */
    bool isVoid() const
    {
        return isRefuted && !isConfirmed;
    }

    /** Whether the answer to a candidate had begun. */
    bool hasHead() const;

    /** Candidates that may have caused the crash: those whose answer had begun, or all if there is none. */
    std::vector<const CrashCandidate *> likelyCandidates() const;

    bool isCleared(TraitHash trait) const;
    bool hadBegunBefore(TraitHash trait) const;

    /** Whether requests of the origin have been answered since, enough to outweigh this crash. */
    bool isOutweighed(TraitHash origin) const;

    /** True if the request counts and was not known. */
    bool addSound(const SoundRequest &request);
};

/** Sound requests of an origin that outweigh one crash. */
constexpr std::size_t soundRequestsToClear = 3;

/** The crash as it is told to others, and back. */
CrashRecord toRecord(const ServerCrash &crash, TimePoint now);
ServerCrash fromRecord(const CrashRecord &record, TimePoint now);

/**
    Whether the crash proves nothing any more: it is void, or all parts of its likely candidates are cleared, and in
    both cases no request at it was at another crash as a whole. A candidate without parts is judged as a whole.
*/
bool isSettled(const ServerCrash &crash, const std::vector<ServerCrash> &all);

/** At how many crashes each trait was, and when last, unless it has been cleared of them. */
class TraitHistory final
{
public:
    explicit TraitHistory(const std::vector<ServerCrash> &crashes);

    /** Whether a trait of the crash was at another one too, or a request without parts was, which is judged as a whole.
     */
    bool mayComeAgain(const ServerCrash &crash) const;

    /** The last crash that has a trait in common with this one, which may be itself. */
    TimePoint lastLike(const ServerCrash &crash) const;

private:
    struct Occurrences
    {
        std::size_t crashes = 0;
        TimePoint lastAt;
    };

    std::unordered_map<TraitHash, Occurrences> traits_;
};

} // namespace hornbeamlane
