#include "hornbeamlane_dispatch/hornbeamlane_dispatch.h"

#include <gtest/gtest.h>

#include <map>

namespace hornbeamlane {
namespace {

RouteSpec route(const std::string &name, const std::string &host, const std::string &prefix)
{
    return {.name = RouteId(name), .host = host, .prefix = prefix};
}

RouteTable table()
{
    DispatchCatalogue catalogue{.version = CatalogueVersion(3)};
    catalogue.routes = {route("short", "shop.example", "/a/"), route("long", "shop.example", "/a/b/"),
                        route("other", "desk.example", "/")};
    catalogue.teams = {{TeamSpec{.name = TeamId("glue"), .keys = {"k1", "k2"}}}};
    return RouteTable(std::move(catalogue));
}

// Guards against a request that reaches the service of a shorter prefix or of another host.
TEST(RouteTableTest, FindsTheLongestPrefixOfTheHost)
{
    const auto routes = table();
    EXPECT_EQ(routes.findRoute("shop.example", "/a/b/c")->name, RouteId("long"));
    EXPECT_EQ(routes.findRoute("shop.example", "/a/b")->name, RouteId("short"));
    EXPECT_EQ(routes.findRoute("SHOP.example:8080", "/a/x")->name, RouteId("short"));
    EXPECT_EQ(routes.findRoute("shop.example", "/b/"), nullptr);
    EXPECT_EQ(routes.findRoute("unknown.example", "/a/"), nullptr);
    EXPECT_EQ(routes.findRoute("desk.example", "/anything")->name, RouteId("other"));
}

// Guards against an unknown key that is served under some team.
TEST(RouteTableTest, FindsTheTeamOfAKey)
{
    const auto routes = table();
    ASSERT_NE(routes.findTeam("k2"), nullptr);
    EXPECT_EQ(routes.findTeam("k2")->name, TeamId("glue"));
    EXPECT_EQ(routes.findTeam("k3"), nullptr);
    EXPECT_EQ(routes.findTeam(""), nullptr);
}

// Guards against a split that sends requests to a service without weight, or not by the weights.
TEST(RouteTableTest, DividesRequestsByWeight)
{
    RandomSource random(5);
    const RouteSpec route{.services = {{.service = ServiceId("none"), .weight = 0},
                                       {.service = ServiceId("few"), .weight = 1},
                                       {.service = ServiceId("many"), .weight = 3}}};
    constexpr int requests = 4000;
    std::map<ServiceId, int> counts;
    for (int i = 0; i < requests; ++i) {
        ++counts[chooseService(route, random)];
    }
    EXPECT_EQ(counts[ServiceId("none")], 0);
    EXPECT_NEAR(counts[ServiceId("many")], 0.75 * requests, 0.05 * requests);
}

} // namespace
} // namespace hornbeamlane
