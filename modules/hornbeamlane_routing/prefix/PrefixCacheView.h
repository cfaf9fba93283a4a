#pragma once

#include "hornbeamlane_messages/types/LinkMessages.h"
#include "hornbeamlane_routing/view/ServerState.h"

#include <functional>
#include <span>

namespace hornbeamlane {

/** Which server likely caches which prompt prefix, in a table of fixed size. Wrong entries cost time, never answers. */
class PrefixCacheView final
{
public:
    struct Options
    {
        /** Pairs of prefix and server kept; rounded up to a power of two. */
        std::size_t maxEntries = 65536;
        /** Factor on the trust in a server's entries after a gap in its events. */
        double trustAfterGap = 0.5;
        /** Share of the lost trust that each report without a gap restores. */
        double trustRecovery = 0.1;
        /** Whether a report with this sequence is new to us; the default refuses doubled and older reports. */
        std::function<bool(std::uint64_t known, std::uint64_t received)> isNewer;
    };

    PrefixCacheView();
    explicit PrefixCacheView(Options options);

    /** Learns from the cache events of a report. */
    void onReport(ServerIndex server, const LoadReport &report);

    /** Expects a server to cache the prefixes of a request sent to it, because its events arrive late. */
    void onDispatched(ServerIndex server, std::span<const std::uint64_t> prefixes);

    /** Drops all entries of a server; called for a new incarnation of its agent. */
    void forget(ServerIndex server);

    /** Writes servers that likely hold the longest known prefix; returns their number. */
    std::size_t findHolders(std::span<const std::uint64_t> prefixes, std::span<ServerIndex> holders) const;

    /** Share of the prefixes that the server likely caches, lowered by missing trust; in [0, 1]. */
    double cachedShare(ServerIndex server, std::span<const std::uint64_t> prefixes) const;

    /** Trust in the entries of a server, in (0, 1]. */
    double trust(ServerIndex server) const;

private:
    static constexpr std::size_t bucketSize = 8;

    struct Entry
    {
        std::uint64_t prefix = 0;
        ServerIndex server = 0;
        /** Generation of the server when the entry was written; zero marks a free entry. */
        std::uint32_t generation = 0;
        std::uint64_t writtenAt = 0;
    };

    struct Source
    {
        std::uint32_t generation = 1;
        bool hasSequence = false;
        std::uint64_t sequence = 0;
        Incarnation engine;
        double trust = 1;
    };

    Source &source(ServerIndex server);
    bool isLive(const Entry &entry) const;
    std::span<Entry> bucket(std::uint64_t prefix);
    std::span<const Entry> bucket(std::uint64_t prefix) const;
    void store(ServerIndex server, std::uint64_t prefix);
    void erase(ServerIndex server, std::uint64_t prefix);

    Options options_;
    std::vector<Entry> entries_;
    std::vector<Source> sources_;
    std::uint64_t writes_ = 0;
};

} // namespace hornbeamlane
