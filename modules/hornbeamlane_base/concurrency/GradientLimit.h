#pragma once

#include <cstdint>
#include <functional>

namespace hornbeamlane {

/** Limit on the requests at a server that follows the gradient of their latency between two bounds. */
class GradientLimit final
{
public:
    struct Options
    {
        std::uint32_t minimum = 1;
        std::uint32_t maximum = 1;
        /** New limit from the old one and the gradient; empty for bounded steps. */
        std::function<double(double limit, double gradient)> adapt;
    };

    /** Starts at the maximum: only latencies lower it. */
    explicit GradientLimit(Options options);

    /** A limit at the maximum follows it. */
    void setBounds(std::uint32_t minimum, std::uint32_t maximum);

    double value() const
    {
        return limit_;
    }

    bool isAtMaximum() const
    {
        return limit_ >= options_.maximum;
    }

    /** Latencies with up to so many requests were the gradient times shorter than wanted; below 1, longer. */
    void follow(double gradient, double highestRunning);

    /** Takes a step back that has not shortened latencies. */
    void restore(double limit);

    /** Moves the limit by a share, 0 to 1, of its distance to the maximum, as what lowered it may be over. */
    void relax(double share);

private:
    double bounded(double limit) const;

    Options options_;
    double limit_ = 1;
};

} // namespace hornbeamlane
