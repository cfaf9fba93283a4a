#include "hornbeamlane_gateway/maps/MapDuty.h"

#include "hornbeamlane_observability/hornbeamlane_observability.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace hornbeamlane {

MapDuty::MapDuty(EventLoop &loop, TableClient &table, const Options &options, Hooks hooks)
    : loop_(loop)
    , table_(table)
    , options_(options)
    , hooks_(std::move(hooks))
    , lease_({.key = options.leaseKey,
              .holder = options.self,
              .duration = options.leaseDuration,
              .renewInterval = options.renewInterval,
              .readInterval = options.readInterval,
              .takeoverDelay = std::chrono::milliseconds(options.self.value()
                                                         % static_cast<std::uint64_t>(options.takeoverSpread.count()))})
    , timer_(loop, [this] {
        tick();
        timer_.startOnce(!token_ && isHolderHeard() ? options_.watchInterval : options_.tickInterval);
    })
{
}

void MapDuty::start()
{
    timer_.startOnce(Duration::zero());
}

void MapDuty::stop()
{
    timer_.stop();
    keepers_.clear();
    lease_.release();
    pollLease();
}

void MapDuty::onEraRisen(TableEra era)
{
    lease_.onEraRisen(era, loop_.nowWithSuspend());
    if (token_) {
        // Also a lease that goes on because the store is away ends with the store's return.
        logEvent(LogLevel::Info, "map_lease_lost", {{"token", "-"}, {"era", std::to_string(era)}});
        token_.reset();
        keepers_.clear();
    }
}

bool MapDuty::isHolderHeard() const
{
    const auto silence = std::max(options_.holderSilence, hooks_.usualSilence());
    return loop_.now() - hooks_.holderHeardAt() < silence;
}

void MapDuty::pollLease()
{
    // Reads are priced, and a holder that is heard has not lost the lease.
    if (!token_ && isHolderHeard()) {
        return;
    }
    const auto request = lease_.poll(loop_.nowWithSuspend());
    if (!request) {
        return;
    }
    tableAskedAt_ = loop_.now();
    const auto handler = [this, isWrite = request->write.has_value()](const TableReply &reply) {
        const bool isAnswer = reply.status != TableStatus::NoReply && reply.status != TableStatus::Unavailable;
        (isAnswer ? tableAnsweredAt_ : tableFailedAt_) = loop_.now();
        if (isWrite && reply.status == TableStatus::Ok) {
            // Also when the answer took longer than the lease: the row was this entry's until now.
            lapsedAt_.reset();
        }
        lease_.handleReply(reply, loop_.nowWithSuspend());
    };
    if (request->write) {
        table_.write(*request->write, handler);
    } else {
        table_.read(request->key, handler);
    }
}

// A rank that several rows name says nothing of its group's state until one of them has gone, unless no other does.
bool MapDuty::GroupView::isOpen() const
{
    const auto isOpenRank = [](const auto &rank) {
        return std::all_of(rank.second.begin(), rank.second.end(),
                           [](const BackendSpec *row) { return row->group->isOpen; });
    };
    const auto isContested = [](const auto &rank) { return rank.second.size() > 1; };
    const bool areAllContested = std::all_of(rows.begin(), rows.end(), isContested);
    return std::all_of(rows.begin(), rows.end(),
                       [&](const auto &rank) { return isOpenRank(rank) || (isContested(rank) && !areAllContested); });
}

// Rows of other writers may state any size. A size counts once there is a row for each of its ranks, so what is kept
// for a group is never more than its rows; and a row that states another size than the others stands alone.
std::vector<MapDuty::GroupView> MapDuty::groups()
{
    std::map<std::pair<std::string_view, std::uint32_t>, GroupView> views;
    for (const auto &[id, backend] : hooks_.servers()) {
        if (!backend.spec.group || backend.isGone) {
            continue;
        }
        const auto &place = *backend.spec.group;
        auto &view = views[{place.group.name(), place.size}];
        if (view.rows.empty()) {
            view.group = place.group;
            view.service = backend.spec.service;
            view.size = place.size;
        }
        view.rows[place.rank].push_back(&backend.spec);
    }
    std::vector<GroupView> groups;
    for (auto &[key, view] : views) {
        const auto kept = keepers_.find(view.group);
        const bool isKept = kept != keepers_.end() && kept->second.size == view.size;
        if (view.size >= 2 && (isKept || view.isComplete())) {
            groups.push_back(std::move(view));
        }
    }
    std::stable_sort(groups.begin(), groups.end(),
                     [](const GroupView &a, const GroupView &b) { return a.size > b.size; });
    std::set<GroupId> named;
    std::erase_if(groups, [&named](const GroupView &view) { return !named.insert(view.group).second; });
    const auto leftOut = groups.size() > options_.maxGroups ? groups.size() - options_.maxGroups : 0;
    if (leftOut != groupsLeftOut_) {
        groupsLeftOut_ = leftOut;
        logEvent(LogLevel::Warning, "map_groups_left_out",
                 {{"groups", std::to_string(leftOut)}, {"kept", std::to_string(options_.maxGroups)}});
    }
    groups.resize(groups.size() - leftOut);
    return groups;
}

std::optional<FencingToken> MapDuty::tokenToActUnder()
{
    const auto token = lease_.token(loop_.nowWithSuspend());
    if (token) {
        lapsedAt_.reset();
        return token;
    }
    if (!lapsedAt_) {
        lapsedAt_ = loop_.now();
    }
    return token_ && mayGoOnWithoutStore() ? token_ : std::nullopt;
}

// While the store is away, or so slow that a renewal takes longer than the lease, nobody can take it, and maps that
// nobody adapts make every stream slow. If another entry reaches the store after all, two controllers act for a moment;
// the switch behind a held pass is safe with that.
bool MapDuty::mayGoOnWithoutStore() const
{
    const bool isStoreAway = std::max(tableFailedAt_, tableAskedAt_) > tableAnsweredAt_;
    return isStoreAway && hooks_.holderHeardAt() < *lapsedAt_ && loop_.now() - *lapsedAt_ < options_.holdWithoutStore;
}

void MapDuty::tick()
{
    pollLease();
    const auto token = tokenToActUnder();
    if (token != token_) {
        token_ = token;
        logEvent(LogLevel::Info, token ? "map_lease_acquired" : "map_lease_lost",
                 {{"token", token ? std::to_string(token->value()) : "-"}});
    }
    if (!token_) {
        return;
    }
    if (keepersToken_ != token_) {
        // A keeper acts under one token only; the next one starts from what the ranks report.
        keepers_.clear();
        keepersToken_ = token_;
    }
    const auto views = groups();
    dropKeepersWithout(views);
    for (const auto &view : views) {
        keepMaps(view);
    }
}

// A keeper knows which versions of maps it has used, so it outlasts rows that are gone for a moment. Only a keeper that
// another one needs the room of ends.
void MapDuty::dropKeepersWithout(const std::vector<GroupView> &views)
{
    if (keepers_.size() < options_.maxGroups) {
        return;
    }
    std::erase_if(keepers_, [&views](const auto &keeper) {
        return std::none_of(views.begin(), views.end(),
                            [&keeper](const GroupView &view) { return view.group == keeper.first; });
    });
}

bool MapDuty::makeKeeper(const GroupView &view, const EngineModel &engine, Kept &kept)
{
    if (kept.keeper && kept.size == view.size) {
        return true;
    }
    if (loop_.now() < kept.pausedUntil) {
        return false;
    }
    kept.size = view.size;
    kept.keeper = std::make_unique<GroupMapKeeper>(
        loop_, hooks_.engines,
        GroupMapKeeper::Options{
            .group = view.group, .ranks = view.size, .engine = engine, .token = *token_, .policy = options_.policy});
    return true;
}

void MapDuty::keepMaps(const GroupView &view)
{
    const auto engine = hooks_.engineOf(view.service);
    if (!engine || engine->expertLayers == 0) {
        return;
    }
    auto &kept = keepers_[view.group];
    const bool isDone = runContained("map_keeper_failed", view.group.name(), [&] {
        // Orders to a group that has lost a rank would have no effect in its next epoch.
        if (makeKeeper(view, *engine, kept) && view.isOpen()) {
            kept.keeper->setRows(view.rows);
            kept.keeper->tick();
        }
    });
    if (!isDone) {
        kept.keeper.reset();
        kept.pausedUntil = loop_.now() + options_.failedGroupPause;
    }
}

} // namespace hornbeamlane
