#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"

#include <chrono>
#include <string>
#include <vector>

namespace hornbeamlane {

enum class ProcessRole { Entry, Agent, Control };

/** First message on a link, sent by both sides. */
struct Hello
{
    ProcessRole role = ProcessRole::Entry;
    std::string name;
    Incarnation incarnation;
    DataCentreId dataCentre;
    std::uint64_t protocolVersion = 1;
    CatalogueVersion catalogueVersion;
    /** Sender's monotonic clock; an entry derives dispatch windows from the agent's value. */
    std::chrono::milliseconds localTime{0};
};

/** Sent at a fixed interval by both sides; a link without one for several intervals is closed. */
struct Heartbeat
{
    std::chrono::milliseconds localTime{0};
    CatalogueVersion catalogueVersion;
    std::uint64_t drainVersion = 0;
    /** The sender takes no new work and will exit when it is idle. */
    bool leaving = false;
};

/** Free team budget of an agent that changed since the last report. */
struct TeamBudget
{
    TeamId team;
    std::uint32_t freeConcurrency = 0;
};

/** State of an agent and its engine as the agent knows it. */
struct LoadReport
{
    std::uint32_t inFlight = 0;
    std::uint32_t limit = 0;
    std::uint32_t queued = 0;
    /** 0 is cold, 1 fully warm. */
    double warmFraction = 0;
    Incarnation engineIncarnation;
    std::chrono::microseconds stepTime{0};
    std::vector<TeamBudget> teamBudgets;
    /** Number of the newest cache event in this report; a jump tells the receiver of a gap. */
    std::uint64_t cacheSequence = 0;
    /** Hashes of prompt prefixes that entered the cache. */
    std::vector<std::uint64_t> cachedPrefixes;
    /** Hashes of prompt prefixes that left the cache. */
    std::vector<std::uint64_t> evictedPrefixes;
    bool leaving = false;
    /** The agent cannot connect to its engine and refuses all work. */
    bool isEngineDown = false;
};

} // namespace hornbeamlane
