#pragma once

#include "hornbeamlane_base/concurrency/GradientLimit.h"
#include "hornbeamlane_base/hornbeamlane_base.h"

#include <array>
#include <cstdint>
#include <functional>

namespace hornbeamlane {

/**
    Adapts the concurrency to the gradient of the latencies against their targets.

    Every sample is the ratio of a time to the target of its class, so classes with different targets share one limit.
*/
class AdaptiveConcurrency final
{
public:
    struct Options
    {
        /** Never below; the cold limit of the catalogue. */
        std::uint32_t minimum = 2;
        /** Never above; the concurrency of the catalogue. */
        std::uint32_t maximum = 2;
        /** The limit changes at most this often. */
        Duration window = std::chrono::milliseconds(500);
        /**
            The limit settles where the worse 95th percentile is this fraction of its target. Short answers meet their
            own 95th percentile only with this margin: with 0.9, up to 2.3 % of the accepted ones were late.
        */
        double targetFraction = 0.85;
        /** New limit from the old one and target over observed time; empty for the gradient. */
        std::function<double(double limit, double gradient)> adapt;
    };

    explicit AdaptiveConcurrency(Options options);

    void setBounds(std::uint32_t minimum, std::uint32_t maximum);

    std::uint32_t limit() const;

    void firstToken(Duration time, Duration target, std::uint32_t running, TimePoint now);
    /** Several tokens that arrived together, with the mean time between them. */
    void tokens(std::uint32_t count, Duration interval, Duration target, std::uint32_t running, TimePoint now);

private:
    /** Counts of time over target in steps of 1/16; the last bucket holds everything from 4 times the target. */
    class RatioWindow final
    {
    public:
        void add(Duration time, Duration target, std::uint32_t count);
        double percentile95() const;
        void clear();

        std::uint32_t count() const
        {
            return count_;
        }

    private:
        static constexpr std::size_t bucketsPerUnit = 16;
        std::array<std::uint32_t, 4 * bucketsPerUnit + 1> buckets_{};
        std::uint32_t count_ = 0;
    };

    void adapt(std::uint32_t running, TimePoint now);

    Options options_;
    GradientLimit limit_;
    RatioWindow firstTokens_;
    RatioWindow intervals_;
    std::uint32_t highestRunning_ = 0;
    TimePoint windowStart_{};
    bool hasWindow_ = false;
};

} // namespace hornbeamlane
