#include "hornbeamlane_dispatch/pace/ConcurrencyGovernor.h"

#include <algorithm>

namespace hornbeamlane {

namespace {

/** Weight of one first event in the moving average of their latency. */
constexpr double latencyWeight = 0.08;

} // namespace

ConcurrencyGovernor::ConcurrencyGovernor()
    : ConcurrencyGovernor(Options())
{
}

ConcurrencyGovernor::ConcurrencyGovernor(Options options)
    : options_(options)
    , share_(options.largestShare)
{
}

void ConcurrencyGovernor::onPause(Duration pause, std::chrono::milliseconds target, TimePoint now)
{
    if (target <= std::chrono::milliseconds(0)) {
        return;
    }
    if (samples_.empty()) {
        windowStart_ = now;
    }
    samples_.push_back(std::chrono::duration<double>(pause) / std::chrono::duration<double>(target));
}

void ConcurrencyGovernor::onFirstEvent(Duration latency)
{
    const auto change = std::chrono::duration<double>(latency - firstEventLatency_) * latencyWeight;
    firstEventLatency_ += std::chrono::duration_cast<Duration>(change);
}

void ConcurrencyGovernor::update(std::uint32_t inFlight, std::uint32_t places, TimePoint now)
{
    if (places == 0 || samples_.size() < options_.minSamples || now - windowStart_ < options_.window) {
        return;
    }
    const auto at = static_cast<std::ptrdiff_t>(options_.quantile * static_cast<double>(samples_.size() - 1));
    std::nth_element(samples_.begin(), samples_.begin() + at, samples_.end());
    lastPressure_ = samples_[static_cast<std::size_t>(at)];
    samples_.clear();
    isMeasured_ = true;
    const double used = static_cast<double>(inFlight) / places;
    // Pauses fall at most in proportion to the requests. If that is not enough at the smallest bound, it is not the
    // load that makes them long, as with a rank that is many times slower, and a lower bound would only refuse more
    // callers.
    isTargetOutOfReach_ = lastPressure_ * options_.smallestShare > options_.shrinkAbove * used;
    if (isTargetOutOfReach_) {
        share_ = std::max(share_, std::min(share_ * options_.lateGrowth, 1.0));
    } else if (lastPressure_ > options_.shrinkAbove) {
        share_ = std::min(share_, used) * options_.shrinkFactor;
    } else if (lastPressure_ < options_.growBelow) {
        // Pauses grow with the load, so short ones tell that there is much room: a group that has formed again is met
        // by all the callers that it could not serve meanwhile.
        const double growth =
            std::min(1 + options_.growthPerPressure * (options_.growBelow - lastPressure_), options_.largestGrowth);
        // A bound that is not reached says nothing about what would happen beyond it.
        share_ = std::max(share_, std::min(share_ * growth, used * growth + 0.1));
    }
    share_ = std::clamp(share_, options_.smallestShare, options_.largestShare);
}

void ConcurrencyGovernor::restart(RestartCause cause)
{
    // Entries learn of new engines one after the other, and until then tell the bound of the old ones.
    trustsPeers_ = cause == RestartCause::FirstSight;
    share_ = std::min(share_, options_.restartShare);
    isMeasured_ = false;
    isTargetOutOfReach_ = false;
    samples_.clear();
}

void ConcurrencyGovernor::onPeerShare(std::optional<double> share)
{
    if (!share || (!isMeasured_ && !trustsPeers_)) {
        return;
    }
    const double weight = isMeasured_ ? options_.peerWeight : 1.0;
    share_ = std::clamp(share_ + (*share - share_) * weight, options_.smallestShare, options_.largestShare);
}

std::uint32_t ConcurrencyGovernor::limit(std::uint32_t places) const
{
    return static_cast<std::uint32_t>(share_ * places);
}

} // namespace hornbeamlane
