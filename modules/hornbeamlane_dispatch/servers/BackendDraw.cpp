#include "hornbeamlane_dispatch/servers/BackendDraw.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hornbeamlane {

namespace {

/** Scores closer than this count as equal, so that entries with the same view do not all choose the same server. */
constexpr double scoreTolerance = 0.04;

} // namespace

// Entries choose by what they have heard of each other. If all took the server that looks best, those sent until they
// hear of it would pile up there. So each draws among as many of the best as requests are sent in that time.
const Backend &drawBackend(std::vector<BackendCandidate> candidates, double unseenRequests, RandomSource &random)
{
    std::sort(candidates.begin(), candidates.end(),
              [](const BackendCandidate &a, const BackendCandidate &b) { return a.score < b.score; });
    const auto unseen = static_cast<std::size_t>(std::max(0.0, std::round(unseenRequests)));
    const auto best = candidates.front().score;
    std::size_t eligible = std::clamp<std::size_t>(unseen, 1, candidates.size());
    while (eligible < candidates.size() && candidates[eligible].score <= best + scoreTolerance) {
        ++eligible;
    }
    const auto &one = candidates[random.below(eligible)];
    const auto &other = candidates[random.below(eligible)];
    // The order of servers that look alike says nothing about them.
    return *(other.score < one.score - scoreTolerance ? other : one).backend;
}

std::vector<Backend *> drawSample(const std::vector<Backend *> &servers, std::size_t most, RandomSource &random)
{
    auto sample = servers;
    if (sample.size() <= most) {
        return sample;
    }
    for (std::size_t i = 0; i < most; ++i) {
        std::swap(sample[i], sample[i + random.below(sample.size() - i)]);
    }
    sample.resize(most);
    return sample;
}

} // namespace hornbeamlane
