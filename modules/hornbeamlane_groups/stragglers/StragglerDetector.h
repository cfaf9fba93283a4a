#pragma once

#include "hornbeamlane_groups/placement/ExpertPlacement.h"

#include <functional>
#include <optional>
#include <vector>

namespace hornbeamlane {

/** What to do about the rank that sets the pace of its group. */
enum class StragglerAdvice {
    None,
    ReduceLoad, ///< Lasting and moderate: place fewer experts on the rank.
    TakeOutOfRouting, ///< Lasting and so slow that the group misses its targets whatever the placement.
};

/** State of the slowest rank of a group. */
struct StragglerReport
{
    StragglerAdvice advice = StragglerAdvice::None;
    RankIndex rank = 0;
    /** Time of the rank relative to the median rank, after the load of its experts is accounted for. */
    double slowness = 1.0;
};

/** Finds ranks that are slow by themselves from the times that all ranks needed for their part of each step. */
class StragglerDetector final
{
public:
    struct Options
    {
        RankIndex ranks = 1;
        /** Steps whose median is one observation; a stall shorter than half of them has no effect. */
        std::size_t window = 32;
        /** Consecutive windows in which a rank must be slow; tells a lasting fault from a passing stall. */
        std::size_t windowsToReport = 3;
        /** Consecutive normal windows after which a report is withdrawn. */
        std::size_t windowsToClear = 5;
        /** Relative time from which a rank counts as slow. */
        double slowFactor = 1.25;
        /** Relative time below which a reported rank counts as normal again. */
        double clearFactor = 1.10;
        /** Relative time from which moving its experts does not help: its share of attention alone is too slow. */
        double hopelessFactor = 2.5;
        /** Decides whether a rank is reported; replaces the count of windows. For baselines. */
        std::function<bool(double slowness, std::size_t slowWindows)> decide;
    };

    explicit StragglerDetector(Options options);

    /**
        Adds the time that each rank needed itself, without waiting for others, and the load that the expert map gives
        it relative to the mean. An empty load means that all are equal.
    */
    void addStep(const std::vector<Duration> &times, const std::vector<double> &expectedLoad = {});

    /** The slowest reported rank; advice None if there is none. */
    StragglerReport report() const;

    /** Slowness of all ranks for the placement: 1 for each rank that is not reported. */
    RankSlowness slowness() const;

private:
    void closeWindow();

    struct Rank
    {
        std::vector<double> samples;
        double slowness = 1.0;
        std::size_t slowWindows = 0;
        std::size_t normalWindows = 0;
        bool isReported = false;
    };

    Options options_;
    std::size_t steps_ = 0;
    std::vector<Rank> ranks_;
};

} // namespace hornbeamlane
