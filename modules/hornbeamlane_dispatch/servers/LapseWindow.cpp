#include "hornbeamlane_dispatch/servers/LapseWindow.h"

namespace hornbeamlane {

LapseWindow::LapseWindow()
    : LapseWindow(Options())
{
}

LapseWindow::LapseWindow(Options options)
    : options_(options)
{
}

void LapseWindow::onReachable(bool isReachable, TimePoint now)
{
    if (isReachable) {
        returnedAt_ = now;
    } else {
        returnedAt_.reset();
    }
}

void LapseWindow::onRestored(TimePoint now)
{
    restoredAt_ = now;
}

std::optional<TimePoint> LapseWindow::usableUntil(TimePoint now) const
{
    if (restoredAt_ && now - *restoredAt_ <= options_.removalsCount) {
        return *restoredAt_ + options_.restoredGrace;
    }
    // The grace runs from the store's return and not from the removal: a server that leaves just after the return is
    // bound by its own leaving.
    if (!returnedAt_ || now - *returnedAt_ > options_.removalsCount) {
        return std::nullopt;
    }
    return *returnedAt_ + options_.grace;
}

} // namespace hornbeamlane
