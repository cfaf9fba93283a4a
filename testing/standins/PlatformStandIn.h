#pragma once

#include "hornbeamlane_network/hornbeamlane_network.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <string>
#include <vector>

namespace hornbeamlane::testing {

/**
    Small stand-in for the platform: table service, object store, weight store and host list.

    Faults are set by PUT /faults: {"down": bool, "slowMilliseconds": n, "loseReplies": n, "stale": bool}. With
    loseReplies, the next n writes take effect and get no answer. With stale, reads show the table as it was then.
*/
class PlatformStandIn final
{
public:
    PlatformStandIn(EventLoop &loop, RandomSource &random);

    bool listen(const std::string &address, std::uint16_t port);
    std::uint16_t port() const;

private:
    struct Row
    {
        std::uint64_t version = 0;
        std::string value;
        bool isPresent = false;
    };
    using Exchange = std::shared_ptr<HttpExchange>;

    void handle(const Exchange &exchange);
    void serve(const Exchange &exchange);
    void handleFaults(const Exchange &exchange);
    void handleRow(const Exchange &exchange, const std::string &key);
    void handleWrite(const Exchange &exchange, const std::string &key);
    void listRows(const Exchange &exchange, const std::string &prefix);
    void handleObject(const Exchange &exchange, const std::string &name);
    void handleWeights(const Exchange &exchange);
    void handleHosts(const Exchange &exchange);
    const std::map<std::string, Row> &readableRows() const;

    EventLoop &loop_;
    HttpServer server_;
    std::map<std::string, Row> rows_;
    std::map<std::string, Row> staleRows_;
    std::map<std::string, std::string> objects_;
    std::string hosts_ = R"({"hosts":[]})";
    std::string laggingHosts_ = hosts_;
    std::vector<std::unique_ptr<Timer>> timers_;
    TimePoint weightsFreeAt_;
    std::uint64_t lastVersion_;
    Duration slowBy_{0};
    Duration hostListLag_{0};
    std::uint64_t repliesToLose_ = 0;
    bool isDown_ = false;
    bool isStale_ = false;
};

} // namespace hornbeamlane::testing
