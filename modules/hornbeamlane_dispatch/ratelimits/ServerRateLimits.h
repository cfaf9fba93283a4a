#pragma once

#include "hornbeamlane_dispatch/ratelimits/SharedRate.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace hornbeamlane {

/** Short name of one start of a server, the same at all entries. */
using ServerStartHash = std::uint32_t;

ServerStartHash hashOfStart(const ServerId &server, std::uint64_t incarnation);

/** What one entry tells the others of a server that has named a limit. */
struct RateLimitReport
{
    ServerStartHash server = 0;
    /** Requests a second that the server takes from all entries together; empty if it names no limit any more. */
    std::optional<double> perSecond;
    /** When an answer showed that, on the clock of the process that holds the report. */
    TimePoint shownAt;
    /** Requests that the entry has sent to the server since it knows of a limit. */
    std::uint32_t sent = 0;

    bool operator==(const RateLimitReport &) const = default;
};

/** Limits on requests a second, over all entries together, that servers name in their answers. */
class ServerRateLimits final
{
public:
    struct Options
    {
        SharedRate::Options rate;
        /** A limit that no answer has confirmed for this time is forgotten: the server may be gone. */
        std::chrono::seconds memory{600};
        /** Servers remembered at most; the next answer of a further one is looked at anew. */
        std::size_t maxServers = 4096;
        /** What an entry has sent while it was not heard for this time is not counted when it is heard again. */
        std::chrono::milliseconds silence{1500};
        /** Differences between the times of two reports that come from their ways only. */
        std::chrono::milliseconds timeTolerance{20};
    };

    enum class Change { None, Named, Changed, Lifted };

    ServerRateLimits();
    explicit ServerRateLimits(Options options);

    /** An answer of the server has named a limit. */
    Change onNamed(ServerStartHash server, double perSecond, TimePoint now);

    /** An answer to a request of that time has named none. */
    Change onNoneNamed(ServerStartHash server, TimePoint sentAt, TimePoint now);

    /** Another entry, in the start that the incarnation names, has told this. */
    Change onReport(Incarnation sender, const RateLimitReport &report, TimePoint now);

    /** Requests a second; empty if the server takes as many as it can. */
    std::optional<double> limitOf(ServerStartHash server) const;

    /** Whether this entry may send a request to the server now; always if the server has named no limit. */
    bool maySend(ServerStartHash server, const SharedRate::Share &share, TimePoint now, RandomSource &random);

    void onSent(ServerStartHash server, TimePoint now);

    /** What this entry has to tell of all servers, or of those with news since a moment. */
    std::vector<RateLimitReport> reports(std::optional<TimePoint> newsSince = std::nullopt) const;

    /** No server has named a limit. */
    bool isEmpty() const
    {
        return records_.empty();
    }

    void sweep(TimePoint now);

private:
    /** What another entry has told last of its sendings to a server. */
    struct Sender
    {
        std::uint32_t sent = 0;
        TimePoint heardAt;
    };

    struct Record
    {
        /** Empty once an answer has named no limit any more. */
        std::optional<double> perSecond;
        /** When an answer came that named it, or when the request was sent whose answer named none. */
        TimePoint shownAt;
        SharedRate rate;
        std::uint32_t sent = 0;
        std::map<Incarnation, Sender> senders;
        /** When there was something to tell last. */
        TimePoint newsAt;
    };

    /** Null if no more servers can be remembered. */
    Record *find(ServerStartHash server);
    Record *findOrAdd(ServerStartHash server);
    Change setLimit(Record &record, std::optional<double> perSecond, TimePoint shownAt, TimePoint now);
    void countSendings(Record &record, Incarnation sender, std::uint32_t sent, TimePoint now);

    Options options_;
    std::map<ServerStartHash, Record> records_;
};

} // namespace hornbeamlane
