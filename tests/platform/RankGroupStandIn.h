#pragma once

#include "hornbeamlane_network/http1/Http1Server.h"
#include "hornbeamlane_network/loop/Timer.h"
#include "platform/JsonFields.h"
#include "platform/soak/SoakStore.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hornbeamlane::platform {

/** A group of engines that always has work: it makes passes in step, takes map orders and lists its ranks in the store.
    The experts in demand change, so that a controller has reason to change the map. */
class RankGroupStandIn final
{
public:
    struct Options
    {
        std::string service = "pool";
        std::string group = "g0";
        std::size_t ranks = 4;
        std::chrono::milliseconds passTime{30};
        std::chrono::milliseconds demandTime{700};
        /** Whether orders for another server are rejected. */
        bool checksServer = true;
    };

    RankGroupStandIn(EventLoop &loop, SoakStore &store, Options options);

    /** Listens, writes the rows and begins to make passes. */
    bool start();

    std::string idOf(std::size_t rank) const;
    const std::string &addressOf(std::size_t rank) const;

    /** A row that states a rank of this group. */
    Json rowOf(std::size_t rank, const std::string &service, const std::string &address) const;

    /** What the configuration says of the engines of such a group. */
    static Json engine();

    std::size_t switches() const
    {
        return switches_;
    }

    /** Passes that began while ranks had different maps. */
    std::size_t mixedPasses() const
    {
        return mixedPasses_;
    }

private:
    struct Armed
    {
        std::uint64_t version = 0;
        std::uint64_t step = 0;
    };

    struct Rank
    {
        std::unique_ptr<Http1Server> http;
        std::string address;
        std::vector<std::vector<std::uint64_t>> counts;
        Json lists;
        Json preparedLists;
        std::uint64_t version = 0;
        std::uint64_t highest = 0;
        std::optional<std::uint64_t> prepared;
        std::optional<Armed> armed;
        std::optional<std::uint64_t> held;
    };

    void pass();
    void noteMaps(bool hasSwitched);
    void handle(std::size_t index, Http1Exchange &exchange);
    int order(std::size_t index, const Json &body);
    int prepare(std::size_t index, std::uint64_t version, const Json &mapping);
    Json report(std::size_t index) const;
    Json picked(const Rank &rank, bool withLists) const;

    EventLoop &loop_;
    SoakStore &store_;
    Options options_;
    std::vector<Rank> ranks_;
    Timer passTimer_;
    Timer demandTimer_;
    std::uint64_t step_ = 0;
    std::size_t demand_ = 0;
    std::size_t switches_ = 0;
    std::size_t mixedPasses_ = 0;
};

} // namespace hornbeamlane::platform
