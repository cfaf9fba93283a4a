#include "hornbeamlane_dispatch/queue/ArrivalAdmission.h"

#include <algorithm>
#include <cmath>

namespace hornbeamlane {

namespace {

/** Arrivals at one entry that are never cut, whatever the others have. */
constexpr double plausiblePerSecond = 20;

/** Rates beyond this are no measurement; sums of them stay finite. */
constexpr double largestPerSecond = 1e9;

double usable(double perSecond)
{
    return std::isfinite(perSecond) ? std::clamp(perSecond, 0.0, largestPerSecond) : 0;
}

double sumOf(const std::vector<ArrivalRate> &rates)
{
    double sum = 0;
    for (const auto &rate : rates) {
        sum += usable(rate.perSecond);
    }
    return sum;
}

double lateSumOf(const std::vector<ArrivalRate> &rates)
{
    double sum = 0;
    for (const auto &rate : rates) {
        sum += rate.arrivals.isLate ? rate.perSecond : 0;
    }
    return sum;
}

/** The lower one of two middle values, so that one of two entries cannot set it alone. */
double lowerMedian(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

ArrivalAdmission::ArrivalAdmission()
    : ArrivalAdmission(Options())
{
}

ArrivalAdmission::ArrivalAdmission(Options options)
    : options_(options)
{
}

void ArrivalAdmission::onArrival(const ArrivalClass &arrivals, TimePoint now)
{
    meter_.count(arrivals, now);
    lateSinceUpdate_ += arrivals.isLate ? 1 : 0;
}

void ArrivalAdmission::onPlaceFreed(Duration taken)
{
    if (taken < Duration::zero()) {
        return;
    }
    placeTimes_ = std::min(placeTimes_ + 1, options_.minPlaceTimes * 100);
    // The first ones count alike.
    const double weight = std::max(options_.placeTimeWeight, 1.0 / placeTimes_);
    placeTime_ += (std::chrono::duration<double>(taken) - placeTime_) * weight;
}

Duration ArrivalAdmission::placeTime() const
{
    return placeTimes_ < options_.minPlaceTimes ? Duration::zero() : std::chrono::duration_cast<Duration>(placeTime_);
}

std::map<ArrivalClass, double> ArrivalAdmission::demandOfAll(const Peers &peers, TimePoint now)
{
    const auto own = meter_.rates(now);
    const double ownSum = sumOf(own);
    std::vector<double> sums{ownSum};
    for (const auto *rates : peers.arrivals) {
        sums.push_back(sumOf(*rates));
    }
    const double median = lowerMedian(sums);
    const double largest = std::max(median * options_.largestPeerPart, plausiblePerSecond);
    std::map<ArrivalClass, double> demand;
    double all = ownSum;
    for (const auto &rate : own) {
        demand[rate.arrivals] += rate.perSecond;
    }
    for (std::size_t i = 0; i < peers.arrivals.size(); ++i) {
        const double sum = sums[i + 1];
        const double counted = sum > largest ? largest / sum : 1.0;
        for (const auto &rate : *peers.arrivals[i]) {
            demand[rate.arrivals] += usable(rate.perSecond) * counted;
        }
        all += sum * counted;
    }
    ownPart_ = all > 0 ? ownSum / all : 1.0;
    // Peers of an earlier release tell no arrivals. An entry that hears nobody takes the others for its equals.
    const double telling = 1.0 + static_cast<double>(peers.arrivals.size());
    const double running = peers.heard == 0 ? peers.entryCount : 1.0 + static_cast<double>(peers.heard);
    const double scale = std::max(1.0, running / telling);
    const double plausible = std::max(ownSum, median) * running;
    const double used = capacityPerSecond_ * options_.usedCapacity;
    leastPart_ = options_.shares.teamFloor * (plausible > used ? used / plausible : 1.0);
    double late = 0;
    for (auto &[arrivals, perSecond] : demand) {
        perSecond *= scale;
        late += arrivals.isLate ? perSecond : 0;
    }
    ownPart_ /= scale;
    // Callers that come back in a crowd reach all entries within the time in which these tell each other of it, so the
    // own late requests stand for those at the others, except for a few that come at any time.
    const double crowd = std::max(0.0, lateSumOf(own) - options_.lateBurst) * running;
    if (late > 0 && crowd > late) {
        for (auto &[arrivals, perSecond] : demand) {
            perSecond *= arrivals.isLate ? crowd / late : 1.0;
        }
    }
    return demand;
}

void ArrivalAdmission::update(const Places &places, const Peers &peers, TimePoint now)
{
    updatedAt_ = now;
    lateSinceUpdate_ = 0;
    const std::chrono::duration<double> taken(placeTime());
    capacityPerSecond_ = taken.count() > 0 ? places.bound / taken.count() : 0;
    shares_ = PriorityShares(options_.shares, demandOfAll(peers, now), capacityPerSecond_ * options_.usedCapacity);
}

std::optional<Duration> ArrivalAdmission::rejectionOf(const ArrivalClass &arrivals, double fill, Duration timeLeft,
                                                      TimePoint now, RandomSource &random)
{
    const double part = std::max(shares_.admittedPart(arrivals), arrivals.isLate ? 0 : leastPart_);
    if (part >= 1 || !(fill > options_.freeFill)) {
        return std::nullopt;
    }
    // Requests beyond the share take what is free, less and less of it as the servers fill up. So figures that are
    // wrong cannot leave places unused.
    const double free = std::clamp((options_.fullFill - fill) / (options_.fullFill - options_.freeFill), 0.0, 1.0);
    if (random.unit() < part + (1 - part) * free) {
        return std::nullopt;
    }
    return drawRetryAfter(timeLeft, now, random);
}

Duration ArrivalAdmission::drawRetryAfter(Duration timeLeft, TimePoint now, RandomSource &random)
{
    using Seconds = std::chrono::duration<double>;
    const Seconds longest = Seconds(std::max(timeLeft, Duration::zero())) * options_.heededPart;
    const Seconds shortest = std::min<Seconds>(options_.shortestRetryAfter, longest / 2);
    // Rejected callers get turns, one after the other, at the rate at which room is left for them. One that finds none
    // within the time that it waits comes as late as it may, since the demand can fall until then.
    const double room = shares_.roomPerSecond() * ownPart_;
    const auto latest = now + std::chrono::duration_cast<Duration>(longest);
    auto turnAt = latest;
    if (room * longest.count() > 1) {
        const auto next = std::max(nextRoomAt_, now) + std::chrono::duration_cast<Duration>(Seconds(1 / room));
        turnAt = std::min(next, latest);
        // A caller with little time gets no turn, and must not take back those that were given to others.
        nextRoomAt_ = next <= latest ? next : nextRoomAt_;
    }
    const Seconds turn = std::clamp<Seconds>(turnAt - now, shortest, longest);
    const Seconds spread = turn * options_.retryAfterSpread;
    const Seconds from = std::min(turn, longest - spread);
    return std::chrono::duration_cast<Duration>(from + spread * random.unit());
}

} // namespace hornbeamlane
