#include "standins/StandInSupport.h"

#include <nlohmann/json.hpp>

#include <csignal>

namespace hornbeamlane::testing {

void replyText(const std::shared_ptr<HttpExchange> &exchange, int status, const std::string &text)
{
    exchange->reply({.status = status, .contentType = "text/plain", .body = text});
}

void replyJson(const std::shared_ptr<HttpExchange> &exchange, int status, const nlohmann::json &json,
               const HttpHeaders &headers)
{
    exchange->reply({.status = status, .contentType = "application/json", .headers = headers, .body = json.dump()});
}

HttpHeaders rateLimitHeaders(std::optional<double> perSecond)
{
    return perSecond ? HttpHeaders{{"X-Rate-Limit", std::to_string(*perSecond)}} : HttpHeaders();
}

std::optional<double> rateLimitOf(const nlohmann::json &faults)
{
    return faults.contains("rateLimit") ? std::optional(faults["rateLimit"].get<double>()) : std::nullopt;
}

void runLater(EventLoop &loop, std::vector<std::unique_ptr<Timer>> &timers, Duration delay, std::function<void()> task)
{
    auto timer = std::make_unique<Timer>(loop, [&loop, &timers, task = std::move(task), slot = timers.size()] {
        task();
        // Freed on the next turn, because the timer must outlive its own handler.
        loop.post([&timers, slot] { timers[slot].reset(); });
    });
    timer->startOnce(delay);
    timers.push_back(std::move(timer));
}

void runUntilSignal(EventLoop &loop)
{
    loop.onSignal(SIGTERM, [&loop] { loop.stop(); });
    loop.onSignal(SIGINT, [&loop] { loop.stop(); });
    loop.run();
}

} // namespace hornbeamlane::testing
