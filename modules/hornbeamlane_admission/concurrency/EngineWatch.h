#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace hornbeamlane {

/** What the engine says about itself. */
struct EngineReport
{
    Incarnation engine;
    /** Requests that the engine runs, those of a previous agent included. */
    std::uint32_t running = 0;
};

/**
    Knows from the engine's own reports and from connections whether the engine is ready, has restarted, or still runs
    requests of a previous agent.
*/
class EngineWatch final
{
public:
    struct Options
    {
        /** After this time requests left by a previous agent are counted instead of waited for. */
        Duration leftoverWait = std::chrono::seconds(10);
        /** Age that the numbers in a report can have. */
        Duration reportLag = std::chrono::seconds(1);
        /** Whether a new incarnation or a failed connection means cold; replaced to switch "engine-watch" off. */
        std::function<bool()> isTrusted;
        /** Requests of a previous agent to count; replaced to switch "leftovers-counted" off. */
        std::function<std::uint32_t(std::uint32_t reported)> countLeftovers;
    };

    EngineWatch(Options options, TimePoint start);

    /** Returns true if the engine has to be treated as cold. */
    bool reported(const EngineReport &report, TimePoint now);
    /** A connection to the engine was refused or reset. Returns true if the engine has to be treated as cold. */
    bool connectionFailed() const;
    void advance(TimePoint now);

    /** False until the engine has reported that it is free of a previous agent's requests, or the wait is over. */
    bool isReady() const
    {
        return isReady_;
    }

    /** Requests of a previous agent that may still run. */
    std::uint32_t leftovers() const;

    Incarnation engine() const
    {
        return engine_;
    }

    std::optional<TimePoint> nextTimer() const;

private:
    Options options_;
    TimePoint start_;
    Incarnation engine_;
    std::optional<std::uint32_t> leftovers_;
    bool isReady_ = false;
};

} // namespace hornbeamlane
