#pragma once

#include "hornbeamlane_groups/placement/ExpertMap.h"
#include "hornbeamlane_messages/types/GroupMessages.h"

#include <functional>
#include <optional>

namespace hornbeamlane {

/**
    The rules of one rank of an engine for map orders; a stand-in engine uses the class, and it is the contract for
   others.

    - Arm names a step. The rank does not enter that step before Go for exactly this arm; Go is final.
    - Arm is refused for a step that the rank has entered, and for a step not after all earlier arms of the token.
    - Disarm has an effect on exactly the arm that it names, and also on its Arm if that arrives later.
    - An engine starts without a map and enters no step. Stage with a step loads its first map; the rank enters that
   step after Go. The others may have completed that step and the next; the rank then takes their results over.
    - When a rank dies, the others discard its part in a step that is not complete.
    - Orders are handled one after the other in the order of their arrival.
*/
class RankGate final
{
public:
    struct Options
    {
        GroupId group;
        RankIndex rank = 0;
        Incarnation engine;
        /** False for engines that ignore fencing tokens. */
        bool enforcesFencing = true;
        /** Token check. Default: not older than the highest one seen. */
        std::function<bool(FencingToken token, FencingToken highest)> acceptsToken;
        /** Check of the engine that an order names. Default: it is this engine, or any for Query. */
        std::function<bool(const MapOrder &order, Incarnation engine)> acceptsEngine;
        /** Whether Go or Disarm names the present arm. Default: map and step are equal. */
        std::function<bool(const MapOrder &order, const MapStatus &status)> namesArm;
        /** Whether the rank may enter a step. Default: not the armed step without Go. */
        std::function<bool(StepNumber step, const MapStatus &status)> mayEnter;
        /** Whether a rank enters its first step after a start without Go. Default: no. */
        std::function<bool(const MapStatus &status)> mayJoinWithoutGo;
    };

    explicit RankGate(Options options);

    /** Handles one order and gives the state after it. */
    MapStatus handle(const MapOrder &order);

    /** Map whose weights the engine has to load now; followed by finishLoading(). */
    std::optional<ExpertMapVersion> loading() const;
    void finishLoading();

    /** Enters the next step and gives its map; empty if the rank has to hold. */
    std::optional<ExpertMapVersion> enterNextStep();

    const MapStatus &status() const
    {
        return status_;
    }

private:
    bool apply(const MapOrder &order);
    bool stage(const MapOrder &order);
    bool arm(const MapOrder &order);
    bool go(const MapOrder &order);
    bool disarm(const MapOrder &order);
    void clearArm();

    struct Loading
    {
        ExpertMapVersion map;
        StepNumber joinStep;
    };

    Options options_;
    MapStatus status_;
    std::optional<Loading> loading_;
    /** Highest step armed or disarmed under the present token. */
    StepNumber lastArmStep_;
};

} // namespace hornbeamlane
