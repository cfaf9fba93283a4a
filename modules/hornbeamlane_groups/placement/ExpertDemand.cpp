#include "hornbeamlane_groups/placement/ExpertDemand.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace hornbeamlane {

namespace {

double sumOf(const std::vector<double> &values)
{
    return std::accumulate(values.begin(), values.end(), 0.0);
}

/** Shares with one choice of each expert added, so that an expert that has not been seen yet is not taken for unused.
 */
std::vector<double> smoothedShares(const std::vector<double> &first, const std::vector<double> &second)
{
    const double total = sumOf(first) + sumOf(second) + static_cast<double>(first.size());
    std::vector<double> shares(first.size());
    std::transform(first.begin(), first.end(), second.begin(), shares.begin(),
                   [total](double a, double b) { return (a + b + 1.0) / total; });
    return shares;
}

double squaredDistance(const std::vector<double> &a, const std::vector<double> &b)
{
    return std::inner_product(a.begin(), a.end(), b.begin(), 0.0, std::plus<>(),
                              [](double x, double y) { return (x - y) * (x - y); });
}

/** Expected squared distance of the short average from the shares that it estimates. */
double noiseOf(const std::vector<double> &first, const std::vector<double> &second, const std::vector<double> &shares)
{
    const double a = sumOf(first);
    const double b = sumOf(second);
    if (a + b <= 0.0) {
        return 1.0;
    }
    // Independent choices have at least this noise; the choices of one request resemble each other and have more.
    const double least = (1.0 - std::inner_product(shares.begin(), shares.end(), shares.begin(), 0.0)) / (a + b);
    if (a <= 0.0 || b <= 0.0) {
        return least;
    }
    double distance = 0.0;
    for (std::size_t i = 0; i < first.size(); ++i) {
        distance += (first[i] / a - second[i] / b) * (first[i] / a - second[i] / b);
    }
    // The halves differ by the variance of one choice times (1 / a + 1 / b); all together vary by it times 1 / (a + b).
    return std::max(least, distance * a * b / ((a + b) * (a + b)));
}

} // namespace

ExpertDemand::ExpertDemand(Options options)
    : options_(options)
    , halves_{ExpertPopularity({.layers = options.layers,
                                .expertsPerLayer = options.expertsPerLayer,
                                .halfLife = options.halfLife,
                                .slowFactor = options.slowFactor}),
              ExpertPopularity({.layers = options.layers,
                                .expertsPerLayer = options.expertsPerLayer,
                                .halfLife = options.halfLife,
                                .slowFactor = options.slowFactor})}
{
}

bool ExpertDemand::add(ExpertSample sample, TimePoint now)
{
    const std::size_t experts = options_.expertsPerLayer;
    if (sample.chosen.size() != experts * options_.layers
        || std::any_of(sample.chosen.begin(), sample.chosen.end(),
                       [](double count) { return !std::isfinite(count) || count < 0.0 || count > 1e12; })) {
        return false;
    }
    const std::vector<double> none(experts, 0.0);
    for (std::uint32_t layer = 0; layer < options_.layers; ++layer) {
        const auto from = sample.chosen.begin() + static_cast<std::ptrdiff_t>(layer * experts);
        const std::vector<double> chosen(from, from + static_cast<std::ptrdiff_t>(experts));
        for (std::size_t half = 0; half < halves_.size(); ++half) {
            // Both halves decay together, also when one of them gets no samples.
            halves_[half].add(layer, sample.source % halves_.size() == half ? chosen : none, now);
        }
    }
    ++samples_;
    recent_.push_back(std::move(sample));
    while (recent_.size() > options_.maxRecent || recent_.front().since < now - options_.recentTime) {
        recent_.pop_front();
        if (recent_.empty()) {
            break;
        }
    }
    return true;
}

ExpertDemand::Layer ExpertDemand::layerShares(std::uint32_t layer) const
{
    return {.fast = smoothedShares(halves_[0].fastCounts(layer), halves_[1].fastCounts(layer)),
            .slow = smoothedShares(halves_[0].slowCounts(layer), halves_[1].slowCounts(layer))};
}

double ExpertDemand::shortWeight() const
{
    double noise = 0.0;
    double difference = 0.0;
    // Requests choose in all layers at once, so the layers have one weight, which is more certain than one for each.
    for (std::uint32_t layer = 0; layer < options_.layers; ++layer) {
        const auto shares = layerShares(layer);
        noise += noiseOf(halves_[0].fastCounts(layer), halves_[1].fastCounts(layer), shares.fast);
        difference += squaredDistance(shares.fast, shares.slow);
    }
    return difference <= 0.0 ? 0.0 : std::clamp(1.0 - noise / difference, 0.0, 1.0);
}

ExpertShares ExpertDemand::shares() const
{
    const double weight = shortWeight();
    ExpertShares shares;
    for (std::uint32_t layer = 0; layer < options_.layers; ++layer) {
        auto [fast, slow] = layerShares(layer);
        for (std::size_t expert = 0; expert < fast.size(); ++expert) {
            fast[expert] = weight * fast[expert] + (1.0 - weight) * slow[expert];
        }
        shares.push_back(std::move(fast));
    }
    return shares;
}

ExpertDemand::Chosen ExpertDemand::chosenSince(TimePoint time) const
{
    const std::size_t experts = options_.expertsPerLayer;
    Chosen chosen{.shares = ExpertShares(options_.layers, std::vector<double>(experts, 0.0))};
    for (const auto &sample : recent_) {
        if (sample.since < time) {
            continue;
        }
        ++chosen.samples;
        for (std::size_t i = 0; i < sample.chosen.size(); ++i) {
            chosen.shares[i / experts][i % experts] += sample.chosen[i];
        }
    }
    for (auto &layer : chosen.shares) {
        const double sum = sumOf(layer);
        chosen.count += sum / static_cast<double>(options_.layers);
        for (auto &share : layer) {
            share = sum > 0.0 ? share / sum : 1.0 / static_cast<double>(experts);
        }
    }
    return chosen;
}

} // namespace hornbeamlane
