#pragma once

#include "hornbeamlane_base/time/Time.h"

#include <cstddef>
#include <functional>
#include <limits>
#include <unordered_set>

namespace hornbeamlane {

class MemoryHold;

/** Bytes that an entry may hold for its callers on a host with so many bytes of memory. */
std::size_t memoryLimitOf(std::size_t hostBytes);

/** What the bytes of a connection are held for. */
enum class HoldPhase {
    Idle, ///< There is no request.
    Reading, ///< A request that has not been read whole.
    Unread, ///< A complete answer that the caller has not taken.
    Running, ///< A request that has been read whole and may be at a server; it is never dropped.
};

/**
    Bytes that a process holds for all its connections, with one limit.

    While they do not fit, holds are dropped: first requests that have not been read whole, then complete answers that
    callers do not take, each time the largest, and of those of similar size the one that has taken the longest. A hold
    makes room for itself only at the cost of one that is at least twice as large or slow, so that what takes little is
    served beside what takes much. Requests that may be at a server displace the others and go over the limit if
    nothing is left to drop; whoever collects answers for them asks isShort() first.
*/
class MemoryAccount final
{
public:
    struct Options
    {
        /** Bytes of all holds together. */
        std::size_t limit = std::numeric_limits<std::size_t>::max();
        /** Bytes per second below which a caller is slow, after the grace time. Callers with the slowest links of the
            known deployments (28 Mbit/s for a whole entry) stay well above it. */
        std::size_t slowBytesPerSecond = 8 * 1024;
        std::chrono::milliseconds slowGrace{1000};
        /** Time for which a connection without a request is kept even if others need its descriptor. */
        std::chrono::milliseconds idleGrace{500};
    };

    /** Counts since the start. */
    struct Counters
    {
        std::size_t refused = 0;
        std::size_t droppedReading = 0;
        std::size_t droppedUnread = 0;
        std::size_t droppedForDescriptor = 0;
    };

    MemoryAccount();
    explicit MemoryAccount(Options options);

    MemoryAccount(const MemoryAccount &) = delete;
    MemoryAccount &operator=(const MemoryAccount &) = delete;

    std::size_t heldBytes() const
    {
        return held_;
    }

    std::size_t limit() const
    {
        return options_.limit;
    }

    /** Little is left, so that answers are collected with lower bounds. */
    bool isShort() const
    {
        return held_ > options_.limit - options_.limit / 4;
    }

    /** Drops one connection because its descriptor is needed; false if there is none that may be dropped. */
    bool dropForDescriptor(TimePoint now);

    const Counters &counters() const
    {
        return counters_;
    }

private:
    friend class MemoryHold;

    /** False if the bytes do not fit and nothing may be dropped for them; they are counted all the same. */
    bool makeRoomFor(const MemoryHold &hold, TimePoint now);
    MemoryHold *chooseToDrop(const MemoryHold &requester, TimePoint now) const;
    bool mayDisplace(const MemoryHold &requester, const MemoryHold &other, TimePoint now) const;
    bool isSlow(const MemoryHold &hold, TimePoint now) const;
    void drop(MemoryHold &hold);

    Options options_;
    std::size_t held_ = 0;
    std::unordered_set<MemoryHold *> holds_;
    Counters counters_;
};

/** The bytes of one connection. */
class MemoryHold final
{
public:
    /** `drop` has to lower the bytes, at once or by destroying the hold; it may be called from any resize(). */
    MemoryHold(MemoryAccount &account, std::function<void()> drop);
    ~MemoryHold();

    MemoryHold(const MemoryHold &) = delete;
    MemoryHold &operator=(const MemoryHold &) = delete;

    void enter(HoldPhase phase, TimePoint now);

    /** Sets the bytes held; false if the account has no room for them, and the owner has to give up what it reads. */
    bool resize(std::size_t bytes, TimePoint now);

    /** Bytes have come from the caller, or it has taken some. */
    void noteProgress(std::size_t bytes)
    {
        progress_ += bytes;
    }

    std::size_t bytes() const
    {
        return bytes_;
    }

    HoldPhase phase() const
    {
        return phase_;
    }

private:
    friend class MemoryAccount;

    MemoryAccount &account_;
    std::function<void()> drop_;
    HoldPhase phase_ = HoldPhase::Idle;
    TimePoint enteredAt_;
    /** The owner has been told to free it, which may take a turn of its loop; until then it is not chosen again. */
    bool isDropped_ = false;
    std::size_t bytes_ = 0;
    /** Bytes that have moved since the phase began. */
    std::size_t progress_ = 0;
};

} // namespace hornbeamlane
