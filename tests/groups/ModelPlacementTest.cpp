#include "hornbeamlane_groups/hornbeamlane_groups.h"

#include <gtest/gtest.h>

namespace hornbeamlane {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint start{Duration(1h)};
const ModelUse large{.model = ModelId("large")};
const ModelUse small{.model = ModelId("small")};

/** Four servers that carry out each order at once. */
class Servers final
{
public:
    Servers()
    {
        for (int i = 0; i < 4; ++i) {
            states_[ServerId(std::to_string(i))] = {
                .engine = Incarnation(1), .memoryBytes = 100, .loaded = {}, .capacity = 10.0};
        }
    }

    std::vector<PlacementOrder> step(ModelPlacement &placement, TimePoint now)
    {
        for (const auto &[id, state] : states_) {
            placement.setServer(id, state, now);
        }
        auto orders = placement.plan(now);
        for (const auto &order : orders) {
            auto &loaded = states_[order.server].loaded;
            order.isLoad ? static_cast<void>(loaded.insert(order.use)) : static_cast<void>(loaded.erase(order.use));
        }
        return orders;
    }

    std::size_t count(const ModelUse &use) const
    {
        return static_cast<std::size_t>(std::count_if(
            states_.begin(), states_.end(), [&use](const auto &entry) { return entry.second.loaded.contains(use); }));
    }

private:
    std::map<ServerId, PlacementServer> states_;
};

// Guards against loads faster than the weight store's rate.
TEST(ModelPlacement, StaysWithinTheStoreRate)
{
    Servers servers;
    ModelPlacement placement({.token = FencingToken(3), .storeBytesPerSecond = 1.0});
    placement.setDemand(large, {.modelBytes = 60, .demand = 100.0});
    double loaded = 0.0;
    for (auto elapsed = 0s; elapsed < 200s; elapsed += 1s) {
        for (const auto &order : servers.step(placement, start + elapsed)) {
            EXPECT_EQ(order.token, FencingToken(3));
            loaded += 60.0;
        }
        EXPECT_LE(loaded, static_cast<double>(elapsed.count()));
    }
    EXPECT_EQ(servers.count(large), 3U);
}

// Guards against models that displace each other in turn, and against orders for small changes of demand.
TEST(ModelPlacement, HysteresisPreventsFlapping)
{
    Servers servers;
    ModelPlacement placement({.storeBytesPerSecond = 1000.0, .shortestStay = 10s});
    std::size_t orders = 0;
    for (auto elapsed = 0s; elapsed < 600s; elapsed += 1s) {
        const double wave = elapsed.count() / 20 % 2 == 0 ? 2.0 : 0.0;
        placement.setDemand(large, {.modelBytes = 60, .demand = 14.0 + wave});
        placement.setDemand(small, {.modelBytes = 60, .demand = 14.0 + wave});
        orders += servers.step(placement, start + elapsed).size();
    }
    EXPECT_EQ(orders, 4U);
    EXPECT_EQ(servers.count(large), 2U);
    EXPECT_EQ(servers.count(small), 2U);
}

// Guards against servers that stay with a model nobody asks for while another one is short.
TEST(ModelPlacement, FollowsDemand)
{
    Servers servers;
    ModelPlacement placement({.storeBytesPerSecond = 1000.0, .shortestStay = 10s});
    for (auto elapsed = 0s; elapsed < 200s; elapsed += 1s) {
        placement.setDemand(large, {.modelBytes = 60, .demand = elapsed < 100s ? 24.0 : 4.0});
        placement.setDemand(small, {.modelBytes = 60, .demand = elapsed < 100s ? 4.0 : 24.0});
        servers.step(placement, start + elapsed);
        if (elapsed == 99s) {
            EXPECT_EQ(servers.count(large), 3U);
        }
    }
    EXPECT_EQ(servers.count(large), 1U);
    EXPECT_EQ(servers.count(small), 3U);
}

} // namespace
} // namespace hornbeamlane
