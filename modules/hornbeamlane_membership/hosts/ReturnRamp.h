#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"

#include <functional>
#include <map>

namespace hornbeamlane {

/** Share of its normal load that a data centre receives after its return to service. */
class ReturnRamp final
{
public:
    struct Options
    {
        double firstShare = 0.05;
        Duration length = std::chrono::seconds(60);
        /** Share after the given fraction of the length; a hook for baselines. */
        std::function<double(double first, double fraction)> shape = [](double first, double fraction) {
            return first + (1 - first) * fraction;
        };
    };

    explicit ReturnRamp(Options options);

    /** The data centre is out of service: drained, or without contact. */
    void noteAbsent(const DataCentreId &dataCentre);

    /** The data centre takes work. Starts the ramp if it was absent before. */
    void notePresent(const DataCentreId &dataCentre, TimePoint now);

    /** Share in [0, 1]; 0 while absent, 1 for a data centre that was never absent. */
    double share(const DataCentreId &dataCentre, TimePoint now) const;

private:
    struct State
    {
        bool isAbsent = false;
        TimePoint returned;
    };

    Options options_;
    /** Holds only data centres that are absent or on their ramp. */
    std::map<DataCentreId, State> states_;
};

} // namespace hornbeamlane
