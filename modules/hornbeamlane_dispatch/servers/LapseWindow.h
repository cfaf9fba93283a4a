#pragma once

#include "hornbeamlane_base/hornbeamlane_base.h"

#include <optional>

namespace hornbeamlane {

/** Tells whether a server whose entry has gone may only have lapsed while the store was away. */
class LapseWindow final
{
public:
    struct Options
    {
        /** Entries of servers that live are back within this time after the store's return. */
        std::chrono::milliseconds grace{2000};
        /** Entries that go later than this after the return have not lapsed: they were removed. */
        std::chrono::milliseconds removalsCount{600};
        /** Servers that live have written their entries again within this time after the store has come back from an
            older copy. */
        std::chrono::milliseconds restoredGrace{10000};
    };

    LapseWindow();
    explicit LapseWindow(Options options);

    /** Contact to the store was lost or is back. */
    void onReachable(bool isReachable, TimePoint now);

    /** The entries that are read next come from a store that has come back from an older copy. */
    void onRestored(TimePoint now);

    /** Until when a server may be used whose entry is found missing now; empty if it was removed. */
    std::optional<TimePoint> usableUntil(TimePoint now) const;

private:
    Options options_;
    std::optional<TimePoint> returnedAt_;
    std::optional<TimePoint> restoredAt_;
};

} // namespace hornbeamlane
