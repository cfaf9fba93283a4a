#include "hornbeamlane_dispatch/servers/ServerLimits.h"

#include <algorithm>
#include <cmath>

namespace hornbeamlane {

namespace {

/** Answers of one server that are told as one. */
constexpr std::uint32_t maxAnswersTold = 1000;

/** Servers of a service for each of which one may be tried with fewer requests at the same time. */
constexpr std::uint32_t serversPerTrial = 4;

Duration durationOf(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

/** One sample that stands for the answers of both. */
LatencySample merged(const LatencySample &a, const LatencySample &b)
{
    const double count = a.answers + b.answers;
    const double shareOfB = b.answers / count;
    const double latencyA = detail::secondsOf(a.latency);
    const double latencyB = detail::secondsOf(b.latency);
    const double mean = latencyA + (latencyB - latencyA) * shareOfB;
    const auto squares = [](double latency, Duration deviation) {
        return latency * latency + detail::secondsOf(deviation) * detail::secondsOf(deviation);
    };
    const double square = squares(latencyA, a.deviation) * (1 - shareOfB) + squares(latencyB, b.deviation) * shareOfB;
    return {.latency = durationOf(mean),
            .deviation = durationOf(std::sqrt(std::max(square - mean * mean, 0.0))),
            .inFlight = a.inFlight + (b.inFlight - a.inFlight) * shareOfB,
            .answers = std::min(a.answers + b.answers, maxAnswersTold)};
}

} // namespace

ServerLimits::ServerLimits()
    : ServerLimits(Options())
{
}

ServerLimits::ServerLimits(Options options)
    : options_(options)
{
}

void ServerLimits::retainOnly(const std::vector<KnownServer> &servers)
{
    servers_.clear();
    for (const auto &server : servers) {
        servers_[server.start] = server;
    }
    std::erase_if(learned_, [this](const auto &entry) { return !servers_.contains(entry.first); });
    std::erase_if(findings_, [this](const auto &entry) { return !servers_.contains(entry.first); });
    for (auto &[start, learned] : learned_) {
        learned.server = servers_.at(start);
        learned.limit.setSlots(learned.server.slots);
    }
}

ServerLimits::Learned *ServerLimits::learner(ServerStartHash server)
{
    if (const auto found = learned_.find(server); found != learned_.end()) {
        return &found->second;
    }
    const auto known = servers_.find(server);
    if (known == servers_.end()) {
        return nullptr;
    }
    const auto &added = learned_.emplace(
        server, Learned{.server = known->second, .limit = LearnedLimit(options_.limit, known->second.slots)});
    return &added.first->second;
}

void ServerLimits::take(ServerStartHash server, const LatencySample &sample, TimePoint now)
{
    auto *learned = learner(server);
    if (learned == nullptr) {
        return;
    }
    // If the requests of a service become longer, all its servers seem to have too many. Tried at the same time, that
    // would cost the service a third of its places.
    auto &service = services_[learned->server.service];
    const bool wasTrying = learned->limit.isTrying();
    const bool mayStepDown = wasTrying || service.trying < std::max(1U, service.answering / serversPerTrial);
    learned->limit.add(sample, mayStepDown, now);
    service.trying += learned->limit.isTrying() && !wasTrying ? 1 : 0;
    advance(now);
}

void ServerLimits::onAnswered(ServerStartHash server, Duration latency, double inFlight, TimePoint now)
{
    if (latency <= Duration::zero() || !std::isfinite(inFlight)) {
        return;
    }
    const LatencySample sample{.latency = latency, .inFlight = inFlight};
    take(server, sample, now);
    const auto found = untold_.find(server);
    if (found != untold_.end()) {
        found->second = merged(found->second, sample);
    } else if (untold_.size() < options_.maxUntold) {
        untold_.emplace(server, sample);
    }
}

void ServerLimits::onTimedOut(ServerStartHash server, Duration waited, double inFlight, TimePoint now)
{
    const auto found = learned_.find(server);
    if (found == learned_.end() || !found->second.limit.latency().isKnown()
        || detail::secondsOf(waited) < found->second.limit.latency().mean()) {
        return;
    }
    onAnswered(server, waited, inFlight, now);
}

void ServerLimits::onPeerReports(const std::vector<LatencyReport> &reports, TimePoint now)
{
    for (const auto &report : reports) {
        take(report.server, report.sample, now);
    }
}

std::vector<LatencyReport> ServerLimits::takeReports(std::size_t most)
{
    // In turn, so that a few busy servers do not keep the others from being told.
    std::vector<LatencyReport> reports;
    while (!untold_.empty() && reports.size() < most) {
        auto next = untold_.upper_bound(toldUpTo_);
        next = next == untold_.end() ? untold_.begin() : next;
        toldUpTo_ = next->first;
        reports.push_back({.server = next->first, .sample = next->second});
        untold_.erase(next);
    }
    return reports;
}

const ServerFinding *ServerLimits::find(ServerStartHash server) const
{
    const auto found = findings_.find(server);
    return found == findings_.end() ? nullptr : &found->second;
}

void ServerLimits::advance(TimePoint now)
{
    if (now - comparedAt_ >= options_.comparisonInterval) {
        comparedAt_ = now;
        compare(now);
    }
}

void ServerLimits::compare(TimePoint now)
{
    findings_.clear();
    services_.clear();
    /** Latency of the fastest server of each service that is surely not exceeded by it. */
    std::map<ServiceId, double> fastest;
    for (auto &[start, learned] : learned_) {
        learned.limit.advance(now);
        auto &service = services_[learned.server.service];
        ++service.answering;
        service.trying += learned.limit.isTrying() ? 1 : 0;
        const auto &latency = learned.limit.latency();
        if (latency.isKnown()) {
            const double bound = latency.upperBound(options_.confidence);
            const auto [known, isNew] = fastest.try_emplace(learned.server.service, bound);
            known->second = std::min(known->second, bound);
        }
    }
    for (auto &[start, learned] : learned_) {
        const auto &latency = learned.limit.latency();
        const double extra = latency.isKnown()
            ? std::max(0.0, latency.lowerBound(options_.confidence) - fastest.at(learned.server.service))
            : 0;
        if (latency.isKnown()) {
            learned.limit.setUsualLatency(fastest.at(learned.server.service));
        }
        if (learned.limit.isLowered() || extra > 0) {
            findings_[start] = {.takesWell = learned.limit.value(), .extraLatency = durationOf(extra)};
        }
    }
}

void ServerLimits::forEach(const std::function<void(const KnownServer &, const ServerFinding &)> &visit) const
{
    for (const auto &[start, finding] : findings_) {
        visit(servers_.at(start), finding);
    }
}

} // namespace hornbeamlane
