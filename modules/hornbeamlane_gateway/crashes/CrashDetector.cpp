#include "hornbeamlane_gateway/crashes/CrashDetector.h"

#include "hornbeamlane_observability/hornbeamlane_observability.h"

#include <algorithm>
#include <utility>

namespace hornbeamlane {

namespace {

const char *toString(ConnectProbe::Result result)
{
    switch (result) {
    case ConnectProbe::Result::Listening:
        return "listening";
    case ConnectProbe::Result::Refused:
        return "refused";
    case ConnectProbe::Result::NoAnswer:
        return "no_answer";
    }
    return "unknown";
}

} // namespace

std::string_view toString(CrashSign sign)
{
    switch (sign) {
    case CrashSign::ConnectionRefused:
        return "connection_refused";
    case CrashSign::StartedAgain:
        return "started_again";
    case CrashSign::AddressTaken:
        return "address_taken";
    }
    return "unknown";
}

ServerKey ServerStart::serverKey() const
{
    return ServerKey(hash64(server.name()));
}

ServerStartKey ServerStart::key() const
{
    return ServerStartKey(hash64(server.name() + "/" + std::to_string(incarnation)));
}

CrashDetector::CrashDetector(EventLoop &loop, const BackendBook &servers, Options options, Hooks hooks)
    : loop_(loop)
    , servers_(servers)
    , options_(std::move(options))
    , hooks_(std::move(hooks))
{
}

bool CrashDetector::isLeaving(const ServerId &server) const
{
    return servers_.isLeaving(server);
}

void CrashDetector::onBrokenOff(const ServerStart &start, LostRequest request, std::function<void()> checked)
{
    if (isLeaving(start.server)) {
        loop_.post(std::move(checked));
        return;
    }
    request.hasBrokenOff = true;
    onGivenUp(start, std::move(request));
    probe(start, std::move(checked));
}

void CrashDetector::onGivenUp(const ServerStart &start, LostRequest request)
{
    if (isLeaving(start.server)) {
        return;
    }
    failed_.add(start.key(), std::move(request));
    watched_.emplace(start.key(), start);
}

void CrashDetector::probe(const ServerStart &start, std::function<void()> checked)
{
    auto &probe = probes_[start.key()];
    probe.start = start;
    if (probe.connection) {
        probe.checkedNext.push_back(std::move(checked));
        return;
    }
    if (loop_.now() - probe.endedAt < options_.probePause) {
        probe.isDue = true;
        loop_.post(std::move(checked));
        return;
    }
    probe.checked.push_back(std::move(checked));
    beginProbe(probe);
}

void CrashDetector::beginProbe(Probe &probe)
{
    probe.isDue = false;
    probe.begunAt = loop_.now();
    probe.connection = std::make_unique<ConnectProbe>(
        loop_, probe.start.address, options_.probeTimeout,
        [this, key = probe.start.key()](ConnectProbe::Result result) { finishProbe(key, result); });
}

void CrashDetector::finishProbe(ServerStartKey key, ConnectProbe::Result result)
{
    auto &probe = probes_[key];
    const auto start = probe.start;
    auto checked = std::exchange(probe.checked, {});
    auto next = std::exchange(probe.checkedNext, {});
    probe.endedAt = loop_.now();
    // The probe's own callback is running.
    loop_.post([kept = std::shared_ptr<ConnectProbe>(std::move(probe.connection))] {});
    logEvent(LogLevel::Info, "server_probed",
             {{"server", start.server.name()}, {"address", start.address}, {"result", std::string(toString(result))}});
    if (result == ConnectProbe::Result::Listening) {
        failed_.noteListening(key, probe.begunAt, options_.timeOfDay());
        if (!next.empty()) {
            probe.checked = std::move(next);
            beginProbe(probe);
        }
    } else {
        checked.insert(checked.end(), next.begin(), next.end());
    }
    if (result == ConnectProbe::Result::Refused) {
        auto requests = failed_.since(key, loop_.now() - options_.refusalReach);
        for (auto &request : hooks_.unanswered(start.server)) {
            requests.push_back(std::move(request));
        }
        hooks_.crashed(start, CrashSign::ConnectionRefused, requests);
    }
    for (const auto &call : checked) {
        call();
    }
}

void CrashDetector::probeWhatIsDue(TimePoint now)
{
    for (auto &[key, probe] : probes_) {
        if (probe.isDue && !probe.connection && now - probe.endedAt >= options_.probePause) {
            beginProbe(probe);
        }
    }
}

std::optional<CrashDetector::End> CrashDetector::endOf(const ServerStart &start) const
{
    const auto endBy = [](CrashSign sign, const Backend &next) {
        const auto began = next.spec.startedAt();
        return End{.sign = sign, .nextStart = began};
    };
    const auto *backend = servers_.find(start.server);
    if (isLeaving(start.server)) {
        return std::nullopt;
    }
    if (backend != nullptr && backend->spec.incarnation != start.incarnation) {
        return endBy(CrashSign::StartedAgain, *backend);
    }
    // An entry that has gone is no proof: a server that is cut off loses its entry too.
    const auto &all = servers_.all();
    const auto other = std::find_if(all.begin(), all.end(), [&start](const auto &entry) {
        const auto &one = entry.second;
        return !one.isGone && one.spec.id != start.server && one.spec.address == start.address;
    });
    return other == all.end() ? std::nullopt : std::optional(endBy(CrashSign::AddressTaken, other->second));
}

void CrashDetector::sweep(TimePoint now)
{
    failed_.expire(now);
    probeWhatIsDue(now);
    std::erase_if(watched_, [this](const auto &entry) { return !failed_.hasAny(entry.first); });
    std::erase_if(probes_, [this, now](const auto &entry) {
        return !entry.second.connection && now - entry.second.endedAt >= options_.probePause;
    });
    // Reporting a crash ends the watch.
    const auto watched = watched_;
    for (const auto &[key, start] : watched) {
        if (const auto end = endOf(start)) {
            watched_.erase(key);
            hooks_.crashed(start, end->sign, failed_.take(key, end->nextStart));
        }
    }
}

} // namespace hornbeamlane
