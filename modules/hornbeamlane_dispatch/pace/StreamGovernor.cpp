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

/** Standard errors beyond which the chance of the other side is below one in a hundred thousand. */
constexpr double farFromTarget = 4.5;

double ratio(Duration time, std::chrono::milliseconds target)
{
    return std::chrono::duration<double>(time) / std::chrono::duration<double>(target);
}

/** Chance that a pause exceeds its target if it is predicted as this part of it, with a normal error. */
double chanceAboveTarget(double pressure, double standardError)
{
    // Most pauses are far from their target, and the error function is most of the time that a forecast takes.
    if (std::abs(1 - pressure) > farFromTarget * standardError) {
        return pressure > 1 ? 1 : 0;
    }
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

std::vector<double> StreamGovernor::weightsOfSamples(TimePoint now) const
{
    const double present = std::log(std::max(load_, smallestLoad));
    std::vector<double> weights;
    weights.reserve(samples_.size());
    for (const auto &sample : samples_) {
        const auto age = std::chrono::duration<double>(now - sample.at);
        // The further the load has moved, the less sure is what a pause would be at the present one.
        const double distance = std::abs(std::log(sample.load) - present);
        const double halvings =
            age / std::chrono::duration<double>(options_.sampleHalfLife) + distance / options_.sampleLoadRange;
        weights.push_back(static_cast<double>(sample.count) * std::exp2(-halvings));
    }
    return weights;
}

void StreamGovernor::dropOld(TimePoint now)
{
    while (!samples_.empty() && now - samples_.front().at > options_.sampleAge) {
        samples_.pop_front();
    }
}

double StreamGovernor::mean(double Sample::*value, const std::vector<double> &weights) const
{
    const double total = std::accumulate(weights.begin(), weights.end(), 0.0);
    double sum = 0;
    for (std::size_t i = 0; i < samples_.size(); ++i) {
        sum += weights[i] * samples_[i].*value;
    }
    return total > 0 ? sum / total : 0;
}

std::vector<StreamGovernor::WeightedSample> StreamGovernor::weightedSamples(PassModel model,
                                                                            const std::vector<double> &weights) const
{
    std::vector<WeightedSample> weighted;
    weighted.reserve(samples_.size());
    for (std::size_t i = 0; i < samples_.size(); ++i) {
        const auto &sample = samples_[i];
        const double fixed = model == PassModel::PartlyFixed ? sample.fixedPressure : 0;
        weighted.push_back({.weight = weights[i], .fixed = fixed, .perShare = (sample.pressure - fixed) / sample.load});
    }
    return weighted;
}

// A pass takes a fixed time and a time in proportion to its requests, so each pause that was seen tells how long it
// would have been at another load. A stream is in time if none of its pauses is too long.
StreamGovernor::Forecast StreamGovernor::forecast(double share, const std::vector<WeightedSample> &samples) const
{
    double weights = 0;
    double tooLong = 0;
    double pressures = 0;
    for (const auto &sample : samples) {
        const double pressure = sample.fixed + sample.perShare * share;
        weights += sample.weight;
        pressures += sample.weight * pressure;
        tooLong += sample.weight * chanceAboveTarget(pressure, options_.predictionError);
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
std::optional<std::vector<StreamGovernor::WeightedSample>>
StreamGovernor::usableSamples(const std::vector<double> &weights) const
{
    for (const auto model : {PassModel::PartlyFixed, PassModel::Proportional}) {
        auto samples = weightedSamples(model, weights);
        if (forecast(options_.smallestShare, samples).inTime >= options_.smallestInTime) {
            return samples;
        }
    }
    return std::nullopt;
}

double StreamGovernor::bestShare(const std::vector<double> &weights)
{
    const auto usable = usableSamples(weights);
    // With few requests a forecast for many is far from what was seen.
    isTargetOutOfReach_ = !usable && inTimeShare_ < options_.smallestInTime;
    const auto samples = usable ? *usable : weightedSamples(PassModel::PartlyFixed, weights);
    double best = options_.largestShare;
    double bestValue = 0;
    for (double share = options_.largestShare; share >= options_.smallestShare - shareStep / 2; share -= shareStep) {
        const double value = forecast(share, samples).value;
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
        // Units whose target is out of reach get few streams, so nothing else would show that they are fast again.
        isTargetOutOfReach_ = false;
        return;
    }
    movedAt_ = now;
    const auto weights = weightsOfSamples(now);
    const double load = mean(&Sample::load, weights);
    inTimeShare_ = forecast(load, weightedSamples(PassModel::PartlyFixed, weights)).inTime;
    meanPressure_ = mean(&Sample::pressure, weights);
    moveTo(bestShare(weights), std::max(load, load_));
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
    // A unit of one or two places would otherwise get no stream, and its bound would never rise again.
    return places == 0 ? 0 : std::max(1U, static_cast<std::uint32_t>(share_ * places));
}

} // namespace hornbeamlane
