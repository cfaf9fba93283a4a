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
        /** Longest wait for a change; bounds the time for which a silent connection goes unnoticed. */
        std::chrono::milliseconds wait{2500};
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
    };

    TableFollower(EventLoop &loop, TableFeed feed, Options options, Callbacks callbacks);

    void start();
    void stop();

    bool hasSnapshot() const
    {
        return hasSnapshot_;
    }

    /** Time of the last answer. */
    TimePoint lastAnswer() const
    {
        return lastAnswer_;
    }

private:
    void read();
    void watch();
    void handleSnapshot(const TableFeedReply &reply);
    void handleChanges(const TableFeedReply &reply);
    void noteAnswer();
    void retryLater();

    EventLoop &loop_;
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
    std::chrono::milliseconds pause_{0};
    TimePoint lastAnswer_;
};

} // namespace hornbeamlane
