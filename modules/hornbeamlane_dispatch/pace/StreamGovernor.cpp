#include "hornbeamlane_dispatch/pace/StreamGovernor.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <numeric>

namespace hornbeamlane {

namespace {

/** Weight of one stream in the moving average of their pauses. */
constexpr double streamWeight = 0.02;

/** Shortest streams in that average; a stream of one event has no pause. */
constexpr double fewestPauses = 3;

/** Loads below this say nothing about how pauses grow. */
constexpr double smallestLoad = 0.05;

/** Distance of two bounds that are compared, as a share of the places. */
constexpr double shareStep = 0.025;

/** Bounds whose value is this close to the best one count as equal; the largest of them is taken. */
constexpr double valueTolerance = 0.005;

double ratio(Duration time, std::chrono::milliseconds target)
{
    return std::chrono::duration<double>(time) / std::chrono::duration<double>(target);
}

/** Chance that a pause exceeds its target if it is predicted as this part of it, with a normal error. */
double chanceAboveTarget(double pressure, double standardError)
{
    return 0.5 * std::erfc((1 - pressure) / (standardError * std::numbers::sqrt2));
}

} // namespace

StreamGovernor::StreamGovernor()
    : StreamGovernor(Options())
{
}

StreamGovernor::StreamGovernor(Options options)
    : options_(options)
    , share_(options.largestShare)
    , usualPauses_(options.usualPauses)
{
}

void StreamGovernor::setFixedPassTime(Duration time)
{
    options_.fixedPassTime = std::max(Duration::zero(), time);
}

void StreamGovernor::setLoad(std::uint32_t inFlight, std::uint32_t places)
{
    load_ = places == 0 ? 0 : static_cast<double>(inFlight) / places;
}

void StreamGovernor::onPause(Duration pause, std::chrono::milliseconds target, TimePoint now)
{
    if (target <= std::chrono::milliseconds(0) || pause < Duration::zero()) {
        return;
    }
    const double pressure = ratio(pause, target);
    const bool hasModel = options_.fixedPassTime > Duration::zero();
    const double fixed = hasModel ? ratio(options_.fixedPassTime, target) : pressure * options_.fixedShare;
    const Sample sample{.at = now,
                        .pressure = pressure,
                        .fixedPressure = std::min(pressure, fixed),
                        .load = std::max(load_, smallestLoad)};
    const bool isOfLastPass = !samples_.empty() && isOfSamePass(samples_.back(), sample);
    if (isOfLastPass && samplesOfPass_ >= options_.maxSamplesOfPass) {
        ++samples_.back().count;
        return;
    }
    samplesOfPass_ = isOfLastPass ? samplesOfPass_ + 1 : 1;
    samples_.push_back(sample);
    if (samples_.size() > options_.maxSamples) {
        samples_.pop_front();
    }
}

bool StreamGovernor::isOfSamePass(const Sample &one, const Sample &other) const
{
    return other.at - one.at < options_.samePassTime
        && std::abs(other.pressure - one.pressure) < options_.samePassPressure;
}

std::size_t StreamGovernor::pauseCount() const
{
    return std::accumulate(samples_.begin(), samples_.end(), std::size_t{0},
                           [](std::size_t sum, const Sample &sample) { return sum + sample.count; });
}

void StreamGovernor::onStreamEnded(std::size_t events)
{
    const double pauses = std::max(static_cast<double>(events) - 1, fewestPauses);
    usualPauses_ += (pauses - usualPauses_) * streamWeight;
}

double StreamGovernor::weightOf(const Sample &sample, TimePoint now) const
{
    const auto age = std::chrono::duration<double>(now - sample.at);
    // The further the load has moved, the less sure is what a pause would be at the present one.
    const double distance = std::abs(std::log(sample.load / std::max(load_, smallestLoad)));
    return static_cast<double>(sample.count)
        * std::exp2(-age / std::chrono::duration<double>(options_.sampleHalfLife)
                    - distance / options_.sampleLoadRange);
}

void StreamGovernor::dropOld(TimePoint now)
{
    while (!samples_.empty() && now - samples_.front().at > options_.sampleAge) {
        samples_.pop_front();
    }
}

double StreamGovernor::meanLoad(TimePoint now) const
{
    double weights = 0;
    double loads = 0;
    for (const auto &sample : samples_) {
        const double weight = weightOf(sample, now);
        weights += weight;
        loads += weight * sample.load;
    }
    return weights > 0 ? loads / weights : 0;
}

// A pass takes a fixed time and a time in proportion to its requests, so each pause that was seen tells how long it
// would have been at another load. A stream is in time if none of its pauses is too long.
StreamGovernor::Forecast StreamGovernor::forecast(double share, PassModel model, TimePoint now) const
{
    double weights = 0;
    double tooLong = 0;
    double pressures = 0;
    for (const auto &sample : samples_) {
        const double weight = weightOf(sample, now);
        const double fixed = model == PassModel::PartlyFixed ? sample.fixedPressure : 0;
        const double pressure = fixed + (sample.pressure - fixed) * share / sample.load;
        weights += weight;
        pressures += weight * pressure;
        tooLong += weight * chanceAboveTarget(pressure, options_.predictionError);
    }
    if (weights <= 0 || pressures <= 0) {
        return {.inTime = 1, .value = share};
    }
    const double inTime = std::pow(1 - tooLong / weights, usualPauses_);
    const double streams = share * weights / pressures;
    return {.inTime = inTime, .value = streams * (inTime + options_.lateValue * (1 - inTime))};
}

// Far above the load that the engines bear, the fixed part is overrated, since it is not known how much of a long pass
// it is. Out of reach is the target only if pauses in full proportion to the requests would still be too long.
std::optional<StreamGovernor::PassModel> StreamGovernor::usableModel(TimePoint now) const
{
    for (const auto model : {PassModel::PartlyFixed, PassModel::Proportional}) {
        if (forecast(options_.smallestShare, model, now).inTime >= options_.smallestInTime) {
            return model;
        }
    }
    return std::nullopt;
}

double StreamGovernor::bestShare(TimePoint now)
{
    const auto usable = usableModel(now);
    isTargetOutOfReach_ = !usable;
    const auto model = usable.value_or(PassModel::PartlyFixed);
    double best = options_.largestShare;
    double bestValue = 0;
    for (double share = options_.largestShare; share >= options_.smallestShare - shareStep / 2; share -= shareStep) {
        const double value = forecast(share, model, now).value;
        if (value > bestValue * (1 + valueTolerance)) {
            best = share;
            bestValue = value;
        }
    }
    return best;
}

void StreamGovernor::moveTo(double share, double load)
{
    if (share < share_) {
        // A bound that is not reached is lowered to the load at once; below that in steps, as the forecast is of one
        // moment.
        const double reached = std::min(share_, std::max(load, share));
        share_ = std::max(share, reached * options_.largestShrink);
    } else {
        // A bound that is not reached says nothing about what would happen far beyond it.
        const double reachable = load * options_.largestGrowth + 0.1;
        share_ = std::max(share_, std::min({share, share_ * options_.largestGrowth, reachable}));
    }
    share_ = std::clamp(share_, options_.smallestShare, options_.largestShare);
}

void StreamGovernor::update(TimePoint now)
{
    if (now - movedAt_ < options_.window) {
        return;
    }
    dropOld(now);
    updateTrust(now);
    // An entry that sees few streams of a large group must neither keep an old bound nor tell it to the others.
    isMeasured_ = pauseCount() >= options_.minSamples;
    if (!isMeasured_) {
        return;
    }
    movedAt_ = now;
    const double load = meanLoad(now);
    const auto present = forecast(load, PassModel::PartlyFixed, now);
    inTimeShare_ = present.inTime;
    meanPressure_ = 0;
    double weights = 0;
    for (const auto &sample : samples_) {
        const double weight = weightOf(sample, now);
        weights += weight;
        meanPressure_ += weight * sample.pressure;
    }
    meanPressure_ /= weights;
    moveTo(bestShare(now), std::max(load, load_));
}

void StreamGovernor::updateTrust(TimePoint now)
{
    if (trustsPeers_) {
        return;
    }
    if (!trustsPeersFrom_) {
        trustsPeersFrom_ = now + options_.peerDelay;
    }
    trustsPeers_ = now >= *trustsPeersFrom_;
}

void StreamGovernor::restart(RestartCause cause)
{
    // Entries learn of new engines one after the other, and until then tell the bound of the old ones.
    trustsPeers_ = cause == RestartCause::FirstSight;
    trustsPeersFrom_.reset();
    share_ = std::min(share_, options_.restartShare);
    isMeasured_ = false;
    isTargetOutOfReach_ = false;
    inTimeShare_ = 1;
    meanPressure_ = 0;
    samples_.clear();
}

void StreamGovernor::onPeerShare(std::optional<double> share)
{
    if (!share || (!isMeasured_ && !trustsPeers_)) {
        return;
    }
    const double weight = isMeasured_ ? options_.peerWeight : 1.0;
    share_ = std::clamp(share_ + (*share - share_) * weight, options_.smallestShare, options_.largestShare);
}

std::uint32_t StreamGovernor::limit(std::uint32_t places) const
{
    return static_cast<std::uint32_t>(share_ * places);
}

} // namespace hornbeamlane
