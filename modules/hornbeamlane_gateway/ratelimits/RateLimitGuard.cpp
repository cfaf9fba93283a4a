#include "hornbeamlane_gateway/ratelimits/RateLimitGuard.h"

#include "hornbeamlane_gateway/request/RequestHeaders.h"
#include "hornbeamlane_observability/hornbeamlane_observability.h"

#include <algorithm>
#include <utility>

namespace hornbeamlane {

namespace {

using std::chrono::milliseconds;

/** Lines on changed limits between two sweeps; a server may name another one in each answer. */
constexpr std::size_t maxChangeLines = 6;

constexpr milliseconds sendingsInterval{1000};

/** Servers of which each round of lines on sendings tells. */
constexpr std::size_t maxSendingsLines = 16;

/** Longest way of a message to another entry, with the turn of its event loop. */
constexpr milliseconds messageTime{10};

/** News are told in so many messages, since each of them may be lost. */
constexpr int tellings = 5;

std::string formatRate(std::optional<double> perSecond)
{
    return perSecond ? std::to_string(*perSecond) : "-";
}

} // namespace

RateLimitGuard::RateLimitGuard(EventLoop &loop, RandomSource &random, MetricsRegistry &metrics,
                               const GatewayHeaders &names, Hooks hooks)
    : loop_(loop)
    , random_(random)
    , metrics_(metrics)
    , names_(names)
    , hooks_(std::move(hooks))
{
}

void RateLimitGuard::onAnswer(const std::string &attemptId, const ServerStart &start, TimePoint sentAt,
                              const Http1ResponseHead &head)
{
    // Another server speaks for itself only.
    if (head.status == statusMisdirected) {
        return;
    }
    const auto server = hashOfStart(start.server, start.incarnation);
    const auto before = limits_.limitOf(server);
    auto change = ServerRateLimits::Change::None;
    if (const auto *named = head.header(names_.rateLimit)) {
        const auto perSecond = parseRate(*named);
        if (!perSecond) {
            logEvent(LogLevel::Warning, "server_limit_unreadable",
                     {{"id", attemptId}, {"server", start.server.name()}, {"value", named->substr(0, 32)}});
            return;
        }
        change = limits_.onNamed(server, *perSecond, loop_.now());
    } else if (head.header(names_.signature) != nullptr) {
        // Only an answer that is surely the server's own shows that it names a limit no more.
        change = limits_.onNoneNamed(server, sentAt, loop_.now());
    }
    if (change != ServerRateLimits::Change::None) {
        logChange(server, start.server.name(), before, "answer/" + attemptId);
    }
}

void RateLimitGuard::onPeerReports(Incarnation sender, const std::vector<RateLimitReport> &reports)
{
    for (const auto &report : reports) {
        const auto before = limits_.limitOf(report.server);
        if (limits_.onReport(sender, report, loop_.now()) != ServerRateLimits::Change::None) {
            const auto name = hooks_.serverOf(report.server);
            logChange(report.server, name ? name->name() : "-", before, "entry/" + std::to_string(sender.value()));
        }
    }
}

void RateLimitGuard::logChange(ServerStartHash server, const std::string &name, std::optional<double> before,
                               const std::string &source)
{
    metrics_.addToCounter("server_limit_changes_total");
    if (++changeLines_ <= maxChangeLines) {
        logEvent(LogLevel::Warning, "server_limit",
                 {{"server", name},
                  {"per_s", formatRate(limits_.limitOf(server))},
                  {"before", formatRate(before)},
                  {"source", source}});
    }
}

void RateLimitGuard::onRequest(const ServiceId &service)
{
    arrivals_[service].count(loop_.now());
}

milliseconds RateLimitGuard::checkInterval() const
{
    return hooks_.tellingTime() + messageTime;
}

double RateLimitGuard::demand(const ServiceId &service) const
{
    const auto arrivals = arrivals_.find(service);
    const auto perSecond = arrivals == arrivals_.end() ? 0 : arrivals->second.perSecond(loop_.now());
    return static_cast<double>(hooks_.waiting(service))
        + perSecond * std::chrono::duration<double>(checkInterval()).count();
}

SharedRate::Share RateLimitGuard::shareOf(const ServiceId &service) const
{
    // The request that asks is there, however seldom they come.
    const auto own = std::max(1.0, demand(service));
    return {.ofDemand = own / (own + hooks_.demandOfPeers(service)),
            .heard = hooks_.heardShare(),
            .delay = checkInterval()};
}

bool RateLimitGuard::isLimited(const Backend &backend)
{
    if (limits_.isEmpty()) {
        return false;
    }
    const auto server = hashOfStart(backend.spec.id, backend.spec.incarnation);
    if (!limits_.limitOf(server) || limits_.maySend(server, shareOf(backend.spec.service), loop_.now(), random_)) {
        return false;
    }
    auto &sendings = sendings_[server];
    sendings.server = backend.spec.id;
    ++sendings.leftOut;
    return true;
}

std::optional<double> RateLimitGuard::ownRate(const ServiceId &service,
                                              const std::vector<const Backend *> &servers) const
{
    if (servers.empty()) {
        return std::nullopt;
    }
    double sum = 0;
    for (const auto *backend : servers) {
        const auto limit = limits_.limitOf(hashOfStart(backend->spec.id, backend->spec.incarnation));
        if (!limit) {
            return std::nullopt;
        }
        sum += *limit;
    }
    const auto share = shareOf(service);
    return sum * share.ofDemand * share.heard;
}

void RateLimitGuard::onSent(const ServerStart &start, bool isRepeat)
{
    const auto server = hashOfStart(start.server, start.incarnation);
    if (!limits_.limitOf(server)) {
        return;
    }
    limits_.onSent(server, loop_.now());
    metrics_.addToCounter("sends_to_limited_servers_total", {{"repeat", isRepeat ? "yes" : "no"}});
    auto &sendings = sendings_[server];
    sendings.server = start.server;
    ++(isRepeat ? sendings.repeated : sendings.first);
}

std::vector<RateLimitReport> RateLimitGuard::reports(bool all) const
{
    return limits_.reports(all ? std::nullopt : std::optional(loop_.now() - hooks_.tellingTime() * tellings));
}

void RateLimitGuard::sweep()
{
    const auto now = loop_.now();
    limits_.sweep(now);
    if (changeLines_ > maxChangeLines) {
        logEvent(LogLevel::Warning, "server_limit_lines_left_out",
                 {{"lines", std::to_string(changeLines_ - maxChangeLines)}});
    }
    changeLines_ = 0;
    if (now - sendingsLoggedAt_ >= sendingsInterval) {
        logSendings(now);
    }
}

void RateLimitGuard::logSendings(TimePoint now)
{
    std::size_t lines = 0;
    for (const auto &[server, sendings] : sendings_) {
        if (++lines > maxSendingsLines) {
            break;
        }
        logEvent(LogLevel::Info, "limited_server",
                 {{"server", sendings.server.name()},
                  {"per_s", formatRate(limits_.limitOf(server))},
                  {"first_sends", std::to_string(sendings.first)},
                  {"repeats", std::to_string(sendings.repeated)},
                  {"left_out", std::to_string(sendings.leftOut)},
                  {"heard_percent", std::to_string(static_cast<int>(hooks_.heardShare() * 100))},
                  {"within_ms", formatMilliseconds(now - sendingsLoggedAt_)}});
    }
    sendings_.clear();
    sendingsLoggedAt_ = now;
}

} // namespace hornbeamlane
