#include "hornbeamlane_gateway/maps/MapDuty.h"

#include "hornbeamlane_observability/hornbeamlane_observability.h"

#include <algorithm>
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

std::map<GroupId, MapDuty::GroupView> MapDuty::groups() const
{
    std::map<GroupId, GroupView> groups;
    for (const auto &[id, backend] : hooks_.servers()) {
        if (!backend.spec.group || backend.isGone) {
            continue;
        }
        auto &view = groups[backend.spec.group->group];
        view.service = backend.spec.service;
        view.size = backend.spec.group->size;
        view.isOpen = view.isOpen && backend.spec.group->isOpen;
        view.addresses[backend.spec.group->rank] = backend.spec.address;
    }
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
    for (auto &[group, view] : groups()) {
        const auto engine = hooks_.engineOf(view.service);
        if (!engine || engine->expertLayers == 0 || view.size < 2) {
            continue;
        }
        auto &keeper = keepers_[group];
        if (!keeper) {
            keeper = std::make_unique<GroupMapKeeper>(loop_, hooks_.engines,
                                                      GroupMapKeeper::Options{.group = group,
                                                                              .ranks = view.size,
                                                                              .engine = *engine,
                                                                              .token = *token_,
                                                                              .policy = options_.policy});
        }
        // Orders to a group that has lost a rank would have no effect in its next epoch.
        if (!view.isOpen) {
            continue;
        }
        keeper->setRanks(std::move(view.addresses));
        keeper->tick();
    }
}

} // namespace hornbeamlane
