#include "standins/ServiceStandIn.h"

#include "standins/StandInSupport.h"

#include <nlohmann/json.hpp>

namespace hornbeamlane::testing {

using nlohmann::json;

ServiceStandIn::ServiceStandIn(EventLoop &loop)
    : loop_(loop)
    , server_(loop, {}, [this](const Exchange &exchange) { handle(exchange); })
{
}

bool ServiceStandIn::listen(const std::string &address, std::uint16_t port)
{
    return server_.listen(address, port);
}

std::uint16_t ServiceStandIn::port() const
{
    return server_.port();
}

void ServiceStandIn::handle(const Exchange &exchange)
{
    const auto &request = exchange->request();
    if (request.path == "/orders" && request.method == "POST") {
        runOrder(exchange);
    } else if (request.path == "/stock") {
        ++lookups_;
        replyJson(exchange, 200, {{"kettles", 7}}, rateLimitHeaders(rateLimit_));
    } else if (request.path == "/executions") {
        replyJson(exchange, 200, executions_);
    } else if (request.path == "/status") {
        replyJson(exchange, 200, {{"incarnation", 1}, {"running", 0}, {"orders", orders_}, {"lookups", lookups_}},
                  rateLimitHeaders(rateLimit_));
    } else if (request.path == "/faults") {
        handleFaults(exchange);
    } else {
        replyText(exchange, 404, "unknown path");
    }
}

void ServiceStandIn::runOrder(const Exchange &exchange)
{
    const auto key = exchange->request().header("Idempotency-Key").value_or("");
    ++executions_[key];
    const auto number = ++orders_;
    if (answersToDrop_ > 0) {
        --answersToDrop_;
        exchange->abortStream();
        return;
    }
    runLater(loop_, timers_, delay_, [this, exchange, number] {
        replyJson(exchange, 201, {{"order", number}}, rateLimitHeaders(rateLimit_));
    });
}

void ServiceStandIn::handleFaults(const Exchange &exchange)
{
    const auto faults = json::parse(exchange->request().body, nullptr, false);
    if (!faults.is_object()) {
        replyText(exchange, 400, "not a JSON object");
        return;
    }
    delay_ = std::chrono::milliseconds(faults.value("delayMilliseconds", 0));
    rateLimit_ = rateLimitOf(faults);
    answersToDrop_ = faults.value("dropAnswers", 0U);
    replyText(exchange, 200, "ok");
}

} // namespace hornbeamlane::testing
