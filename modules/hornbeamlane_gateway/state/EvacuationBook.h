#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"

#include <map>
#include <optional>
#include <set>

namespace hornbeamlane {

/** Data centres that get no new work, also while the store has lost what the operator wrote last. */
class EvacuationBook final
{
public:
    struct Options
    {
        /** The operator has written again what the store has lost after this time; then the store counts alone. */
        std::chrono::milliseconds restoredGrace{15000};
    };

    EvacuationBook();
    explicit EvacuationBook(Options options);

    /** The row of a data centre was written or removed. */
    void onRow(const DataCentreId &dataCentre, bool isEvacuated);

    /** All data centres that the store names. */
    void onSnapshot(const std::set<DataCentreId> &listed);

    /** The same from a store that has come back from an older copy. */
    void onRestored(const std::set<DataCentreId> &listed, TimePoint now);

    std::set<DataCentreId> evacuated(TimePoint now) const;

    /** When evacuated() changes without any row; empty if it does not. */
    std::optional<TimePoint> nextChangeAt(TimePoint now) const;

private:
    /** What was known before the store came back. */
    struct Kept
    {
        bool isEvacuated = false;
        TimePoint until;
    };

    Options options_;
    std::set<DataCentreId> listed_;
    std::map<DataCentreId, Kept> kept_;
};

} // namespace hornbeamlane
