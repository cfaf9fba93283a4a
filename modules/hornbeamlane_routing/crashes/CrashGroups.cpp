#include "hornbeamlane_routing/crashes/CrashGroups.h"

#include <algorithm>
#include <utility>

namespace hornbeamlane::detail {

std::vector<Crashes> groupsOf(const Crashes &crashes, std::chrono::milliseconds together)
{
    std::vector<const ServerCrash *> sorted(crashes.begin(), crashes.end());
    std::sort(sorted.begin(), sorted.end(), [](const ServerCrash *a, const ServerCrash *b) {
        return std::pair(a->at, a->id) < std::pair(b->at, b->id);
    });
    std::vector<Crashes> groups;
    TimePoint groupStart;
    for (const auto *crash : sorted) {
        if (groups.empty() || crash->at - groupStart > together) {
            groups.emplace_back();
            groupStart = crash->at;
        }
        groups.back().insert(crash);
    }
    return groups;
}

TimePoint lastOf(const Crashes &crashes)
{
    TimePoint last;
    for (const auto *crash : crashes) {
        last = std::max(last, crash->at);
    }
    return last;
}

bool hadBegunBefore(TraitHash trait, const Crashes &crashes)
{
    return std::any_of(crashes.begin(), crashes.end(),
                       [trait](const ServerCrash *crash) { return crash->hadBegunBefore(trait); });
}

std::chrono::milliseconds doubled(std::chrono::milliseconds time, std::size_t times)
{
    // More than any hold that counts.
    constexpr std::size_t most = 16;
    return time * (std::size_t(1) << std::min(times, most));
}

} // namespace hornbeamlane::detail
