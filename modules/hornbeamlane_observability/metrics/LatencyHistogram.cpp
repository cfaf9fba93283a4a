#include "hornbeamlane_observability/metrics/LatencyHistogram.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/min.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>
#include <array>
#include <numeric>

namespace hornbeamlane {

namespace accumulators = boost::accumulators;

namespace {

constexpr std::array<double, 3> probabilities = {0.5, 0.95, 0.99};

/** The estimate needs as many samples as it has markers; before that the largest value stands in for it. */
constexpr std::size_t fewestForQuantiles = 2 * probabilities.size() + 3;

} // namespace

struct LatencyHistogram::Statistics
{
    using Set = accumulators::accumulator_set<
        double,
        accumulators::stats<accumulators::tag::count, accumulators::tag::mean, accumulators::tag::min,
                            accumulators::tag::max, accumulators::tag::extended_p_square>>;

    Set set{accumulators::extended_p_square_probabilities = probabilities};

    /** Estimate for one of the probabilities. */
    Seconds quantile(std::size_t index) const
    {
        if (accumulators::count(set) < fewestForQuantiles) {
            return Seconds(accumulators::max(set));
        }
        return Seconds(accumulators::extended_p_square(set)[static_cast<std::ptrdiff_t>(index)]);
    }
};

LatencyHistogram::LatencyHistogram(std::span<const Seconds> bounds)
    : bounds_(bounds.begin(), bounds.end())
    , buckets_(bounds.size() + 1)
    , statistics_(std::make_unique<Statistics>())
{
}

LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram &&other) noexcept = default;
LatencyHistogram &LatencyHistogram::operator=(LatencyHistogram &&other) noexcept = default;

void LatencyHistogram::add(Seconds value)
{
    const auto bound = std::lower_bound(bounds_.begin(), bounds_.end(), value);
    ++buckets_[static_cast<std::size_t>(bound - bounds_.begin())];
    sum_ += value;
    statistics_->set(value.count());
}

void LatencyHistogram::absorb(const LatencyHistogram &other)
{
    for (std::size_t i = 0; i < std::min(buckets_.size(), other.buckets_.size()); ++i) {
        buckets_[i] += other.buckets_[i];
    }
    sum_ += other.sum_;
}

LatencyHistogram::Summary LatencyHistogram::summary() const
{
    const auto &set = statistics_->set;
    if (accumulators::count(set) == 0) {
        return Summary{};
    }
    return Summary{.count = accumulators::count(set),
                   .mean = Seconds(accumulators::mean(set)),
                   .min = Seconds(accumulators::min(set)),
                   .max = Seconds(accumulators::max(set)),
                   .p50 = statistics_->quantile(0),
                   .p95 = statistics_->quantile(1),
                   .p99 = statistics_->quantile(2)};
}

const std::vector<std::uint64_t> &LatencyHistogram::buckets() const
{
    return buckets_;
}

std::uint64_t LatencyHistogram::count() const
{
    return std::accumulate(buckets_.begin(), buckets_.end(), std::uint64_t{0});
}

LatencyHistogram::Seconds LatencyHistogram::sum() const
{
    return sum_;
}

} // namespace hornbeamlane
