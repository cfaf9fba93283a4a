#pragma once

#include "hornbeamlane_membership/table/TableClient.h"
#include "hornbeamlane_network/loop/Timer.h"

#include <functional>
#include <string>
#include <vector>

namespace hornbeamlane {

/** A row as a table feed gives it. */
struct TableChange
{
    std::string key;
    RowVersion version;
    std::string value;
    bool isRemoved = false;
};

/** Answer to a read of a whole table or of its changes. */
struct TableFeedReply
{
    enum class Status {
        Ok,
        HistoryGone, ///< The changes since the given version are no longer kept; the table has to be read anew.
        Unavailable,
    };

    Status status = Status::Unavailable;
    std::vector<TableChange> rows;
    /** Version up to which the rows are complete. */
    RowVersion version;
    /** Era in which the store answered, if it tells. */
    std::optional<TableEra> era = std::nullopt;
};

/** The reads that following a table needs. Replies come later, on the same thread, each exactly once. */
struct TableFeed
{
    using Handler = std::function<void(const TableFeedReply &)>;

    std::function<void(const std::string &table, Handler)> readAll;
    /** Answers as soon as there is a change, or with none after the wait. */
    std::function<void(const std::string &table, RowVersion since, std::chrono::milliseconds wait, Handler)>
        readChanges;
};

/** Keeps up with one table: reads it whole, then waits for its changes, and reads it anew when it lost track. */
class TableFollower final
{
public:
    struct Options
    {
        std::string table;
        /** Longest wait for a change while nobody else would tell of it; bounds how long silence goes unnoticed. */
        std::chrono::milliseconds wait{2500};
        /** The same if others follow the table too: for each of them, and at most. */
        std::chrono::milliseconds waitPerPeer{400};
        std::chrono::milliseconds maxWait{9000};
        /** Pause after a change, so that changes in quick succession come with one answer. */
        std::chrono::milliseconds changePause{350};
        /** Longest time by which another process may be ahead: a wait that has not told of its change is then given up.
         */
        std::chrono::milliseconds maxPeerLead{450};
        /** Time after which what other processes tell is no longer believed, unless the store confirms it. It is as
           long as the longest wait, after which the store is asked anew in any case. */
        std::chrono::milliseconds peerExpiry{9000};
        /** Pause after a failure; doubles up to the bound. */
        std::chrono::milliseconds firstPause{150};
        std::chrono::milliseconds maxPause{800};
    };

    struct Callbacks
    {
        /** All rows; those not named are not there. */
        std::function<void(const std::vector<TableChange> &)> snapshot;
        std::function<void(const std::vector<TableChange> &)> changes;
        /** Contact to the store was lost or is back. */
        std::function<void(bool isReachable)> reachable;
        /** Processes that follow the table too and tell what they have seen. */
        std::function<std::size_t()> peers;
        /** The table is read for the first time in this era; called before the snapshot with the rows that are left. */
        std::function<void()> restored = [] {};
        /** All rows are known up to a later version; called after their changes. */
        std::function<void()> advanced = [] {};
    };

    TableFollower(EventLoop &loop, RandomSource &random, TableFeed feed, Options options, Callbacks callbacks);

    void start();
    void stop();

    /** Newest version of a row that has been seen. */
    RowVersion newestRow() const
    {
        return newestRow_;
    }

    /** The same for the other processes. */
    TableVersion newest() const
    {
        return {.version = newestRow_.value(), .era = era_};
    }

    /** Version up to which all rows are known. */
    TableVersion complete() const
    {
        return {.version = version_.value(), .era = era_};
    }

    /** Asks at once, and until all rows are known up to this version of the store, without waiting for a change. */
    void catchUp(const TableVersion &version);

    /** The changes that are being handed out are likely to be followed by others at once: there is no pause after them.
     */
    void skipNextPause()
    {
        skipsNextPause_ = true;
    }

    /** Another process has seen a row of this version; a wait that has not told of it by now is given up. Versions of
       an earlier era, or of an era that is not told, say nothing about rows of this one. */
    void onPeerVersion(const TableVersion &seen);

    /** The store has come back from an older copy: what is waited for may never come. */
    void onEraRisen(TableEra era);

private:
    void read();
    void watch();
    std::chrono::milliseconds nextWait();
    void noteRows(const std::vector<TableChange> &rows);
    /** Version up to which the store has told all rows, or a newer one of a row. */
    RowVersion knownVersion() const;
    bool isMissing() const;
    bool isBehind() const
    {
        return version_ < wantedVersion_;
    }
    void checkMissing();
    /** What others have told is no longer waited for; their telling the same again changes nothing. */
    void expirePeerVersion();
    bool isOfEarlierEra(const TableFeedReply &reply) const;
    bool isOfLaterEra(const TableFeedReply &reply) const;
    void readAnew();
    void handleSnapshot(const TableFeedReply &reply);
    /** `wanted` is what was wanted when the store was asked. */
    void handleChanges(const TableFeedReply &reply, RowVersion wanted);
    void noteAnswer();
    void retryLater();

    EventLoop &loop_;
    RandomSource &random_;
    TableFeed feed_;
    Options options_;
    Callbacks callbacks_;
    Timer timer_;
    bool hasSnapshot_ = false;
    /** A whole read is needed before changes make sense. */
    bool needsRead_ = true;
    bool isReachable_ = true;
    bool isStopped_ = false;
    RowVersion version_;
    bool skipsNextPause_ = false;
    /** Version up to which all rows are wanted; see catchUp(). */
    RowVersion wantedVersion_;
    RowVersion newestRow_;
    /** Era of all versions here; empty while the store has told none. */
    std::optional<TableEra> era_;
    /** Newest row that others have told of. */
    RowVersion peerVersion_;
    /** Others have seen a later era than this process. */
    bool hasPeerLaterEra_ = false;
    /** The store has not confirmed this version, or a later era, in time; others are not believed from there on. */
    std::optional<RowVersion> unconfirmedVersion_;
    bool isLaterEraUnconfirmed_ = false;
    /** When something that others have told began to be missing, and when the store was last asked for it. */
    TimePoint missingFrom_;
    TimePoint missingSince_;
    Timer missingTimer_;
    /** Number of the call whose answer counts; answers to calls that were given up are ignored. */
    std::uint64_t callNumber_ = 0;
    std::chrono::milliseconds pause_{0};
};

} // namespace hornbeamlane
