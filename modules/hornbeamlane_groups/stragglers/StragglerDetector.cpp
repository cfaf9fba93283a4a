#include "hornbeamlane_groups/stragglers/StragglerDetector.h"

#include <algorithm>
#include <utility>

namespace hornbeamlane {

namespace {

double median(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

StragglerDetector::StragglerDetector(Options options)
    : options_(std::move(options))
    , ranks_(options_.ranks)
{
    HORNBEAMLANE_ASSERT(options_.ranks > 0 && options_.window > 0);
    if (!options_.decide) {
        options_.decide = [needed = options_.windowsToReport](double, std::size_t slowWindows) {
            return slowWindows >= needed;
        };
    }
}

void StragglerDetector::addStep(const std::vector<Duration> &times, const std::vector<double> &expectedLoad)
{
    HORNBEAMLANE_ASSERT(times.size() == ranks_.size()
                        && (expectedLoad.empty() || expectedLoad.size() == ranks_.size()));
    std::vector<double> relative(times.size());
    for (std::size_t i = 0; i < times.size(); ++i) {
        relative[i] = std::chrono::duration<double>(times[i]).count() / (expectedLoad.empty() ? 1.0 : expectedLoad[i]);
    }
    // Relative to the median of the same step, so that long prompts do not look like slow ranks.
    const double typical = median(relative);
    if (typical <= 0.0) {
        return;
    }
    for (std::size_t i = 0; i < times.size(); ++i) {
        ranks_[i].samples.push_back(relative[i] / typical);
    }
    if (++steps_ == options_.window) {
        closeWindow();
        steps_ = 0;
    }
}

StragglerReport StragglerDetector::report() const
{
    StragglerReport report;
    for (RankIndex i = 0; i < options_.ranks; ++i) {
        if (ranks_[i].isReported && ranks_[i].slowness > report.slowness) {
            report = {.advice = ranks_[i].slowness >= options_.hopelessFactor ? StragglerAdvice::TakeOutOfRouting
                                                                              : StragglerAdvice::ReduceLoad,
                      .rank = i,
                      .slowness = ranks_[i].slowness};
        }
    }
    return report;
}

RankSlowness StragglerDetector::slowness() const
{
    RankSlowness slowness(ranks_.size(), 1.0);
    for (std::size_t i = 0; i < ranks_.size(); ++i) {
        if (ranks_[i].isReported) {
            slowness[i] = std::max(1.0, ranks_[i].slowness);
        }
    }
    return slowness;
}

void StragglerDetector::closeWindow()
{
    for (auto &rank : ranks_) {
        // The median ignores a stall of a few steps however long it is.
        rank.slowness = median(std::exchange(rank.samples, {}));
        rank.slowWindows = rank.slowness >= options_.slowFactor ? rank.slowWindows + 1 : 0;
        rank.normalWindows = rank.slowness < options_.clearFactor ? rank.normalWindows + 1 : 0;
        if (options_.decide(rank.slowness, rank.slowWindows)) {
            rank.isReported = true;
        } else if (rank.normalWindows >= options_.windowsToClear) {
            rank.isReported = false;
        }
    }
}

} // namespace hornbeamlane
