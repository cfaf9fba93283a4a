#pragma once

#include "hornbeamlane_groups/placement/ExpertPlacement.h"
#include "hornbeamlane_groups/placement/ExpertPopularity.h"

#include <array>
#include <deque>
#include <optional>
#include <vector>

namespace hornbeamlane {

/** What the requests of one rank have chosen between two looks at its counts. */
struct ExpertSample
{
    /** Tells the ranks apart of which the samples come; neighbours in number are compared with each other. */
    std::size_t source = 0;
    /** When the older look was taken. */
    TimePoint since;
    /** Number of choices, layer by layer. */
    std::vector<double> chosen;
};

/**
    Estimates how often the requests of a service choose each expert, from samples of ranks of all its groups.

    The requests of a rank are few, and each chooses by its content, so a short average is mostly noise and a long one
    lags behind the drift. The estimate lies between the two, nearer to the short one the less of their difference the
    noise explains. How much noise there is shows in the difference between two halves of the ranks.
*/
class ExpertDemand final
{
public:
    struct Options
    {
        std::uint32_t layers = 1;
        ExpertIndex expertsPerLayer = 1;
        /** Half-life of the short average. */
        Duration halfLife = std::chrono::milliseconds(500);
        /** The long average has this multiple of the half-life. */
        double slowFactor = 6.0;
        /** Samples are kept for this time to compare predictions with what is chosen later. */
        Duration recentTime = std::chrono::seconds(6);
        /** Samples kept at most; 64 of 16 layers with 128 experts take one megabyte. */
        std::size_t maxRecent = 64;
    };

    explicit ExpertDemand(Options options);

    /** False if the sample has another number of layers or experts, or a count that is no count. */
    bool add(ExpertSample sample, TimePoint now);

    bool isEmpty() const
    {
        return samples_ == 0;
    }

    /** Expected shares of the next requests; uniform before any sample. */
    ExpertShares shares() const;

    /** Weight of the short average in the estimate, in [0, 1]. */
    double shortWeight() const;

    /** Shares of what was chosen between looks that were all taken at or after the given time. */
    struct Chosen
    {
        ExpertShares shares;
        /** Choices of one layer. */
        double count = 0.0;
        std::size_t samples = 0;
    };
    Chosen chosenSince(TimePoint time) const;

    const Options &options() const
    {
        return options_;
    }

private:
    struct Layer
    {
        std::vector<double> fast;
        std::vector<double> slow;
    };

    Layer layerShares(std::uint32_t layer) const;

    Options options_;
    /** Samples of sources with even and with odd numbers. */
    std::array<ExpertPopularity, 2> halves_;
    std::deque<ExpertSample> recent_;
    std::size_t samples_ = 0;
};

} // namespace hornbeamlane
