#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

namespace hornbeamlane {

/**
    Bounds the requests on an engine that may be cold.

    The limit starts at the cold limit and grows with windows of successes of normal latency. Between two proofs of
    normal latency the number of running requests grows by no more than the cold limit, because an engine can turn cold
    without notice.
*/
class ColdStartLimiter final
{
public:
    struct Options
    {
        std::uint32_t coldConcurrency = 2;
        std::uint32_t concurrency = 2;
        double growthFactor = 1.5;
        Duration growthInterval = std::chrono::seconds(2);
        /** A first token is slow when it takes this many times the median. */
        double slowFactor = 4;
        std::uint32_t slowLimit = 3;
        /** Normal latency as long as there are too few samples for a median. */
        Duration firstTokenTarget = std::chrono::milliseconds(860);
        /** Limit after a start or a fall back to cold; replaced to switch the protection "cold-start-limit" off. */
        std::function<std::uint32_t(const Options &)> startLimit;
        /** Whether this growth may happen without proof; replaced to switch "growth-needs-proof" off. */
        std::function<bool(std::uint32_t growth, const Options &)> mayGrowUnproved;
    };

    explicit ColdStartLimiter(Options options);

    /** The catalogue's values have changed. */
    void setBounds(std::uint32_t coldConcurrency, std::uint32_t concurrency);

    std::uint32_t limit() const;

    /** Whether one more request may be sent. The leftovers of a previous agent count as running. */
    bool mayStart(std::uint32_t leftovers) const;

    /** A request is sent to the engine. Returns its number, which firstToken() takes. */
    std::uint64_t started();
    void finished();

    /** The first token, or the complete answer of a plain service. Returns false if it fell back to cold. */
    bool firstToken(std::uint64_t number, Duration latency, TimePoint now);

    void fallBackToCold(TimePoint now);

    /** 0 at the cold limit, 1 at full concurrency. */
    double warmFraction() const;

    std::uint32_t running() const
    {
        return running_;
    }

private:
    /** Smallest number of running requests since the request of this number was sent. */
    struct Minimum
    {
        std::uint64_t number = 0;
        std::uint32_t running = 0;
    };

    void noteRunning();
    void noteProof(std::uint64_t number);
    void grow(TimePoint now);
    Duration median() const;

    Options options_;
    double limit_ = 0;
    std::uint32_t running_ = 0;
    std::uint64_t lastNumber_ = 0;
    /** Requests up to this number were sent before the last fall back and prove nothing. */
    std::uint64_t ignoredUpTo_ = 0;
    /** Increasing in both fields, so that the front is the minimum since the last proof. */
    std::deque<Minimum> minima_;
    std::vector<Duration> samples_;
    std::size_t nextSample_ = 0;
    std::uint32_t slowInARow_ = 0;
    std::uint32_t successes_ = 0;
    TimePoint lastChange_{};
    bool hasChanged_ = false;
};

} // namespace hornbeamlane
