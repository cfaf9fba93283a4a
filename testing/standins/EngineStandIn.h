#pragma once

#include "hornbeamlane_network/hornbeamlane_network.h"

#include <nlohmann/json_fwd.hpp>

#include <deque>
#include <list>
#include <set>
#include <string>

namespace hornbeamlane::testing {

/**
    Small stand-in for a model engine with continuous batching.

    Each step gives every running request one token. Directly after a start or PUT /faults {"turnCold": true} it is
    cold for some steps; more than coldCapacity requests at once then make it fall over: it breaks all connections off
    and starts again with a new incarnation. A prompt that contains "crash-the-engine" does the same at any time.

    PUT /faults {"endInsideEvent": N} lets N streams end in an orderly way in the middle of an event;
    {"endlessEvent": true} lets streams send an event without end; {"rateLimit": r} lets answers name that many requests
    a second as the limit.

    POST /v1/chat/completions; GET /status reports the load as it was reportLag ago, and cache events; POST /orders
    takes fenced orders; GET and PUT /kv/<request> export and import the KV cache of a stream.
*/
class EngineStandIn final
{
public:
    struct Options
    {
        std::size_t capacity = 8;
        std::size_t coldCapacity = 2;
        std::uint64_t coldSteps = 100;
        Duration stepTime = std::chrono::milliseconds(5);
        Duration reportLag = std::chrono::milliseconds(500);
        bool isFencingEnforced = true;
    };

    EngineStandIn(EventLoop &loop, RandomSource &random, Options options);

    bool listen(const std::string &address, std::uint16_t port);
    std::uint16_t port() const;

private:
    using Exchange = std::shared_ptr<HttpExchange>;

    struct Stream
    {
        Exchange exchange;
        std::string requestId;
        std::uint64_t priority = 0;
        std::uint64_t position = 0;
        std::uint64_t maxTokens = 16;
        bool isStreaming = false;
        std::string text;
    };

    void handle(const Exchange &exchange);
    void handleChat(const Exchange &exchange);
    void handleFaults(const Exchange &exchange);
    void handleOrder(const Exchange &exchange);
    void handleKeyValueCache(const Exchange &exchange, const std::string &requestId);
    void replyStatus(const Exchange &exchange);
    void step();
    bool generateToken(Stream &stream);
    void fallOver();
    void turnCold();
    nlohmann::json status() const;

    EventLoop &loop_;
    RandomSource &random_;
    Options options_;
    HttpServer server_;
    Timer stepTimer_;
    std::list<Stream> streams_;
    std::deque<std::pair<TimePoint, std::string>> reports_;
    std::vector<std::uint64_t> cacheEvents_;
    std::set<std::string> models_;
    Incarnation incarnation_;
    std::uint64_t steps_ = 0;
    std::uint64_t coldUntilStep_ = 0;
    std::uint64_t falls_ = 0;
    std::uint64_t chats_ = 0;
    std::uint64_t highestToken_ = 0;
    std::uint64_t mapVersion_ = 0;
    std::size_t mostAtOnce_ = 0;
    Duration stall_{0};
    /** Streams that are still to end inside an event. */
    int streamsToCut_ = 0;
    /** Streams send an event without end. */
    bool isFlooding_ = false;
    std::optional<double> rateLimit_;
    /** Chats get this status and are not run; 0: they are run. */
    int errorStatus_ = 0;
};

} // namespace hornbeamlane::testing
