#pragma once

#include "hornbeamlane_dispatch/hornbeamlane_dispatch.h"
#include "hornbeamlane_gateway/maps/EngineApi.h"
#include "hornbeamlane_network/loop/EventLoop.h"

#include <functional>
#include <map>
#include <string>

namespace hornbeamlane {

/** Asks a rank of a group that stays closed whether the group runs again: its entries may not tell for a while. */
class GroupProbe final
{
public:
    struct Options
    {
        /** Time for which the entries have called the group broken; it has mostly formed again by then. */
        std::chrono::milliseconds after{3000};
        std::chrono::milliseconds interval{500};
    };

    struct Hooks
    {
        ReadRankReport readReport;
        /** The group of this rank runs. */
        std::function<void(const ServerId &rank)> hasFormed;
    };

    /** The references must outlive this. */
    GroupProbe(EventLoop &loop, RandomSource &random, BackendBook &servers, Options options, Hooks hooks);

    /** Call several times a second. */
    void sweep(TimePoint now);

private:
    void ask(const Backend &rank);
    void take(const ServerId &rank, const EngineRankReport &report);

    EventLoop &loop_;
    RandomSource &random_;
    BackendBook &servers_;
    Options options_;
    Hooks hooks_;
    /** When a rank of each closed group was asked last. */
    std::map<GroupId, TimePoint> askedAt_;
};

} // namespace hornbeamlane
