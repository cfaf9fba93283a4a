#include "hornbeamlane_gateway/maps/RankDirectory.h"

#include <algorithm>
#include <utility>

namespace hornbeamlane {

RankDirectory::RankDirectory()
    : RankDirectory(Options())
{
}

RankDirectory::RankDirectory(Options options)
    : options_(options)
{
}

bool RankDirectory::states(const BackendSpec &row, const RankEndpoint &endpoint)
{
    return row.id == endpoint.server && row.address == endpoint.address && row.incarnation == endpoint.incarnation
        && row.service == endpoint.service && row.group->group == endpoint.group && row.group->size == endpoint.size;
}

bool RankDirectory::isSame(const RankEndpoint &a, const RankEndpoint &b)
{
    return a.server == b.server && a.address == b.address && a.incarnation == b.incarnation;
}

void RankDirectory::takeRows(Rank &rank, const std::vector<const BackendSpec *> &rows)
{
    const bool isUnchanged =
        std::equal(rows.begin(), rows.end(), rank.candidates.begin(), rank.candidates.end(),
                   [](const BackendSpec *row, const Candidate &candidate) { return states(*row, candidate.endpoint); });
    if (isUnchanged) {
        return;
    }
    const auto before = std::exchange(rank.candidates, {});
    for (const auto *row : rows) {
        const auto known = std::find_if(before.begin(), before.end(),
                                        [row](const Candidate &candidate) { return states(*row, candidate.endpoint); });
        rank.candidates.push_back(known != before.end() ? *known : Candidate{.endpoint = rankEndpointOf(*row)});
    }
    const bool isKnownListed = rank.known
        && std::any_of(rank.candidates.begin(), rank.candidates.end(),
                       [&rank](const Candidate &candidate) { return isSame(candidate.endpoint, *rank.known); });
    if (!isKnownListed) {
        rank.known.reset();
    }
}

void RankDirectory::setRows(const Rows &rows)
{
    std::erase_if(ranks_, [&rows](const auto &rank) { return !rows.contains(rank.first); });
    for (const auto &[index, rowsOfRank] : rows) {
        takeRows(ranks_[index], rowsOfRank);
    }
}

void RankDirectory::restart()
{
    for (auto &[index, rank] : ranks_) {
        if (rank.candidates.size() > 1) {
            rank.known.reset();
        }
    }
}

const RankEndpoint *RankDirectory::find(RankIndex rank) const
{
    const auto found = ranks_.find(rank);
    return found != ranks_.end() && found->second.known ? &*found->second.known : nullptr;
}

std::vector<RankIndex> RankDirectory::namedRanks() const
{
    std::vector<RankIndex> ranks;
    ranks.reserve(ranks_.size());
    for (const auto &[index, rank] : ranks_) {
        ranks.push_back(index);
    }
    return ranks;
}

std::vector<RankEndpoint> RankDirectory::beginRound(RankIndex rank, TimePoint now)
{
    const auto found = ranks_.find(rank);
    if (found == ranks_.end() || found->second.known || now < found->second.nextRoundAt) {
        return {};
    }
    auto &candidates = found->second.candidates;
    if (std::any_of(candidates.begin(), candidates.end(), [](const Candidate &one) { return one.isAsked; })) {
        return {};
    }
    found->second.nextRoundAt = now + options_.askInterval;
    std::vector<RankEndpoint> asked;
    for (auto &candidate : candidates) {
        candidate.hasReported = false;
        if (now >= candidate.leftOutUntil) {
            candidate.isAsked = true;
            asked.push_back(candidate.endpoint);
        }
    }
    return asked;
}

RankDirectory::Outcome RankDirectory::onAnswer(const RankEndpoint &endpoint, bool isRank, TimePoint now)
{
    const auto found = ranks_.find(endpoint.rank);
    if (found == ranks_.end()) {
        return Outcome::NotFound;
    }
    auto &rank = found->second;
    if (rank.known) {
        const bool isKnown = isSame(*rank.known, endpoint);
        if (isKnown && !isRank && rank.candidates.size() > 1) {
            // It may have ended, and another one of them be the rank now.
            rank.known.reset();
            return Outcome::NotFound;
        }
        return isKnown && isRank ? Outcome::Found : Outcome::NotFound;
    }
    for (auto &candidate : rank.candidates) {
        if (isSame(candidate.endpoint, endpoint)) {
            candidate.isAsked = false;
            candidate.hasReported = isRank;
        }
    }
    return endRound(rank, now);
}

RankDirectory::Outcome RankDirectory::endRound(Rank &rank, TimePoint now) const
{
    const Candidate *last = nullptr;
    for (const auto &candidate : rank.candidates) {
        if (candidate.isAsked) {
            return Outcome::Pending;
        }
        if (!candidate.hasReported) {
            continue;
        }
        if (last != nullptr && last->endpoint.address != candidate.endpoint.address) {
            rank.nextRoundAt = now + options_.contestedInterval;
            return Outcome::Contested;
        }
        // Of two rows for one address the later start is the server that answers there.
        if (last == nullptr || last->endpoint.incarnation < candidate.endpoint.incarnation) {
            last = &candidate;
        }
    }
    if (last == nullptr) {
        return Outcome::NotFound;
    }
    rank.known = last->endpoint;
    return Outcome::Found;
}

void RankDirectory::onMisdirected(const RankEndpoint &endpoint, TimePoint now)
{
    const auto found = ranks_.find(endpoint.rank);
    if (found == ranks_.end()) {
        return;
    }
    auto &rank = found->second;
    if (rank.known && isSame(*rank.known, endpoint)) {
        rank.known.reset();
    }
    for (auto &candidate : rank.candidates) {
        if (isSame(candidate.endpoint, endpoint)) {
            candidate.leftOutUntil = now + options_.misdirectedTime;
            candidate.hasReported = false;
        }
    }
}

} // namespace hornbeamlane
