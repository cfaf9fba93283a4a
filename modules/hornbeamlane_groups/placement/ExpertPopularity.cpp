#include "hornbeamlane_groups/placement/ExpertPopularity.h"

#include <cmath>
#include <numeric>

namespace hornbeamlane {

namespace {

std::vector<double> normalized(const std::vector<double> &counts)
{
    const double total = std::accumulate(counts.begin(), counts.end(), 0.0);
    std::vector<double> shares(counts.size(), 1.0 / static_cast<double>(counts.size()));
    if (total > 0.0) {
        for (std::size_t i = 0; i < counts.size(); ++i) {
            shares[i] = counts[i] / total;
        }
    }
    return shares;
}

} // namespace

ExpertPopularity::ExpertPopularity(Options options)
    : options_(options)
    , layers_(options.layers)
{
    HORNBEAMLANE_ASSERT(options_.expertsPerLayer > 0 && options_.halfLife > Duration::zero());
    for (auto &layer : layers_) {
        layer.fast.assign(options_.expertsPerLayer, 0.0);
        layer.slow.assign(options_.expertsPerLayer, 0.0);
    }
}

void ExpertPopularity::add(std::uint32_t layer, const std::vector<double> &tokens, TimePoint now)
{
    HORNBEAMLANE_ASSERT(layer < layers_.size() && tokens.size() == options_.expertsPerLayer);
    auto &counts = layers_[layer];
    if (counts.updatedAt == TimePoint()) {
        counts.updatedAt = now;
    }
    const double halfLives = std::chrono::duration<double>(now - counts.updatedAt) / options_.halfLife;
    const double fastFactor = std::exp2(-halfLives);
    const double slowFactor = std::exp2(-halfLives / options_.slowFactor);
    for (std::size_t i = 0; i < tokens.size(); ++i) {
        counts.fast[i] = counts.fast[i] * fastFactor + tokens[i];
        counts.slow[i] = counts.slow[i] * slowFactor + tokens[i];
    }
    counts.updatedAt = now;
}

std::vector<double> ExpertPopularity::shares(std::uint32_t layer) const
{
    HORNBEAMLANE_ASSERT(layer < layers_.size());
    return normalized(layers_[layer].fast);
}

double ExpertPopularity::drift() const
{
    double sum = 0.0;
    for (const auto &layer : layers_) {
        const auto fast = normalized(layer.fast);
        const auto slow = normalized(layer.slow);
        for (std::size_t i = 0; i < fast.size(); ++i) {
            sum += std::abs(fast[i] - slow[i]) / 2.0;
        }
    }
    return layers_.empty() ? 0.0 : sum / static_cast<double>(layers_.size());
}

} // namespace hornbeamlane
