#include "hornbeamlane_dispatch/pace/PaceBook.h"

#include <utility>

namespace hornbeamlane {

namespace {

/** Longer than a group takes to form again, so that its unit keeps what it knows of the streams' lengths. */
constexpr std::chrono::seconds unitAge{60};

/** Keeps the unit of a server apart from that of a group of the same name. */
constexpr const char *serverPrefix = "server/";

} // namespace

PaceUnitId paceUnitOf(const ServerId &server)
{
    return PaceUnitId(serverPrefix + server.name());
}

PaceUnitId paceUnitOf(const GroupId &group)
{
    return PaceUnitId(group.name());
}

PaceBook::PaceBook()
    : PaceBook(StreamGovernor::Options())
{
}

PaceBook::PaceBook(StreamGovernor::Options options)
    : options_(options)
{
}

PaceBook::Unit &PaceBook::of(const PaceUnitId &unit)
{
    const auto found = units_.find(unit);
    if (found != units_.end()) {
        return found->second;
    }
    return units_.emplace(unit, Unit{.governor = StreamGovernor(options_)}).first->second;
}

void PaceBook::onPause(const PaceUnitId &unit, Duration pause, std::chrono::milliseconds target, TimePoint now)
{
    of(unit).governor.onPause(pause, target, now);
}

void PaceBook::onStreamEnded(const PaceUnitId &unit, std::size_t events)
{
    of(unit).governor.onStreamEnded(events);
}

void PaceBook::setFixedPassTime(const PaceUnitId &unit, Duration time)
{
    of(unit).governor.setFixedPassTime(time);
}

void PaceBook::update(const PaceUnitId &unit, const PaceUnitLoad &load, TimePoint now)
{
    auto &known = of(unit);
    known.load = load;
    known.updatedAt = now;
    known.governor.setLoad(load.inFlight, load.places);
    known.governor.update(now);
}

std::optional<std::uint32_t> PaceBook::limitOf(const PaceUnitId &unit, std::uint32_t places) const
{
    const auto found = units_.find(unit);
    return found == units_.end() ? std::nullopt : std::optional(found->second.governor.limit(places));
}

double PaceBook::fillOf(const PaceUnitId &unit, const PaceUnitLoad &load) const
{
    if (load.places == 0) {
        return 0;
    }
    const auto limit = limitOf(unit, load.places).value_or(load.places);
    return limit == 0 ? 1.0 : static_cast<double>(load.inFlight) / limit;
}

bool PaceBook::isOutOfReach(const PaceUnitId &unit) const
{
    const auto found = units_.find(unit);
    return found != units_.end() && found->second.governor.isTargetOutOfReach();
}

void PaceBook::restart(const PaceUnitId &unit, StreamGovernor::RestartCause cause)
{
    of(unit).governor.restart(cause);
}

std::vector<std::pair<PaceUnitId, double>> PaceBook::bounds() const
{
    std::vector<std::pair<PaceUnitId, double>> bounds;
    for (const auto &[unit, known] : units_) {
        if (const auto share = known.governor.measuredShare()) {
            bounds.emplace_back(unit, *share);
        }
    }
    return bounds;
}

void PaceBook::onPeerBounds(const std::function<std::optional<double>(const PaceUnitId &)> &boundFor)
{
    for (auto &[unit, known] : units_) {
        known.governor.onPeerShare(boundFor(unit));
    }
}

void PaceBook::sweep(TimePoint now)
{
    for (auto &[unit, known] : units_) {
        if (known.updatedAt == TimePoint{}) {
            known.updatedAt = now;
        }
    }
    std::erase_if(units_, [now](const auto &entry) { return now - entry.second.updatedAt > unitAge; });
}

void PaceBook::forEach(
    const std::function<void(const PaceUnitId &, const StreamGovernor &, const PaceUnitLoad &)> &visit) const
{
    for (const auto &[unit, known] : units_) {
        visit(unit, known.governor, known.load);
    }
}

} // namespace hornbeamlane
