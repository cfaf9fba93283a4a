#include "hornbeamlane_gateway/ratelimits/RateLimitGuard.h"

#include "hornbeamlane_gateway/request/RequestHeaders.h"
#include "hornbeamlane_observability/hornbeamlane_observability.h"

namespace hornbeamlane {

namespace {

/** Lines on changed limits between two sweeps; a server may name another one in each answer. */
constexpr std::size_t maxChangeLines = 6;

constexpr std::chrono::milliseconds sendingsInterval{1000};

/** Servers of which each round of lines on sendings tells. */
constexpr std::size_t maxSendingsLines = 16;

} // namespace

RateLimitGuard::RateLimitGuard(EventLoop &loop, MetricsRegistry &metrics, const GatewayHeaders &names)
    : loop_(loop)
    , metrics_(metrics)
    , names_(names)
{
}

void RateLimitGuard::onAnswer(const std::string &attemptId, const ServerStart &start, TimePoint sentAt,
                              const Http1ResponseHead &head)
{
    // Another server speaks for itself only.
    if (head.status == statusMisdirected) {
        return;
    }
    const auto key = hashOfStart(start.server, start.incarnation);
    const auto before = limits_.limitOf(key);
    auto change = ServerRateLimits::Change::None;
    if (const auto *named = head.header(names_.rateLimit)) {
        const auto perSecond = parseRate(*named);
        if (!perSecond) {
            logEvent(LogLevel::Warning, "server_limit_unreadable",
                     {{"id", attemptId}, {"server", start.server.name()}, {"value", named->substr(0, 32)}});
            return;
        }
        change = limits_.onNamed(key, *perSecond, loop_.now());
    } else if (head.header(names_.signature) != nullptr) {
        // Only an answer that is surely the server's own shows that it names a limit no more.
        change = limits_.onNoneNamed(key, sentAt);
    }
    if (change != ServerRateLimits::Change::None) {
        logChange(attemptId, start, before);
    }
}

void RateLimitGuard::logChange(const std::string &attemptId, const ServerStart &start, std::optional<double> before)
{
    const auto text = [](std::optional<double> perSecond) { return perSecond ? std::to_string(*perSecond) : "-"; };
    metrics_.addToCounter("server_limit_changes_total");
    if (++changeLines_ <= maxChangeLines) {
        logEvent(LogLevel::Warning, "server_limit",
                 {{"server", start.server.name()},
                  {"per_s", text(limits_.limitOf(hashOfStart(start.server, start.incarnation)))},
                  {"before", text(before)},
                  {"id", attemptId}});
    }
}

void RateLimitGuard::onSent(const ServerStart &start, bool isRepeat)
{
    const auto key = hashOfStart(start.server, start.incarnation);
    if (!limits_.limitOf(key)) {
        return;
    }
    metrics_.addToCounter("sends_to_limited_servers_total", {{"repeat", isRepeat ? "yes" : "no"}});
    auto &sendings = sendings_[key];
    sendings.server = start.server;
    ++(isRepeat ? sendings.repeated : sendings.first);
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
    for (const auto &[key, sendings] : sendings_) {
        if (++lines > maxSendingsLines) {
            break;
        }
        const auto limit = limits_.limitOf(key);
        logEvent(LogLevel::Info, "limited_server",
                 {{"server", sendings.server.name()},
                  {"per_s", limit ? std::to_string(*limit) : "-"},
                  {"first_sends", std::to_string(sendings.first)},
                  {"repeats", std::to_string(sendings.repeated)},
                  {"within_ms", formatMilliseconds(now - sendingsLoggedAt_)}});
    }
    sendings_.clear();
    sendingsLoggedAt_ = now;
}

} // namespace hornbeamlane
