#include "hornbeamlane_groups/placement/ExpertPlacement.h"

#include <algorithm>
#include <numeric>
#include <queue>
#include <utility>

namespace hornbeamlane {

namespace {

/** The coolest ranks that are tried as targets of a move; more of them cost time and change the result little. */
constexpr std::size_t targetCandidates = 16;

double slownessOf(const RankSlowness &slowness, RankIndex rank)
{
    return rank < slowness.size() ? slowness[rank] : 1.0;
}

} // namespace

/** Local search on one layer of a map. */
class ExpertPlacement::LayerPlan final
{
public:
    LayerPlan(ExpertMap &map, std::uint32_t layer, const std::vector<double> &shares, const RankSlowness &slowness,
              std::uint32_t slotsPerRank, std::uint32_t newPerRank)
        : map_(map)
        , layer_(layer)
        , shares_(shares)
        , slowness_(slowness)
        , slotsPerRank_(slotsPerRank)
        , newPerRank_(newPerRank)
        , loads_(rankLoads(map, layer, shares, slowness))
        , experts_(map.expertsOfLayer(layer))
        , loaded_(experts_)
    {
    }

    double largestLoad() const
    {
        return *std::max_element(loads_.begin(), loads_.end());
    }

    /** Applies the best move for the hottest rank if it gains enough; gives the copies to load, 0 if none was found. */
    std::size_t improve(double smallestGain)
    {
        const auto hot = static_cast<RankIndex>(std::max_element(loads_.begin(), loads_.end()) - loads_.begin());
        best_ = Move{.largest = loads_[hot] - smallestGain};
        for (const auto target : coolestRanks()) {
            if (target == hot) {
                continue;
            }
            for (const auto expert : experts_[hot]) {
                tryMoves(expert, hot, target);
            }
        }
        if (best_.changes.empty()) {
            return 0;
        }
        std::size_t copies = 0;
        for (const auto &change : best_.changes) {
            apply(change);
            copies += change.isAddition ? 1 : 0;
        }
        return copies;
    }

private:
    struct Change
    {
        ExpertIndex expert = 0;
        RankIndex rank = 0;
        bool isAddition = false;
    };
    struct Move
    {
        std::vector<Change> changes;
        /** Largest load among the ranks that the move touches. */
        double largest = 0.0;
    };

    std::vector<RankIndex> coolestRanks() const
    {
        std::vector<RankIndex> ranks(loads_.size());
        std::iota(ranks.begin(), ranks.end(), RankIndex(0));
        const auto count = std::min(targetCandidates, ranks.size());
        std::partial_sort(
            ranks.begin(), ranks.begin() + static_cast<std::ptrdiff_t>(count), ranks.end(),
            [this](RankIndex a, RankIndex b) { return std::pair(loads_[a], a) < std::pair(loads_[b], b); });
        ranks.resize(count);
        return ranks;
    }

    /** Replicates, moves or swaps one expert of the hot rank with the target. */
    void tryMoves(ExpertIndex expert, RankIndex hot, RankIndex target)
    {
        if (map_.isHeldBy(layer_, expert, target)) {
            tryMove({{expert, hot, false}});
            return;
        }
        if (experts_[target].size() < slotsPerRank_) {
            tryMove({{expert, target, true}});
            tryMove({{expert, target, true}, {expert, hot, false}});
            return;
        }
        for (const auto other : experts_[target]) {
            if (map_.holders(layer_, other).size() > 1) {
                tryMove({{other, target, false}, {expert, target, true}});
                tryMove({{other, target, false}, {expert, target, true}, {expert, hot, false}});
            } else if (!map_.isHeldBy(layer_, other, hot)) {
                tryMove({{expert, target, true}, {expert, hot, false}, {other, hot, true}, {other, target, false}});
            }
        }
    }

    /** Whether the rank would hold more experts that it has to load than one round allows. */
    bool exceedsNew(RankIndex rank, const std::vector<Change> &changes) const
    {
        if (newPerRank_ == 0) {
            return false;
        }
        const auto isNew = [this, rank](ExpertIndex expert) {
            return std::find(loaded_[rank].begin(), loaded_[rank].end(), expert) == loaded_[rank].end();
        };
        auto count = std::count_if(experts_[rank].begin(), experts_[rank].end(), isNew);
        for (const auto &change : changes) {
            if (change.rank == rank && isNew(change.expert)) {
                count += change.isAddition ? 1 : -1;
            }
        }
        return count > static_cast<std::ptrdiff_t>(newPerRank_);
    }

    void tryMove(std::vector<Change> changes)
    {
        for (const auto &change : changes) {
            if (change.isAddition && exceedsNew(change.rank, changes)) {
                return;
            }
        }
        const auto touched = touchedLoads(changes);
        if (!touched) {
            return;
        }
        double largest = 0.0;
        for (const auto &[rank, load] : *touched) {
            largest = std::max(largest, load);
        }
        // Equal results prefer the move that loads fewer copies, which is tried first.
        if (largest < best_.largest) {
            best_ = {.changes = std::move(changes), .largest = largest};
        }
    }

    /** Loads of all ranks whose load the changes alter; empty if the changes would remove the last copy. */
    std::optional<std::vector<std::pair<RankIndex, double>>> touchedLoads(const std::vector<Change> &changes) const
    {
        std::vector<std::pair<RankIndex, double>> touched;
        const auto add = [this, &touched](RankIndex rank, double amount) {
            auto place =
                std::find_if(touched.begin(), touched.end(), [rank](const auto &entry) { return entry.first == rank; });
            if (place == touched.end()) {
                touched.emplace_back(rank, loads_[rank]);
                place = std::prev(touched.end());
            }
            place->second += amount * slownessOf(slowness_, rank);
        };
        std::vector<ExpertIndex> done;
        for (const auto &change : changes) {
            if (std::find(done.begin(), done.end(), change.expert) != done.end()) {
                continue;
            }
            done.push_back(change.expert);
            const auto &before = map_.holders(layer_, change.expert);
            std::vector<RankIndex> after = before;
            for (const auto &same : changes) {
                if (same.expert != change.expert) {
                    continue;
                }
                if (same.isAddition) {
                    after.push_back(same.rank);
                } else {
                    std::erase(after, same.rank);
                }
            }
            if (after.empty()) {
                return std::nullopt;
            }
            for (const auto rank : before) {
                add(rank, -shares_[change.expert] / static_cast<double>(before.size()));
            }
            for (const auto rank : after) {
                add(rank, shares_[change.expert] / static_cast<double>(after.size()));
            }
        }
        return touched;
    }

    void apply(const Change &change)
    {
        const auto addShares = [this, &change](double sign) {
            const auto &holders = map_.holders(layer_, change.expert);
            for (const auto rank : holders) {
                loads_[rank] +=
                    sign * shares_[change.expert] / static_cast<double>(holders.size()) * slownessOf(slowness_, rank);
            }
        };
        addShares(-1.0);
        if (change.isAddition) {
            map_.add(layer_, change.expert, change.rank);
            experts_[change.rank].push_back(change.expert);
        } else if (map_.remove(layer_, change.expert, change.rank)) {
            std::erase(experts_[change.rank], change.expert);
        }
        addShares(1.0);
    }

    ExpertMap &map_;
    std::uint32_t layer_;
    const std::vector<double> &shares_;
    const RankSlowness &slowness_;
    std::uint32_t slotsPerRank_;
    std::uint32_t newPerRank_;
    std::vector<double> loads_;
    std::vector<std::vector<ExpertIndex>> experts_;
    /** Experts that each rank holds before the round. */
    std::vector<std::vector<ExpertIndex>> loaded_;
    Move best_;
};

ExpertPlacement::ExpertPlacement(Options options)
    : options_(std::move(options))
{
    HORNBEAMLANE_ASSERT(options_.slotsPerRank > 0);
}

ExpertMap ExpertPlacement::improve(const ExpertMap &current, const ExpertShares &shares,
                                   const RankSlowness &slowness) const
{
    HORNBEAMLANE_ASSERT(shares.size() == current.layers());
    if (options_.decide) {
        return options_.decide(current, shares);
    }
    ExpertMap map = current;
    std::vector<LayerPlan> plans;
    std::priority_queue<std::pair<double, std::uint32_t>> hottest;
    plans.reserve(current.layers());
    for (std::uint32_t layer = 0; layer < current.layers(); ++layer) {
        plans.emplace_back(map, layer, shares[layer], slowness, options_.slotsPerRank, options_.newPerRank);
        hottest.emplace(plans.back().largestLoad(), layer);
    }
    const double smallestGain = options_.smallestGain / current.ranks();
    std::size_t copies = 0;
    // A swap loads two copies, so the last move of a round needs room for two.
    while (!hottest.empty() && copies + 2 <= options_.movesPerRound) {
        const auto layer = hottest.top().second;
        hottest.pop();
        const auto before = plans[layer].largestLoad();
        const auto used = plans[layer].improve(smallestGain);
        copies += used;
        // A removal of a replica loads nothing but still counts as progress.
        if (used > 0 || plans[layer].largestLoad() < before) {
            hottest.emplace(plans[layer].largestLoad(), layer);
        }
    }
    return map;
}

std::vector<double> ExpertPlacement::rankLoads(const ExpertMap &map, std::uint32_t layer,
                                               const std::vector<double> &shares, const RankSlowness &slowness)
{
    HORNBEAMLANE_ASSERT(shares.size() == map.expertsPerLayer());
    std::vector<double> loads(map.ranks(), 0.0);
    for (ExpertIndex expert = 0; expert < map.expertsPerLayer(); ++expert) {
        const auto &holders = map.holders(layer, expert);
        for (const auto rank : holders) {
            loads[rank] += shares[expert] / static_cast<double>(holders.size()) * slownessOf(slowness, rank);
        }
    }
    return loads;
}

double ExpertPlacement::imbalance(const ExpertMap &map, const ExpertShares &shares, const RankSlowness &slowness)
{
    HORNBEAMLANE_ASSERT(shares.size() == map.layers() && map.layers() > 0);
    double sum = 0.0;
    for (std::uint32_t layer = 0; layer < map.layers(); ++layer) {
        const auto loads = rankLoads(map, layer, shares[layer], slowness);
        sum += *std::max_element(loads.begin(), loads.end()) * map.ranks();
    }
    return sum / map.layers();
}

} // namespace hornbeamlane
