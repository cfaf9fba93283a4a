#pragma once

#include "hornbeamlane_gateway/crashes/CrashMessage.h"
#include "hornbeamlane_membership/table/TableClient.h"
#include "hornbeamlane_network/loop/Timer.h"
#include "hornbeamlane_routing/crashes/CrashEvidence.h"

#include <functional>
#include <string>
#include <vector>

namespace hornbeamlane {

/**
    Keeps the evidence of all entries in one row of the table service.

    The row reaches entries that no other entry reaches, and it outlasts a restart of all of them. Whoever knows
   something that it lacks adds that, under the condition that the row has not changed meanwhile.
*/
class CrashRow final
{
public:
    struct Options
    {
        /** Time for which a difference has to last before it is written, drawn between these bounds: mostly one entry
            writes for all, and what is cleared at once is not written. */
        std::chrono::milliseconds fromDelay{500};
        std::chrono::milliseconds toDelay{1500};
        /** Pause after a failed or repeated write; doubles up to the bound. */
        std::chrono::milliseconds firstPause{500};
        std::chrono::milliseconds maxPause{5000};
        /** Traits in the value at most, some ten bytes each; a crash counts as a few more. */
        std::size_t maxTraits = 3000;
    };

    struct Hooks
    {
        /** Writes the row if it has this version; version 0 means that there is none. */
        std::function<void(const std::string &value, RowVersion expected, TableClient::ReplyHandler)> write;
        std::function<std::chrono::system_clock::time_point()> timeOfDay;
        /** The row has changed what is known here. */
        std::function<void()> changed;
        /** The row tells of a crash. */
        std::function<void(const ServerCrash &, CrashNews)> told;
        /** It is known what the row holds, if there is one. */
        std::function<void()> read = [] {};
    };

    CrashRow(EventLoop &loop, RandomSource &random, CrashEvidence &evidence, Options options, Hooks hooks);

    /** The row as it stands now. */
    void onRow(const std::string &value, RowVersion version);

    void onRowRemoved();

    /** The table has come back from an older copy: what is known here stays, and is written to the row again. Call
        before onRow() tells of the row that is left. */
    void onRestored();

    /** The table has been read as a whole, and onRow() told of the row if there is one. */
    void onTableRead()
    {
        hooks_.read();
    }

    /** The evidence may have changed. */
    void check();

private:
    void write();
    void handleWritten(std::uint64_t digest, const TableReply &reply);
    /** What the row should hold: the newest crashes that fit, those that prove something before the others. */
    std::vector<ServerCrash> crashesToKeep() const;
    bool isUpToDate() const;

    EventLoop &loop_;
    RandomSource &random_;
    CrashEvidence &evidence_;
    Options options_;
    Hooks hooks_;
    Timer timer_;
    RowVersion version_;
    /** Digest of what the row holds. */
    std::uint64_t rowDigest_ = 0;
    /** Digest of what this entry wrote last. */
    std::uint64_t writtenDigest_ = 0;
    bool isWaiting_ = false;
    bool isWriting_ = false;
    /** The table was restored during the write, whose version means nothing any more. */
    bool isWriteOutdated_ = false;
    std::chrono::milliseconds pause_{0};
};

} // namespace hornbeamlane
