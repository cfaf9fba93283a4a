#include "hornbeamlane_groups/placement/ExpertMap.h"

#include <algorithm>
#include <numeric>

namespace hornbeamlane {

ExpertMap::ExpertMap(ExpertMapVersion version, RankIndex ranks, std::uint32_t layers, ExpertIndex expertsPerLayer)
    : version_(version)
    , ranks_(ranks)
    , layers_(layers)
    , expertsPerLayer_(expertsPerLayer)
    , holders_(static_cast<std::size_t>(layers) * expertsPerLayer)
{
    HORNBEAMLANE_ASSERT(ranks > 0);
}

ExpertMap ExpertMap::uniform(ExpertMapVersion version, RankIndex ranks, std::uint32_t layers,
                             ExpertIndex expertsPerLayer)
{
    ExpertMap map(version, ranks, layers, expertsPerLayer);
    for (std::uint32_t layer = 0; layer < layers; ++layer) {
        for (ExpertIndex expert = 0; expert < expertsPerLayer; ++expert) {
            map.add(layer, expert, expert % ranks);
        }
    }
    return map;
}

const std::vector<RankIndex> &ExpertMap::holders(std::uint32_t layer, ExpertIndex expert) const
{
    return holders_[index(layer, expert)];
}

bool ExpertMap::isHeldBy(std::uint32_t layer, ExpertIndex expert, RankIndex rank) const
{
    const auto &ranks = holders(layer, expert);
    return std::binary_search(ranks.begin(), ranks.end(), rank);
}

void ExpertMap::add(std::uint32_t layer, ExpertIndex expert, RankIndex rank)
{
    HORNBEAMLANE_ASSERT(rank < ranks_);
    auto &ranks = holders_[index(layer, expert)];
    const auto place = std::lower_bound(ranks.begin(), ranks.end(), rank);
    if (place == ranks.end() || *place != rank) {
        ranks.insert(place, rank);
    }
}

bool ExpertMap::remove(std::uint32_t layer, ExpertIndex expert, RankIndex rank)
{
    auto &ranks = holders_[index(layer, expert)];
    const auto place = std::lower_bound(ranks.begin(), ranks.end(), rank);
    if (ranks.size() < 2 || place == ranks.end() || *place != rank) {
        return false;
    }
    ranks.erase(place);
    return true;
}

std::vector<std::vector<ExpertIndex>> ExpertMap::expertsOfLayer(std::uint32_t layer) const
{
    std::vector<std::vector<ExpertIndex>> experts(ranks_);
    for (ExpertIndex expert = 0; expert < expertsPerLayer_; ++expert) {
        for (const auto rank : holders(layer, expert)) {
            experts[rank].push_back(expert);
        }
    }
    return experts;
}

std::vector<std::vector<ExpertIndex>> ExpertMap::expertsOf(RankIndex rank) const
{
    std::vector<std::vector<ExpertIndex>> experts(layers_);
    for (std::uint32_t layer = 0; layer < layers_; ++layer) {
        for (ExpertIndex expert = 0; expert < expertsPerLayer_; ++expert) {
            if (isHeldBy(layer, expert, rank)) {
                experts[layer].push_back(expert);
            }
        }
    }
    return experts;
}

std::vector<std::size_t> ExpertMap::copiesByRank(const ExpertMap &older) const
{
    HORNBEAMLANE_ASSERT(holders_.size() == older.holders_.size());
    std::vector<std::size_t> copies(ranks_, 0);
    for (std::size_t i = 0; i < holders_.size(); ++i) {
        for (const auto rank : holders_[i]) {
            copies[rank] += std::binary_search(older.holders_[i].begin(), older.holders_[i].end(), rank) ? 0 : 1;
        }
    }
    return copies;
}

std::size_t ExpertMap::copiesMissingIn(const ExpertMap &older) const
{
    const auto copies = copiesByRank(older);
    return std::accumulate(copies.begin(), copies.end(), std::size_t(0));
}

std::size_t ExpertMap::mostCopiesOfOneRank(const ExpertMap &older) const
{
    const auto copies = copiesByRank(older);
    return copies.empty() ? 0 : *std::max_element(copies.begin(), copies.end());
}

bool ExpertMap::isComplete() const
{
    return std::none_of(holders_.begin(), holders_.end(), [](const auto &ranks) { return ranks.empty(); });
}

bool ExpertMap::hasSamePlacement(const ExpertMap &other) const
{
    return holders_ == other.holders_;
}

std::size_t ExpertMap::index(std::uint32_t layer, ExpertIndex expert) const
{
    HORNBEAMLANE_ASSERT(layer < layers_ && expert < expertsPerLayer_);
    return static_cast<std::size_t>(layer) * expertsPerLayer_ + expert;
}

} // namespace hornbeamlane
