#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace hornbeamlane {

/**
    Bounds the requests that all entries together have at servers whose engines batch them in lock-step.

    More requests in a batch make every pass longer, and a stream is late if one of its pauses exceeds the target. The
    bound is the one with the most value of streams a second: a stream that ends in time counts whole, a late one for
    a part of that, one that is refused not at all.
*/
class StreamGovernor final
{
public:
    struct Options
    {
        /** A pause counts half as much after this time. */
        std::chrono::milliseconds sampleHalfLife{500};
        /** A pause taken at a load that differs by this part from the present one counts half as much. */
        double sampleLoadRange = 0.15;
        /** Pauses older than this are forgotten. */
        std::chrono::milliseconds sampleAge{2000};
        /** Samples kept at most. */
        std::size_t maxSamples = 384;
        /** Pauses that end within this time and differ by less than this part of the target are of one pass. All its
            streams pause alike, so only so many of them get a sample each, and the last one counts for the rest:
            otherwise the samples of an entry with many streams are of the last passes only. */
        std::chrono::milliseconds samePassTime{10};
        double samePassPressure = 0.02;
        std::size_t maxSamplesOfPass = 32;
        /** Pauses needed before the bound moves; with fewer the entry follows the bound of the others. */
        std::size_t minSamples = 8;
        /** Time between two moves of the bound. */
        std::chrono::milliseconds window{250};
        /** Part of each pass that does not grow with the requests, from the engine's model. */
        Duration fixedPassTime{};
        /** The same as a part of the pass, where the engine has no model. */
        double fixedShare = 0.25;
        /** Pauses of a stream while none has ended. */
        double usualPauses = 18;
        /** What a late stream is worth to its caller, as a part of one in time. */
        double lateValue = 0.4;
        /** Standard error of a predicted pause, as a part of the target. */
        double predictionError = 0.03;
        /** Largest step down and up of the bound in one window. */
        double largestShrink = 0.8;
        double largestGrowth = 1.25;
        /** Smallest and largest bound as a share of the servers' places. */
        double smallestShare = 0.35;
        double largestShare = 1.25;
        /** Bound after a restart, as a share of the servers' places. */
        double restartShare = 0.45;
        /** Part of the difference to the other entries' bound by which the own bound moves when it is told. */
        double peerWeight = 0.1;
        /** Time after new engines in which bounds that others tell may still be those of the old ones. */
        std::chrono::milliseconds peerDelay{1000};
        /** Streams in time below which the target counts as out of reach with the smallest bound. */
        double smallestInTime = 0.05;
    };

    StreamGovernor();
    explicit StreamGovernor(Options options);

    /** Time of a pass that does not depend on the requests in it. */
    void setFixedPassTime(Duration time);

    /** Requests that the servers have now, of all entries; samples that follow are taken at this load. */
    void setLoad(std::uint32_t inFlight, std::uint32_t places);

    /** A pause between two events of a stream with this target. */
    void onPause(Duration pause, std::chrono::milliseconds target, TimePoint now);

    /** A stream has ended after so many events. */
    void onStreamEnded(std::size_t events);

    /** Moves the bound if a window is over. */
    void update(TimePoint now);

    /** Why nothing is known of the engines' pace. */
    enum class RestartCause {
        NewEngines, ///< They have started anew, with experts placed without regard to demand.
        FirstSight, ///< This entry sees them for the first time; other entries may know their pace.
    };

    void restart(RestartCause cause);

    /** Bound that other entries keep, as a share of the places. A governor that has not seen pauses lately takes it
       over; one that has is drawn to it. */
    void onPeerShare(std::optional<double> share);

    /** The bound as a share of the places; empty unless enough pauses have been seen lately. */
    std::optional<double> measuredShare() const
    {
        return isMeasured_ ? std::optional(share_) : std::nullopt;
    }

    /** Requests that the servers may have at once, of all entries. */
    std::uint32_t limit(std::uint32_t places) const;

    /** Whether streams are late with however few requests. */
    bool isTargetOutOfReach() const
    {
        return isTargetOutOfReach_;
    }

    /** Share of streams that end in time at the present load, by the pauses seen lately; 1 before any. */
    double inTimeShare() const
    {
        return inTimeShare_;
    }

    /** Mean of the pauses seen lately over their targets; 0 before any. */
    double meanPressure() const
    {
        return meanPressure_;
    }

private:
    struct Sample
    {
        TimePoint at;
        /** Pause and the part of it that does not grow with requests, over the target. */
        double pressure = 0;
        double fixedPressure = 0;
        /** Requests over places when it was taken. */
        double load = 0;
        /** Pauses that it stands for. */
        std::size_t count = 1;
    };

    /** What a bound is expected to bring. */
    struct Forecast
    {
        double inTime = 0;
        double value = 0;
    };

    /** How a pass is taken to grow with its requests. */
    enum class PassModel {
        PartlyFixed, ///< By the engine's model, or by the usual part.
        Proportional, ///< All of it grows; the best that a smaller bound can bring.
    };

    /** A sample as a forecast uses it: its pressure at a bound is the fixed part and the other part times the bound. */
    struct WeightedSample
    {
        double weight = 0;
        double fixed = 0;
        double perShare = 0;
    };

    /** Weights of the samples at one moment, in their order. */
    std::vector<double> weightsOfSamples(TimePoint now) const;
    std::vector<WeightedSample> weightedSamples(PassModel model, const std::vector<double> &weights) const;
    Forecast forecast(double share, const std::vector<WeightedSample> &samples) const;
    /** The samples by the model by which a smaller bound helps; empty if none does. */
    std::optional<std::vector<WeightedSample>> usableSamples(const std::vector<double> &weights) const;
    void dropOld(TimePoint now);
    std::size_t pauseCount() const;
    bool isOfSamePass(const Sample &one, const Sample &other) const;
    /** Trusts the bounds of other entries again once they have had time to learn of new engines. */
    void updateTrust(TimePoint now);
    double mean(double Sample::*value, const std::vector<double> &weights) const;
    double bestShare(const std::vector<double> &weights);
    void moveTo(double share, double load);

    Options options_;
    /** Bound as a share of the places. */
    double share_;
    /** Present requests over places. */
    double load_ = 0;
    double usualPauses_;
    /** Whether enough pauses have been seen lately. */
    bool isMeasured_ = false;
    /** Whether bounds of other entries can be of the same engines. */
    bool trustsPeers_ = true;
    /** From when on they are; empty before the first update after new engines. */
    std::optional<TimePoint> trustsPeersFrom_;
    bool isTargetOutOfReach_ = false;
    double inTimeShare_ = 1;
    double meanPressure_ = 0;
    std::deque<Sample> samples_;
    /** Samples of the last pass. */
    std::size_t samplesOfPass_ = 0;
    TimePoint movedAt_;
};

} // namespace hornbeamlane
