#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"

#include <cstdint>
#include <map>
#include <utility>

namespace hornbeamlane {

/**
    What starts of servers have asked of this entry in their answers.

    Kept apart from the list of servers: an entry of the list that lapses and comes back is still the same start.
   Another start has asked for nothing.
*/
class ServerNotices final
{
public:
    struct Options
    {
        /** Starts remembered at most; the one heard of first makes room. */
        std::size_t maxStarts = 1024;
        /** Time for which a start is remembered, beside a pause that it asked for; one that leaves is gone well before.
         */
        std::chrono::minutes memory{60};
    };

    ServerNotices();
    explicit ServerNotices(Options options);

    /** The start wants no further requests, as it leaves; true if that is news. */
    bool onLeaving(const ServerId &server, std::uint64_t incarnation, TimePoint now);

    bool isLeaving(const ServerId &server, std::uint64_t incarnation) const;

    /** The start wants nothing until then; true if that is later than what it asked for before. */
    bool onPause(const ServerId &server, std::uint64_t incarnation, TimePoint until, TimePoint now);

    /** Until when the start wants nothing; in the past if it never asked for that. */
    TimePoint pausedUntil(const ServerId &server, std::uint64_t incarnation) const;

    /** Forgets what is too old. */
    void expire(TimePoint now);

private:
    using Start = std::pair<ServerId, std::uint64_t>;

    struct Notice
    {
        TimePoint heardAt;
        bool isLeaving = false;
        TimePoint pausedUntil;
    };

    Notice &findOrAdd(const Start &start, TimePoint now);

    Options options_;
    std::map<Start, Notice> notices_;
};

} // namespace hornbeamlane
