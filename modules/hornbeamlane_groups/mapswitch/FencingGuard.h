#pragma once

#include "hornbeamlane_groups/placement/ExpertMap.h"
#include "hornbeamlane_membership/hornbeamlane_membership.h"
#include "hornbeamlane_messages/types/GroupMessages.h"

#include <functional>
#include <optional>

namespace hornbeamlane {

/**
    Checks map orders in the agent, on behalf of an engine that may ignore fencing tokens.

    After a start it refuses all orders until the group's lease row has been read, because the tokens that the previous
    agent process had seen are lost. It passes one order at a time: two orders on two connections could overtake each
    other on their way to the engine, and an older one would then take effect after a newer one.
*/
class FencingGuard final
{
public:
    struct Options
    {
        GroupId group;
        RankIndex rank = 0;
        /** Token check. Default: not older than the highest one seen or read. */
        std::function<bool(FencingToken token, FencingToken highest)> acceptsToken;
        /** Whether orders may pass before the row was read. Default: no. */
        std::function<bool()> mayPassUnread;
        /** Check of the engine that an order names. Default: it is the present engine, or any for Query. */
        std::function<bool(const MapOrder &order, Incarnation engine)> acceptsEngine;
        /** Whether an order may pass while another is at the engine. Default: no. */
        std::function<bool()> mayOvertake;
    };

    explicit FencingGuard(Options options);

    /** True until the lease row has been read; the read must have started after this object was made. */
    bool needsRow() const
    {
        return !hasRow_;
    }

    /** Takes the group's lease row; empty if the row is absent. */
    void noteRow(const std::optional<TableRow> &row);

    /** Takes the incarnation of the engine; a new one ends the wait for an answer of the previous one. */
    void noteEngine(Incarnation engine);

    /** Empty if the order goes to the engine; otherwise the answer to the controller. */
    std::optional<MapStatus> refuse(const MapOrder &order);

    /** Takes the engine's answer and gives the answer to the controller. */
    MapStatus noteAnswer(MapStatus answer);

private:
    Options options_;
    bool hasRow_ = false;
    bool isBusy_ = false;
    Incarnation engine_;
    FencingToken highest_;
};

} // namespace hornbeamlane
