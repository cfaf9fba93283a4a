#include "hornbeamlane_routing/prefix/PrefixCacheView.h"

#include <algorithm>
#include <bit>

namespace hornbeamlane {

namespace {

/** Trust never reaches zero, so that a server with one gap is not ignored for good. */
constexpr double leastTrust = 0.05;

} // namespace

PrefixCacheView::PrefixCacheView()
    : PrefixCacheView(Options{})
{
}

PrefixCacheView::PrefixCacheView(Options options)
    : options_(std::move(options))
    , entries_(std::bit_ceil(std::max(options_.maxEntries, bucketSize)))
{
    if (!options_.isNewer) {
        options_.isNewer = [](std::uint64_t known, std::uint64_t received) { return received > known; };
    }
}

void PrefixCacheView::onReport(ServerIndex server, const LoadReport &report)
{
    if (source(server).engine != report.engineIncarnation) {
        // A restarted engine has an empty cache and numbers its events from the start. The first report after a link
        // came up names the engine that the dispatches since then went to, so their prefixes stay.
        if (source(server).engine != Incarnation()) {
            forget(server);
        }
        source(server).engine = report.engineIncarnation;
    }
    auto &from = source(server);
    const std::uint64_t events = report.cachedPrefixes.size() + report.evictedPrefixes.size();
    if (from.hasSequence) {
        if (!options_.isNewer(from.sequence, report.cacheSequence)) {
            return;
        }
        const bool hasGap = report.cacheSequence > from.sequence + events;
        from.trust = hasGap ? std::max(leastTrust, from.trust * options_.trustAfterGap)
                            : from.trust + (1 - from.trust) * options_.trustRecovery;
    }
    from.hasSequence = true;
    from.sequence = report.cacheSequence;
    for (const auto prefix : report.cachedPrefixes) {
        store(server, prefix);
    }
    for (const auto prefix : report.evictedPrefixes) {
        erase(server, prefix);
    }
}

void PrefixCacheView::onDispatched(ServerIndex server, std::span<const std::uint64_t> prefixes)
{
    for (const auto prefix : prefixes) {
        store(server, prefix);
    }
}

void PrefixCacheView::forget(ServerIndex server)
{
    auto &from = source(server);
    from = Source{.generation = from.generation + 1};
}

std::size_t PrefixCacheView::findHolders(std::span<const std::uint64_t> prefixes, std::span<ServerIndex> holders) const
{
    std::size_t found = 0;
    for (auto prefix = prefixes.rbegin(); prefix != prefixes.rend() && found == 0; ++prefix) {
        for (const auto &entry : bucket(*prefix)) {
            if (found < holders.size() && entry.prefix == *prefix && isLive(entry)) {
                holders[found++] = entry.server;
            }
        }
    }
    return found;
}

double PrefixCacheView::cachedShare(ServerIndex server, std::span<const std::uint64_t> prefixes) const
{
    for (std::size_t length = prefixes.size(); length > 0; --length) {
        const auto prefix = prefixes[length - 1];
        for (const auto &entry : bucket(prefix)) {
            if (entry.prefix == prefix && entry.server == server && isLive(entry)) {
                return trust(server) * static_cast<double>(length) / static_cast<double>(prefixes.size());
            }
        }
    }
    return 0;
}

double PrefixCacheView::trust(ServerIndex server) const
{
    return server < sources_.size() ? sources_[server].trust : 1;
}

PrefixCacheView::Source &PrefixCacheView::source(ServerIndex server)
{
    if (server >= sources_.size()) {
        sources_.resize(server + std::size_t{1});
    }
    return sources_[server];
}

bool PrefixCacheView::isLive(const Entry &entry) const
{
    return entry.generation != 0 && sources_[entry.server].generation == entry.generation;
}

std::span<PrefixCacheView::Entry> PrefixCacheView::bucket(std::uint64_t prefix)
{
    const std::size_t buckets = entries_.size() / bucketSize;
    return std::span(entries_).subspan((prefix & (buckets - 1)) * bucketSize, bucketSize);
}

std::span<const PrefixCacheView::Entry> PrefixCacheView::bucket(std::uint64_t prefix) const
{
    const std::size_t buckets = entries_.size() / bucketSize;
    return std::span(entries_).subspan((prefix & (buckets - 1)) * bucketSize, bucketSize);
}

void PrefixCacheView::store(ServerIndex server, std::uint64_t prefix)
{
    const auto generation = source(server).generation;
    Entry *place = nullptr;
    for (auto &entry : bucket(prefix)) {
        if (entry.prefix == prefix && entry.server == server && entry.generation == generation) {
            entry.writtenAt = ++writes_;
            return;
        }
        const std::uint64_t age = isLive(entry) ? entry.writtenAt : 0;
        if (place == nullptr || age < (isLive(*place) ? place->writtenAt : 0)) {
            place = &entry;
        }
    }
    *place = Entry{.prefix = prefix, .server = server, .generation = generation, .writtenAt = ++writes_};
}

void PrefixCacheView::erase(ServerIndex server, std::uint64_t prefix)
{
    for (auto &entry : bucket(prefix)) {
        if (entry.prefix == prefix && entry.server == server) {
            entry = Entry{};
        }
    }
}

} // namespace hornbeamlane
