#include "hornbeamlane_gateway/state/EvacuationBook.h"

#include <algorithm>

namespace hornbeamlane {

EvacuationBook::EvacuationBook()
    : EvacuationBook(Options())
{
}

EvacuationBook::EvacuationBook(Options options)
    : options_(options)
{
}

void EvacuationBook::onRow(const DataCentreId &dataCentre, bool isEvacuated)
{
    kept_.erase(dataCentre);
    isEvacuated ? (void)listed_.insert(dataCentre) : (void)listed_.erase(dataCentre);
}

void EvacuationBook::onSnapshot(const std::set<DataCentreId> &listed)
{
    listed_ = listed;
}

void EvacuationBook::onRestored(const std::set<DataCentreId> &listed, TimePoint now)
{
    const auto known = evacuated(now);
    kept_.clear();
    listed_ = listed;
    auto all = known;
    all.insert(listed.begin(), listed.end());
    for (const auto &dataCentre : all) {
        if (known.contains(dataCentre) != listed.contains(dataCentre)) {
            kept_[dataCentre] = {.isEvacuated = known.contains(dataCentre), .until = now + options_.restoredGrace};
        }
    }
}

std::set<DataCentreId> EvacuationBook::evacuated(TimePoint now) const
{
    auto result = listed_;
    for (const auto &[dataCentre, kept] : kept_) {
        if (now < kept.until) {
            kept.isEvacuated ? (void)result.insert(dataCentre) : (void)result.erase(dataCentre);
        }
    }
    return result;
}

std::optional<TimePoint> EvacuationBook::nextChangeAt(TimePoint now) const
{
    std::optional<TimePoint> next;
    for (const auto &[dataCentre, kept] : kept_) {
        if (now < kept.until) {
            next = std::min(next.value_or(kept.until), kept.until);
        }
    }
    return next;
}

} // namespace hornbeamlane
