#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"

#include <cstdint>
#include <vector>

namespace hornbeamlane {

/** Number of a rank in its group, from 0. */
using RankIndex = std::uint32_t;

/** Number of an expert in its layer, from 0. */
using ExpertIndex = std::uint16_t;

/** For each layer, the ranks that hold each expert. An expert with replicas is on several ranks. */
class ExpertMap final
{
public:
    ExpertMap() = default;
    ExpertMap(ExpertMapVersion version, RankIndex ranks, std::uint32_t layers, ExpertIndex expertsPerLayer);

    /** One copy of each expert, expert i of each layer on rank i modulo the number of ranks. */
    static ExpertMap uniform(ExpertMapVersion version, RankIndex ranks, std::uint32_t layers,
                             ExpertIndex expertsPerLayer);

    ExpertMapVersion version() const
    {
        return version_;
    }
    void setVersion(ExpertMapVersion version)
    {
        version_ = version;
    }
    RankIndex ranks() const
    {
        return ranks_;
    }
    std::uint32_t layers() const
    {
        return layers_;
    }
    ExpertIndex expertsPerLayer() const
    {
        return expertsPerLayer_;
    }

    /** Ranks that hold the expert, ascending. */
    const std::vector<RankIndex> &holders(std::uint32_t layer, ExpertIndex expert) const;
    bool isHeldBy(std::uint32_t layer, ExpertIndex expert, RankIndex rank) const;
    void add(std::uint32_t layer, ExpertIndex expert, RankIndex rank);
    /** Removes one copy; the last copy of an expert cannot be removed. */
    bool remove(std::uint32_t layer, ExpertIndex expert, RankIndex rank);

    /** Experts that each rank holds in one layer. */
    std::vector<std::vector<ExpertIndex>> expertsOfLayer(std::uint32_t layer) const;

    /** Experts that the rank holds, for each layer, as MapOrder carries them. */
    std::vector<std::vector<ExpertIndex>> expertsOf(RankIndex rank) const;

    /** Number of copies that this map has and the older one lacks; each has to be loaded from the weight store. */
    std::size_t copiesMissingIn(const ExpertMap &older) const;

    /** The most such copies that one rank has to load. */
    std::size_t mostCopiesOfOneRank(const ExpertMap &older) const;

    /** Each expert of each layer has at least one holder. */
    bool isComplete() const;

    /** Equality of the placement, whatever the version. */
    bool hasSamePlacement(const ExpertMap &other) const;

private:
    std::size_t index(std::uint32_t layer, ExpertIndex expert) const;
    std::vector<std::size_t> copiesByRank(const ExpertMap &older) const;

    ExpertMapVersion version_;
    RankIndex ranks_ = 0;
    std::uint32_t layers_ = 0;
    ExpertIndex expertsPerLayer_ = 0;
    std::vector<std::vector<RankIndex>> holders_;
};

} // namespace hornbeamlane
