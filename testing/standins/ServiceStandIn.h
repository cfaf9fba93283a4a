#pragma once

#include "hornbeamlane_network/hornbeamlane_network.h"

#include <map>
#include <string>

namespace hornbeamlane::testing {

/**
    Small stand-in for an order service. It counts the executions of each order by the caller's key.

    POST /orders runs an order, GET /stock is repeatable, GET /executions shows the counts. PUT /faults:
    {"delayMilliseconds": n, "dropAnswers": n, "rateLimit": r}; with dropAnswers, the next n orders run and get no
    answer; with rateLimit, answers name that many requests a second as the limit.
*/
class ServiceStandIn final
{
public:
    explicit ServiceStandIn(EventLoop &loop);

    bool listen(const std::string &address, std::uint16_t port);
    std::uint16_t port() const;

private:
    using Exchange = std::shared_ptr<HttpExchange>;

    void handle(const Exchange &exchange);
    void runOrder(const Exchange &exchange);
    void handleFaults(const Exchange &exchange);

    EventLoop &loop_;
    HttpServer server_;
    std::map<std::string, std::uint64_t> executions_;
    std::vector<std::unique_ptr<Timer>> timers_;
    std::uint64_t orders_ = 0;
    std::uint64_t lookups_ = 0;
    std::uint64_t answersToDrop_ = 0;
    Duration delay_{0};
    std::optional<double> rateLimit_;
};

} // namespace hornbeamlane::testing
