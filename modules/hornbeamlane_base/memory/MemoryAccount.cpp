#include "hornbeamlane_base/memory/MemoryAccount.h"

#include <algorithm>
#include <bit>
#include <tuple>
#include <utility>

namespace hornbeamlane {

namespace {

constexpr std::size_t megabyte = 1024 * 1024;

/** Memory of the process without requests: program, tables, maps, metrics and the log. */
constexpr std::size_t ownMemory = 48 * megabyte;

/** Room for one request of the largest size with its copy for the server, and for ordinary ones beside it. */
constexpr std::size_t smallestLimit = 16 * megabyte;

/** Part of what is left that may be held; the rest is for memory that is freed but not yet given back. */
constexpr std::size_t heldShare = 2;

} // namespace

std::size_t memoryLimitOf(std::size_t hostBytes)
{
    return std::max(smallestLimit, (std::max(hostBytes, ownMemory) - ownMemory) / heldShare);
}

MemoryAccount::MemoryAccount()
    : MemoryAccount(Options())
{
}

MemoryAccount::MemoryAccount(Options options)
    : options_(options)
{
}

bool MemoryAccount::isSlow(const MemoryHold &hold, TimePoint now) const
{
    const auto time = now - hold.enteredAt_;
    if (time < options_.slowGrace) {
        return false;
    }
    const auto expected =
        std::chrono::duration<double>(time).count() * static_cast<double>(options_.slowBytesPerSecond);
    return static_cast<double>(hold.progress_) < expected;
}

bool MemoryAccount::mayDisplace(const MemoryHold &requester, const MemoryHold &other, TimePoint now) const
{
    if (&other == &requester || other.isDropped_) {
        return false;
    }
    switch (other.phase_) {
    case HoldPhase::Reading:
        return requester.phase_ == HoldPhase::Running || other.bytes_ / 2 >= requester.bytes_ || isSlow(other, now);
    case HoldPhase::Unread:
        // The answer has been paid for at a server, so what has not been there yet displaces it only if it is slow.
        return isSlow(other, now) || (requester.phase_ == HoldPhase::Running && other.bytes_ / 2 >= requester.bytes_);
    case HoldPhase::Idle:
    case HoldPhase::Running:
        return false;
    }
    return false;
}

MemoryHold *MemoryAccount::chooseToDrop(const MemoryHold &requester, TimePoint now) const
{
    const auto rank = [](const MemoryHold &hold) {
        return std::tuple(hold.phase_ == HoldPhase::Reading, std::bit_width(hold.bytes_),
                          -hold.enteredAt_.time_since_epoch());
    };
    MemoryHold *chosen = nullptr;
    for (auto *hold : holds_) {
        if (hold->bytes_ > 0 && mayDisplace(requester, *hold, now)
            && (chosen == nullptr || rank(*hold) > rank(*chosen))) {
            chosen = hold;
        }
    }
    return chosen;
}

bool MemoryAccount::makeRoomFor(const MemoryHold &hold, TimePoint now)
{
    while (held_ > options_.limit) {
        auto *other = chooseToDrop(hold, now);
        if (other == nullptr) {
            const bool mayGoOver = hold.phase_ == HoldPhase::Running;
            counters_.refused += mayGoOver ? 0 : 1;
            return mayGoOver;
        }
        ++(other->phase_ == HoldPhase::Reading ? counters_.droppedReading : counters_.droppedUnread);
        drop(*other);
    }
    return true;
}

void MemoryAccount::drop(MemoryHold &hold)
{
    // The bytes go with the decision: the owner may need a turn of its loop to free them.
    held_ -= std::exchange(hold.bytes_, 0);
    hold.phase_ = HoldPhase::Idle;
    hold.isDropped_ = true;
    hold.drop_();
}

bool MemoryAccount::dropForDescriptor(TimePoint now)
{
    const auto mayDrop = [&](const MemoryHold &hold) {
        switch (hold.phase_) {
        case HoldPhase::Idle:
            return now - hold.enteredAt_ >= options_.idleGrace;
        case HoldPhase::Reading:
        case HoldPhase::Unread:
            return isSlow(hold, now);
        case HoldPhase::Running:
            return false;
        }
        return false;
    };
    MemoryHold *chosen = nullptr;
    for (auto *hold : holds_) {
        if (!hold->isDropped_ && mayDrop(*hold)
            && (chosen == nullptr
                || std::tuple(hold->phase_, hold->enteredAt_) < std::tuple(chosen->phase_, chosen->enteredAt_))) {
            chosen = hold;
        }
    }
    if (chosen == nullptr) {
        return false;
    }
    ++counters_.droppedForDescriptor;
    drop(*chosen);
    return true;
}

MemoryHold::MemoryHold(MemoryAccount &account, std::function<void()> drop)
    : account_(account)
    , drop_(std::move(drop))
{
    account_.holds_.insert(this);
}

MemoryHold::~MemoryHold()
{
    account_.held_ -= bytes_;
    account_.holds_.erase(this);
}

void MemoryHold::enter(HoldPhase phase, TimePoint now)
{
    phase_ = phase;
    isDropped_ = false;
    enteredAt_ = now;
    progress_ = 0;
}

bool MemoryHold::resize(std::size_t bytes, TimePoint now)
{
    const bool needsRoom = bytes > bytes_ && (phase_ == HoldPhase::Reading || phase_ == HoldPhase::Running);
    account_.held_ -= bytes_;
    account_.held_ += bytes;
    bytes_ = bytes;
    return !needsRoom || account_.makeRoomFor(*this, now);
}

} // namespace hornbeamlane
