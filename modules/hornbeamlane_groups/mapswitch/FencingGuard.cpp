#include "hornbeamlane_groups/mapswitch/FencingGuard.h"

#include <algorithm>
#include <utility>

namespace hornbeamlane {

FencingGuard::FencingGuard(Options options)
    : options_(std::move(options))
{
    if (!options_.acceptsToken) {
        options_.acceptsToken = [](FencingToken token, FencingToken highest) { return token >= highest; };
    }
    if (!options_.mayPassUnread) {
        options_.mayPassUnread = [] { return false; };
    }
    if (!options_.acceptsEngine) {
        options_.acceptsEngine = [](const MapOrder &order, Incarnation engine) {
            return order.engine == engine || (order.kind == MapOrderKind::Query && order.engine == Incarnation());
        };
    }
    if (!options_.mayOvertake) {
        options_.mayOvertake = [] { return false; };
    }
}

void FencingGuard::noteRow(const std::optional<TableRow> &row)
{
    hasRow_ = true;
    if (row) {
        highest_ = std::max(highest_, fencingTokenOf(*row));
    }
}

void FencingGuard::noteEngine(Incarnation engine)
{
    if (engine != engine_) {
        engine_ = engine;
        isBusy_ = false;
    }
}

std::optional<MapStatus> FencingGuard::refuse(const MapOrder &order)
{
    MapStatus refusal;
    refusal.group = options_.group;
    refusal.rank = options_.rank;
    refusal.token = highest_;
    if (!hasRow_ && !options_.mayPassUnread()) {
        return refusal;
    }
    if (order.group != options_.group || order.rank != options_.rank || !options_.acceptsToken(order.token, highest_)) {
        return refusal;
    }
    // The token counts even if the order goes no further: its controller holds the lease now.
    highest_ = std::max(highest_, order.token);
    refusal.token = highest_;
    if (engine_ == Incarnation() || !options_.acceptsEngine(order, engine_) || (isBusy_ && !options_.mayOvertake())) {
        return refusal;
    }
    isBusy_ = true;
    return std::nullopt;
}

MapStatus FencingGuard::noteAnswer(MapStatus answer)
{
    if (answer.engine == engine_) {
        isBusy_ = false;
    }
    answer.token = highest_;
    return answer;
}

} // namespace hornbeamlane
