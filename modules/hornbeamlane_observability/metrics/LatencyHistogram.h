#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace hornbeamlane {

/** Count, mean, extremes and estimated quantiles of durations, with fixed buckets for the Prometheus text form. */
class LatencyHistogram final
{
public:
    using Seconds = std::chrono::duration<double>;

    struct Summary
    {
        std::uint64_t count = 0;
        Seconds mean{0};
        Seconds min{0};
        Seconds max{0};
        /** Estimated in bounded memory; exact only for few samples. */
        Seconds p50{0};
        Seconds p95{0};
        Seconds p99{0};
    };

    /** The bounds are the inclusive upper ends of the buckets, rising; a last bucket without bound is added. */
    explicit LatencyHistogram(std::span<const Seconds> bounds);
    ~LatencyHistogram();
    LatencyHistogram(LatencyHistogram &&other) noexcept;
    LatencyHistogram &operator=(LatencyHistogram &&other) noexcept;

    void add(Seconds value);

    /** Adds the buckets, count and sum of another histogram; its quantiles and extremes are not taken over. */
    void absorb(const LatencyHistogram &other);

    Summary summary() const;

    /** Number of values in each bucket, not cumulative. */
    const std::vector<std::uint64_t> &buckets() const;

    std::uint64_t count() const;
    Seconds sum() const;

private:
    struct Statistics;

    std::vector<Seconds> bounds_;
    std::vector<std::uint64_t> buckets_;
    Seconds sum_{0};
    std::unique_ptr<Statistics> statistics_;
};

} // namespace hornbeamlane
