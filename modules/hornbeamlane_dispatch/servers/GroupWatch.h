#pragma once

#include "hornbeamlane_dispatch/catalogue/DispatchCatalogue.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace hornbeamlane {

/** Place of a server in a group whose ranks run a model together. */
struct GroupPlace
{
    GroupId group;
    std::uint64_t epoch = 0;
    std::uint32_t rank = 0;
    std::uint32_t size = 1;
    /** A group with a lost rank serves nothing. */
    bool isOpen = false;

    bool operator==(const GroupPlace &) const = default;
};

/** What requests and their answers tell of groups before the entries of the ranks say so. */
class GroupWatch final
{
public:
    struct Options
    {
        /** Longest time for which a group stays closed after a rank's rejection; the group's entries follow by then. */
        std::chrono::milliseconds lostRankTime{3000};
        /** Ranks of a group that turn requests away, without any event of the group in between, before it counts as
            stalled. */
        std::size_t ranksOfStall = 2;
        /** Time within which they do so. */
        std::chrono::milliseconds evidenceTime{1000};
        /** Time after the last such rank for which nothing is sent to the group; the next request tries it again. */
        std::chrono::milliseconds stallTime{400};
        /** Time after which a broken group whose ranks are all listed again has formed, so that a request tries it: its
            entries may not tell while the store is away. */
        std::chrono::milliseconds formingTime{1500};
        /** Time between two such requests of this entry. */
        std::chrono::milliseconds trialInterval{500};
    };

    explicit GroupWatch(Options options);

    /** Whether the group may get requests, by the entry of one of its ranks and by what is known beside it. */
    bool isOpen(const GroupPlace &place, TimePoint now) const;

    /** A rank rejected a request that was sent in this epoch because another rank is lost. */
    void onRankLost(const GroupId &group, std::uint64_t epoch, TimePoint now);

    /** A rank with free places rejected a request that was sent in this epoch, or could not be reached. */
    void onRankTurnedAway(const GroupId &group, const ServerId &rank, std::uint64_t epoch, TimePoint now);

    /** An event of a stream came from the group, so it runs. Returns true if its entries still say that it is broken.
     */
    bool onProgress(const GroupPlace &place);

    /** A rank says that its group runs in this epoch. Returns true if that is news and its entries say that it is
     * broken.
     */
    bool onReportedOpen(const GroupPlace &place, std::uint64_t epoch, TimePoint now);

    /** Whether the group has answered or was reported open though its entries say that it is broken. */
    bool hasFormed(const GroupPlace &place) const;

    /** All ranks of a group that is broken by its entries are listed; the newest epoch that they tell. */
    void onAllRanksListed(const GroupId &group, std::uint64_t epoch, TimePoint now);

    /** Whether a request may try a group that is broken by its entries. */
    bool mayTry(const GroupPlace &place, TimePoint now) const;

    /** A request was sent to a rank. */
    void onSent(const GroupPlace &place, TimePoint now);

private:
    /** A group that was heard to have lost a rank in an epoch. */
    struct LostRank
    {
        std::uint64_t epoch = 0;
        TimePoint until;
    };

    /** Ranks of a group that turned requests away since its last event. */
    struct StallEvidence
    {
        std::uint64_t epoch = 0;
        std::set<ServerId> ranks;
        TimePoint lastAt;
        TimePoint closedUntil;
    };

    /** A group that is broken by its entries and whose ranks are all listed. */
    struct Forming
    {
        std::uint64_t epoch = 0;
        TimePoint since;
        std::optional<TimePoint> triedAt;
        /** An event has come from it. */
        bool hasFormed = false;
    };

    const Forming *formingOf(const GroupPlace &place) const;
    bool isClosedByAnswers(const GroupPlace &place, TimePoint now) const;

    Options options_;
    std::map<GroupId, Forming> forming_;
    std::map<GroupId, LostRank> lostRanks_;
    std::map<GroupId, StallEvidence> stalls_;
};

} // namespace hornbeamlane
