#include "hornbeamlane_gateway/queue/PlaceWait.h"

#include <algorithm>
#include <utility>

namespace hornbeamlane {

namespace {

using std::chrono::milliseconds;

/** Longest wait of a request that has missed its target; callers give up two seconds after their request. */
constexpr milliseconds lateWait{1400};

/** Larger priorities rank alike, so that the rank does not overflow. */
constexpr std::uint32_t largestPriority = 1000000;

/** Wait for a place for the rest of a stream that broke off; callers give up after a pause of about two seconds. */
constexpr milliseconds resumeWait{1200};

} // namespace

PlaceWait::PlaceWait(ServiceQueues &queues, Options options)
    : queues_(queues)
    , options_(std::move(options))
{
}

PlaceWait::~PlaceWait()
{
    leave();
}

std::uint32_t PlaceWait::rank(Stage stage) const
{
    // A stream that has begun comes first: its caller has waited longest and its place was counted already.
    if (stage == Stage::Streaming) {
        return 0;
    }
    // Late requests get what those that can be on time leave, however urgent they are.
    return 1 + std::min(options_.priority, largestPriority) + (options_.isLate ? largestPriority + 1 : 0);
}

bool PlaceWait::isBehindOthers(Stage stage) const
{
    return queues_.isAnyWaiting(options_.service, rank(stage));
}

Duration PlaceWait::longestWait(Stage stage, TimePoint now) const
{
    if (stage == Stage::Streaming) {
        return resumeWait;
    }
    // A request that cannot be on time any more leaves its place to one that can.
    const Duration target = options_.latencyTarget;
    const auto atServer =
        options_.kind == RequestKind::Stream ? queues_.of(options_.service).firstEventLatency : target / 2;
    return std::max<Duration>(target - atServer, target / 8) - (now - options_.arrivedAt);
}

bool PlaceWait::join(Stage stage, TimePoint now, const std::weak_ptr<ForwardedRequest> &request)
{
    const auto wait = longestWait(stage, now);
    // The rest of a stream is waited for also if its first event was late.
    const bool mayBeWanted = stage == Stage::Streaming || !options_.isLate;
    if (mayBeWanted && wait > Duration::zero() && !queues_.isRateTooLow(options_.service, wait)) {
        take(stage, now + wait, request);
        return true;
    }
    return joinAsLate(stage, now, request);
}

bool PlaceWait::joinAsLate(Stage stage, TimePoint now, const std::weak_ptr<ForwardedRequest> &request)
{
    const auto arrivedAt = options_.arrivedAt;
    const auto latest = arrivedAt + std::min<Duration>(lateWait, (options_.deadline - arrivedAt) / 3);
    if (now >= latest || options_.kind != RequestKind::Stream || queues_.isBacklogTooLong(options_.service)
        || queues_.isRateTooLow(options_.service, latest - now)) {
        return false;
    }
    options_.isLate = true;
    take(stage, latest, request);
    return true;
}

void PlaceWait::take(Stage stage, TimePoint latestStart, const std::weak_ptr<ForwardedRequest> &request)
{
    ticket_ = queues_.join(
        options_.service,
        {.rank = rank(stage), .team = options_.team, .latestStart = std::min(latestStart, options_.deadline)}, request);
}

void PlaceWait::leave()
{
    if (ticket_) {
        queues_.leave(options_.service, *std::exchange(ticket_, std::nullopt));
    }
}

} // namespace hornbeamlane
