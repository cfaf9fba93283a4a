#include "hornbeamlane_admission/concurrency/EngineWatch.h"

#include <algorithm>

namespace hornbeamlane {

EngineWatch::EngineWatch(Options options, TimePoint start)
    : options_(std::move(options))
    , start_(start)
{
    if (!options_.isTrusted) {
        options_.isTrusted = [] { return true; };
    }
    if (!options_.countLeftovers) {
        options_.countLeftovers = [](std::uint32_t reported) { return reported; };
    }
}

bool EngineWatch::reported(const EngineReport &report, TimePoint now)
{
    const bool hasRestarted = engine_ != Incarnation() && report.engine != engine_;
    engine_ = report.engine;
    if (hasRestarted) {
        // The previous agent's requests ended with the engine that ran them.
        leftovers_ = 0;
    } else if (now - start_ >= options_.reportLag) {
        // An earlier report can describe the time before the previous agent's last request. Requests of this agent are
        // included in the number, so it is an upper bound.
        leftovers_ = leftovers_ ? std::min(*leftovers_, report.running) : report.running;
    }
    advance(now);
    return hasRestarted && options_.isTrusted();
}

bool EngineWatch::connectionFailed() const
{
    return options_.isTrusted();
}

void EngineWatch::advance(TimePoint now)
{
    if (!isReady_ && leftovers_) {
        isReady_ = options_.countLeftovers(*leftovers_) == 0 || now - start_ >= options_.leftoverWait;
    }
}

std::uint32_t EngineWatch::leftovers() const
{
    return leftovers_ ? options_.countLeftovers(*leftovers_) : 0;
}

std::optional<TimePoint> EngineWatch::nextTimer() const
{
    if (isReady_ || !leftovers_) {
        return std::nullopt;
    }
    return start_ + options_.leftoverWait;
}

} // namespace hornbeamlane
