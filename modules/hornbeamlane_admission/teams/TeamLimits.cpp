#include "hornbeamlane_admission/teams/TeamLimits.h"

#include <algorithm>
#include <cmath>

namespace hornbeamlane {

namespace {

Refusal teamLimitReached(std::string detail, std::optional<std::chrono::milliseconds> retryAfter = {})
{
    return {.reason = RefusalReason::TeamLimitReached,
            .execution = ExecutionState::NotRun,
            .retryAfter = retryAfter,
            .detail = std::move(detail)};
}

float perUnit(std::optional<std::uint32_t> rate, double units)
{
    return rate ? static_cast<float>(*rate / units) : std::numeric_limits<float>::infinity();
}

/** A rate for a number of units; no units have no rate, also of an unlimited team. */
double rateOf(float perUnitRate, std::uint32_t units)
{
    return units == 0 ? 0.0 : static_cast<double>(perUnitRate) * units;
}

} // namespace

void TeamLimits::Share::limitBy(const Share &other)
{
    floor = std::min(floor, other.floor);
    remainder = std::min(remainder, other.remainder);
    requestRate = std::min(requestRate, other.requestRate);
    requestRateOfLease = std::min(requestRateOfLease, other.requestRateOfLease);
    tokenRate = std::min(tokenRate, other.tokenRate);
    tokenRateOfLease = std::min(tokenRateOfLease, other.tokenRateOfLease);
}

TeamLimits::TeamLimits(ServerId server, Incarnation agent, Options options)
    : server_(std::move(server))
    , agent_(agent)
    , options_(std::move(options))
{
    if (!options_.countsUnsettled) {
        options_.countsUnsettled = [] { return true; };
    }
    if (!options_.startLevel) {
        options_.startLevel = [](double) { return 0.0; };
    }
}

TeamLimits::Share TeamLimits::shareOf(const FloorSplit &split, const Catalogue &catalogue, const TeamEntry &entry) const
{
    const auto &limits = entry.header.limits;
    Share share;
    if (!limits.concurrency) {
        // Without concurrency there is nothing to lease by, so the rates are split evenly over the servers.
        if (limits.requestsPerSecond || limits.tokensPerSecond) {
            const auto servers = static_cast<double>(std::max<std::size_t>(split.serverCount(entry), 1));
            share.requestRate = perUnit(limits.requestsPerSecond, servers);
            share.tokenRate = perUnit(limits.tokensPerSecond, servers);
        }
        return share;
    }
    std::uint64_t floors = 0;
    for (const auto &[dataCentre, floor] : entry.floors) {
        floors += floor;
    }
    share.floor = split.share(entry, server_);
    const auto server = catalogue.servers.find(server_);
    const bool isOffered = server != catalogue.servers.end() && FloorSplit::isOffered(entry, server->second);
    share.remainder =
        isOffered && floors < *limits.concurrency ? static_cast<std::uint32_t>(*limits.concurrency - floors) : 0;
    share.requestRateOfLease = perUnit(limits.requestsPerSecond, *limits.concurrency);
    share.tokenRateOfLease = perUnit(limits.tokensPerSecond, *limits.concurrency);
    share.requestRate = share.requestRateOfLease * static_cast<float>(std::max(share.floor, 1U));
    share.tokenRate = share.tokenRateOfLease * static_cast<float>(std::max(share.floor, 1U));
    if (share.floor == 0) {
        share.requestRate = limits.requestsPerSecond ? 0 : share.requestRate;
        share.tokenRate = limits.tokensPerSecond ? 0 : share.tokenRate;
    }
    return share;
}

void TeamLimits::apply(CatalogueVersion version, const Catalogue &catalogue, CatalogueVersion settled, TimePoint now)
{
    settled_ = std::max(settled_, std::min(settled, version));
    newest_ = std::max(newest_, version);
    const bool isNew = version >= settled_ && versions_.insert(version).second;
    versions_.erase(versions_.begin(), versions_.lower_bound(settled_));
    // The rates change now; up to now the old ones held.
    for (auto &[id, team] : teams_) {
        advanceBuckets(team, now);
    }
    if (isNew) {
        const FloorSplit split(catalogue, options_.split);
        for (const auto &[id, entry] : catalogue.teams) {
            teams_[id].versions.emplace_back(version, shareOf(split, catalogue, entry));
        }
    }
    for (auto position = teams_.begin(); position != teams_.end();) {
        auto &team = position->second;
        std::erase_if(team.versions, [this](const auto &known) { return known.first < settled_; });
        std::sort(team.versions.begin(), team.versions.end(),
                  [](const auto &left, const auto &right) { return left.first < right.first; });
        team.versions.shrink_to_fit();
        if (team.versions.empty() && team.used == 0 && !team.book) {
            position = teams_.erase(position);
            continue;
        }
        const auto floorBefore = team.share.floor;
        combine(team);
        if (team.share.floor != floorBefore) {
            noteChange(position->first);
        }
        ++position;
    }
}

void TeamLimits::combine(Team &team)
{
    Share share{.floor = 0, .requestRate = 0, .requestRateOfLease = 0, .tokenRate = 0, .tokenRateOfLease = 0};
    if (!team.versions.empty()) {
        share = team.versions.back().second;
        if (options_.countsUnsettled()) {
            // A version without the team does not limit it: no agent runs the team under that version.
            for (const auto &[version, other] : team.versions) {
                share.limitBy(other);
            }
            if (!missingVersions().empty() && share.floor != unlimited) {
                share.floor = 0;
                share.remainder = 0;
            }
        }
    }
    team.share = share;
    if (team.book) {
        team.book->setRemainder(share.remainder);
    }
}

std::vector<CatalogueVersion> TeamLimits::missingVersions() const
{
    std::vector<CatalogueVersion> missing;
    // Versions count up by one. The range is short: it ends when all servers have confirmed.
    if (newest_.value() - settled_.value() + 1 == versions_.size()) {
        return missing;
    }
    for (auto version = settled_; version < newest_; version = version.next()) {
        if (!versions_.contains(version)) {
            missing.push_back(version);
        }
    }
    return missing;
}

void TeamLimits::setLeftovers(std::uint32_t leftovers)
{
    leftovers_ = leftovers;
}

std::uint32_t TeamLimits::extraInUse(const Team &team) const
{
    const auto used = team.used + leftovers_;
    return used > team.share.floor ? used - team.share.floor : 0;
}

TeamLimits::Rates TeamLimits::ratesOf(const Team &team, std::uint32_t lease) const
{
    return {.requests = team.share.requestRate + rateOf(team.share.requestRateOfLease, lease),
            .tokens = team.share.tokenRate + rateOf(team.share.tokenRateOfLease, lease)};
}

double TeamLimits::capacityOf(double rate) const
{
    // One whole request must fit, also into the bucket of a share below one request a second.
    return std::max(1.0, rate * std::chrono::duration<double>(options_.burst).count());
}

void TeamLimits::advanceBuckets(Team &team, TimePoint now)
{
    const auto advance = [this, &team](TimePoint time, std::uint32_t lease) {
        const auto rates = ratesOf(team, lease);
        if (std::isfinite(rates.requests)) {
            team.requests.advance(time, rates.requests, capacityOf(rates.requests));
        }
        if (std::isfinite(rates.tokens)) {
            team.tokens.advance(time, rates.tokens, capacityOf(rates.tokens));
        }
    };
    const auto lease = team.book ? team.book->usable(now) : 0;
    if (!team.hasBuckets) {
        team.hasBuckets = true;
        advance(now, lease);
        const auto rates = ratesOf(team, lease);
        team.requests.setLevel(options_.startLevel(std::isfinite(rates.requests) ? capacityOf(rates.requests) : 0));
        team.tokens.setLevel(options_.startLevel(std::isfinite(rates.tokens) ? capacityOf(rates.tokens) : 0));
    }
    // A lease that has ended or changed since the last update counts with the smaller amount for the whole time.
    advance(now, std::min(team.leaseInBuckets, lease));
    team.leaseInBuckets = lease;
}

void TeamLimits::noteDemand(const TeamId &id, Team &team, std::uint32_t amount)
{
    if (team.share.remainder == 0) {
        return;
    }
    if (!team.book) {
        team.book = std::make_unique<TeamLeaseBook>(id, server_, agent_, options_.leases);
        team.book->setRemainder(team.share.remainder);
        leased_.insert(id);
    }
    team.book->noteDemand(amount);
}

std::optional<Refusal> TeamLimits::refuseByRate(const Team &team, std::uint32_t tokens) const
{
    const auto rates = ratesOf(team, team.leaseInBuckets);
    const auto check = [this](const TokenBucket &bucket, double amount, double rate,
                              const char *what) -> std::optional<Refusal> {
        if (!std::isfinite(rate) || (rate > 0 && bucket.mayTake(amount, capacityOf(rate)))) {
            return std::nullopt;
        }
        const auto wait = bucket.timeUntil(amount, rate, capacityOf(rate));
        return teamLimitReached(std::string("the team's ") + what + " a second are used up",
                                std::chrono::ceil<std::chrono::milliseconds>(wait));
    };
    if (auto refusal = check(team.requests, 1, rates.requests, "requests")) {
        return refusal;
    }
    return check(team.tokens, tokens, rates.tokens, "tokens");
}

std::optional<Refusal> TeamLimits::reserve(const TeamId &id, TimePoint deadline, std::uint32_t tokens, TimePoint now)
{
    const auto position = teams_.find(id);
    if (position == teams_.end() || position->second.versions.empty()) {
        return Refusal{.reason = newest_ == CatalogueVersion() ? RefusalReason::NotReady : RefusalReason::UnknownTeam,
                       .execution = ExecutionState::NotRun,
                       .detail = "the catalogue in force has no team '" + id.name() + "'"};
    }
    auto &team = position->second;
    advanceBuckets(team, now);
    if (team.share.floor != unlimited) {
        const auto used = team.used + leftovers_;
        if (used >= team.share.floor) {
            const auto extra = used - team.share.floor + 1;
            const auto lease = team.book ? team.book->usable(now) : 0;
            noteDemand(id, team, extra);
            if (extra > lease) {
                return teamLimitReached("the team's share of this server is in use");
            }
            // The lease can end without notice when the table is down, and nothing may run under it after that.
            if (deadline > team.book->usableUntil()) {
                return teamLimitReached("the team's extra share ends before the deadline of the request");
            }
        }
    }
    if (auto refusal = refuseByRate(team, tokens)) {
        noteDemand(id, team, extraInUse(team) + 1);
        return refusal;
    }
    ++team.used;
    team.requests.take(1);
    team.tokens.take(tokens);
    noteChange(id);
    return std::nullopt;
}

bool TeamLimits::mayStart(const TeamId &id, TimePoint now)
{
    const auto position = teams_.find(id);
    if (position == teams_.end()) {
        return false;
    }
    const auto &team = position->second;
    return extraInUse(team) <= (team.book ? team.book->usable(now) : 0);
}

void TeamLimits::release(const TeamId &id, std::int64_t unusedTokens, TimePoint now)
{
    auto &team = teams_.at(id);
    HORNBEAMLANE_ASSERT(team.used > 0);
    advanceBuckets(team, now);
    --team.used;
    team.tokens.take(-static_cast<double>(unusedTokens));
    noteChange(id);
}

void TeamLimits::giveBack(const TeamId &id, std::uint32_t tokens, TimePoint now)
{
    release(id, tokens, now);
    teams_.at(id).requests.take(-1);
}

std::uint32_t TeamLimits::freeConcurrency(const TeamId &id, TimePoint now)
{
    const auto position = teams_.find(id);
    if (position == teams_.end()) {
        return 0;
    }
    const auto &team = position->second;
    if (team.share.floor == unlimited) {
        return unlimited;
    }
    const auto allowed = team.share.floor + (team.book ? team.book->usable(now) : 0);
    const auto used = team.used + leftovers_;
    return allowed > used ? allowed - used : 0;
}

void TeamLimits::noteChange(const TeamId &team)
{
    changed_.insert(team);
}

std::vector<TeamId> TeamLimits::takeChangedTeams(std::size_t limit)
{
    std::vector<TeamId> taken;
    while (!changed_.empty() && taken.size() < limit) {
        taken.push_back(std::move(changed_.extract(changed_.begin()).value()));
    }
    return taken;
}

bool TeamLimits::isWithinShares(TimePoint now)
{
    return std::all_of(teams_.begin(), teams_.end(), [this, now](const auto &entry) {
        const auto &team = entry.second;
        return team.used == 0 || extraInUse(team) <= (team.book ? team.book->usable(now) : 0);
    });
}

std::vector<TeamLimits::TableAction> TeamLimits::takeTableActions(TimePoint now)
{
    std::vector<TableAction> actions;
    for (auto id = leased_.begin(); id != leased_.end();) {
        auto &team = teams_.at(*id);
        const auto before = team.book->usable(now);
        if (auto action = team.book->nextAction(now, extraInUse(team))) {
            actions.push_back({.team = *id, .action = std::move(*action)});
        }
        if (team.book->usable(now) != before) {
            noteChange(*id);
        }
        if (team.book->isIdle(now)) {
            advanceBuckets(team, now);
            team.book.reset();
            id = leased_.erase(id);
        } else {
            ++id;
        }
    }
    return actions;
}

void TeamLimits::readFinished(const TeamId &id, const TableReply &reply, TimePoint now)
{
    auto &team = teams_.at(id);
    advanceBuckets(team, now);
    team.book->readFinished(reply, now);
    noteChange(id);
}

void TeamLimits::writeFinished(const TeamId &id, const TableReply &reply, TimePoint now)
{
    auto &team = teams_.at(id);
    advanceBuckets(team, now);
    team.book->writeFinished(reply, now);
    noteChange(id);
}

std::optional<TimePoint> TeamLimits::nextTimer() const
{
    std::optional<TimePoint> next;
    for (const auto &id : leased_) {
        const auto &team = teams_.at(id);
        const auto timer = team.book->nextTimer(extraInUse(team));
        if (timer && (!next || *timer < *next)) {
            next = timer;
        }
    }
    return next;
}

} // namespace hornbeamlane
