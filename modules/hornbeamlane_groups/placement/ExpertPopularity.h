#pragma once

#include "hornbeamlane_groups/placement/ExpertMap.h"

#include <vector>

namespace hornbeamlane {

/** Decayed token counts of each expert, with a fast and a slow average whose difference measures drift. */
class ExpertPopularity final
{
public:
    struct Options
    {
        std::uint32_t layers = 1;
        ExpertIndex expertsPerLayer = 1;
        /** Half-life of the average used for placement. */
        Duration halfLife = std::chrono::seconds(30);
        /** The slow average has this multiple of the half-life. */
        double slowFactor = 8.0;
    };

    explicit ExpertPopularity(Options options);

    /** Adds the tokens that each expert of a layer has received since the last call for that layer. */
    void add(std::uint32_t layer, const std::vector<double> &tokens, TimePoint now);

    /** Share of each expert of the layer in the fast average; sums to 1, uniform before any count. */
    std::vector<double> shares(std::uint32_t layer) const;

    /** Total variation distance between fast and slow average, mean over the layers, in [0, 1]. */
    double drift() const;

private:
    struct Layer
    {
        std::vector<double> fast;
        std::vector<double> slow;
        TimePoint updatedAt;
    };

    Options options_;
    std::vector<Layer> layers_;
};

} // namespace hornbeamlane
